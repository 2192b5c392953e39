-- soak.lua: the real programs under load while faults come from outside them, in
-- series and overlapping. It checks the promises by what callers and targets see.
--
-- make soak SEED=1 MINUTES=1 PROCESSES=14; the seed draws the faults and their times.
local fleet = require("fleet")
local gateways = require("gateways")
local SEED = tonumber(os.getenv("SEED") or "1")
local MINUTES = tonumber(os.getenv("MINUTES") or "0.5")
local PROCESSES = tonumber(os.getenv("PROCESSES") or "14")
local BATCH = 8         -- calls beside each other
local DRAIN_MS = 2000   -- a leaving target hears nothing new after its acknowledgement
local RECOVER_MS = 60000 -- served again after the last fault
print("seed " .. SEED)

-- A generator of its own: the same seed draws the same on every machine.
local state = SEED * 2654435761 % 4294967296
local function draw(n)
  state = (state * 1664525 + 1013904223) % 4294967296
  return state // 65536 % n + 1
end
local function one_of(list) return list[draw(#list)] end

local engines = math.max(2, (PROCESSES - 5) // 3)
local portals = math.max(2, (PROCESSES - 5) // 5)
-- Seeds below play as they did when they were kept: without availability zones of their own.
local HAS_ZONES = SEED >= 500
local zones = {}
for i = 1, HAS_ZONES and engines or 0 do zones["engine-" .. i] = "az-" .. i % 2 + 1 end
for i = 1, HAS_ZONES and portals or 0 do zones["portal-" .. i] = "az-" .. i % 2 + 1 end
local g = gateways.new{control = 3, gateways = math.max(2, PROCESSES - 3 - engines - portals),
  engines = engines, portals = portals, relays = true, zones = zones}
g:start(HAS_ZONES and function(s) s.cold = {s = 3, per_s = 20} end)

-- What must hold.
local problems = {}
local function check(ok, fmt, ...)
  if not ok then problems[#problems + 1] = string.format(fmt, ...) end
end
local acked, in_force, asked = g.version, {}, {}
local served, failed = 0, 0

-- The version in force at a gateway only rises within one life of its process.
local function watch_versions()
  for _, p in ipairs(g.gateways) do
    if p.pid and not p.gone and not p.standing then
      local ok, now = pcall(function() return p:counter("gateway_configuration") end)
      if ok and now > 0 then
        check(now >= (in_force[p] or 0), "%s went back from configuration %d to %d", p.name, in_force[p] or 0, now)
        in_force[p] = now
      end
    end
  end
end

local function judge(call)
  local r, o = run.http_wait(call.h), call.o
  r.id = call.id
  local good = r.whole and r.status == 200
  if good and o.events then
    check(gateways.is_stream(r, o.events), "stream %s is not whole or not in order: %s", r.id, r.body)
  elseif good then
    check(r.body == "POST " .. o.path .. " " .. r.id .. " 1" or o.path:find("safe"), "%s got another's answer: %s", r.id, r.body)
  elseif o.events and r.status == 200 then -- cut: what came is a beginning
    local n = 0
    for id in r.body:gmatch("id: (%d+)\n") do
      n = n + 1
      check(tonumber(id) == n, "cut stream %s is out of order: %s", r.id, r.body)
    end
  end
  if o.once then asked[#asked + 1] = {id = r.id, status = r.status} end
  if good then served = served + 1 else failed = failed + 1 end
  return good
end

local function batch()
  local calls = {}
  for i = 1, BATCH do
    local kinds = {
      {path = "/chat/x", events = 5 + draw(10), body = "q", once = true},
      {path = "/again/x", events = 5 + draw(10), body = "q"},
      {path = "/once/a", body = "x", once = true},
      {path = "/safe/a", method = "GET"}}
    local o = one_of(kinds)
    o.gateway, o.timeout = one_of(g.gateways), 12
    local c, id = g:call(o)
    calls[i] = {h = run.http_start(c), id = id, o = o}
  end
  local good = 0
  for _, c in ipairs(calls) do good = good + (judge(c) and 1 or 0) end
  return good
end

-- Faults: each is begun, and some time later ended.
local function living(list)
  local out = {}
  for _, p in ipairs(list) do
    if p.pid and not p.gone and not p.standing then out[#out + 1] = p end
  end
  return out
end
local function spare(list) return #living(list) > 1 + #list // 2 end
local function restart(p)
  p.gone = nil
  in_force[p] = nil
  p:start()
end
local function killed(list)
  return function()
    if not spare(list) then return end
    local p = one_of(living(list))
    p:kill()
    p.gone = true
    return "kill " .. p.name, function() restart(p) end
  end
end
local function paused(list)
  return function()
    if not spare(list) then return end
    local p = one_of(living(list))
    p:pause()
    p.standing = true
    return "pause " .. p.name, function()
      p:continue()
      p.standing = nil
    end
  end
end
local function target_fault(name, n)
  return function()
    local p = one_of(living(g.targets))
    p:fault(name .. "=" .. n)
    return name .. " at " .. p.name, function() pcall(function() p:fault(name .. "=0") end) end
  end
end
local function relayed(mode)
  return function()
    local p = one_of(living(g.targets))
    run.relay_set(p.relay, mode)
    return mode .. " the link to " .. p.name, function() run.relay_set(p.relay, "pass") end
  end
end
-- Whether every control instance votes and holds everything: only then may a disk be
-- lost, since two of three lost at once are more than is promised.
local function group_is_whole()
  for _, c in ipairs(living(g.control)) do
    local r = run.http{url = "http://" .. c.health, path = "/v1/status", timeout = 2}
    local st = r.status == 200 and run.json(r.body)
    local n = 0
    for _, m in ipairs(st and st.members or {}) do
      if m.role ~= "learner" and m.caught_up then n = n + 1 end
    end
    if n == #g.control and #st.members == n then return true end
  end
end
local faults = {
  killed(g.control), paused(g.control), killed(g.gateways), paused(g.gateways), paused(g.targets),
  target_fault("cut", 3), target_fault("reset", 3), target_fault("refuse", 5), target_fault("error", 5),
  target_fault("extra", 5), target_fault("mute", 2), target_fault("closing", 5), target_fault("gap", 30),
  target_fault("delay", 300), target_fault("unsigned_answer", 3), target_fault("silent", 1),
  relayed("cut"), relayed("freeze"),
  function() -- a disk is lost with its instance
    if #living(g.control) < #g.control or not group_is_whole() then return end
    local p = one_of(living(g.control))
    p:kill()
    p.gone = true
    os.execute("rm -rf " .. p.data_dir)
    p.found = false
    g:write_control(p)
    return "disk of " .. p.name, function() restart(p) end
  end,
  function() -- a gateway is stopped as planned
    if not spare(g.gateways) then return end
    local p = one_of(living(g.gateways))
    p:signal("TERM")
    p.gone = true
    return "stop " .. p.name, function()
      check(run.wait(p.pid, 20000) == 0, "%s did not stop in order", p.name)
      restart(p)
    end
  end,
  function() -- a target leaves, and another start of it joins
    local p = one_of(living(g.targets))
    if p.standing then return end
    local before = p:stats().leaving_acked
    p:fault("leaving=1")
    return "leave " .. p.name, function()
      if p.gone then return end -- killed meanwhile
      if p.standing then -- paused meanwhile: what it does shows when it goes on
        p:continue()
        p.standing = nil
      end
      if p:stats().leaving_acked > before then
        run.pause(DRAIN_MS)
        local arrivals = p:stats().arrivals
        batch()
        check(p:stats().arrivals == arrivals, "%s got new work after it had left", p.name)
      end
      p:fault("leaving=0")
    end
  end,
  function() -- the configuration changes
    local version = g.version + 1
    local text = gateways.site_text(g:site())
    for _, c in ipairs(living(g.control)) do
      if g:control_call(c, "PUT", "/config", text).status == 200 then
        acked = math.max(acked, version)
        return "configuration " .. version, function() end
      end
    end
    return "configuration " .. version .. " without an answer", function() end
  end}

-- An availability zone is evacuated: nothing new arrives there once all gateways know.
local evacuated
local function order(method, zone)
  for _, c in ipairs(living(g.control)) do
    if g:control_call(c, method, "/evacuate/" .. zone).status == 200 then return true end
  end
end
local function arrivals(zone)
  local n = 0
  for _, t in ipairs(living(g.targets)) do
    if zones[t.name] == zone then n = n + t:stats().arrivals end
  end
  return n
end
local function all_know(n)
  for _, p in ipairs(living(g.gateways)) do
    local ok, now = pcall(function() return p:counter("gateway_evacuated") end)
    if ok and now ~= n then return false end
  end
  return true
end
local function evacuate()
  local zone = "az-" .. draw(2)
  if evacuated or not order("POST", zone) then return end
  evacuated = zone
  fleet.eventually("all gateways know", function() return all_know(1) end, RECOVER_MS)
  local before = arrivals(zone)
  batch()
  check(arrivals(zone) == before, "%s got new work after it was evacuated", zone)
  return "evacuation of " .. zone, function()
    fleet.eventually("it ends", function() return order("DELETE", zone) end, RECOVER_MS)
    -- Else the next one would be taken for known where this one is still known.
    fleet.eventually("all gateways know that it has ended", function() return all_know(0) end, RECOVER_MS)
    evacuated = nil
  end
end
if HAS_ZONES then
  faults[#faults + 1] = evacuate
  faults[#faults + 1] = target_fault("cold", 3000)
end

-- Targets that start again under their id, with heartbeats of before that come late; heartbeats by
-- other writers; requests that end what runs them; pauses in series. From seed 1000 on.
local function heartbeat(t, born, more)
  return string.format('{"service":%q,"address":"127.0.0.1:9","zone":"az-1","version":"v1","slots":8,"state":"draining",' ..
    '"coldLeftMs":0,"born":%s,"seq":9000000%s}', t.service, born, more or "")
end
local function put(t, body)
  local c = one_of(living(g.control))
  return run.http{url = "http://" .. c.health, method = "PUT", path = "/replicas/i-" .. t.name, body = body, timeout = 2,
    headers = {["Content-Type"] = "application/json"}}.status
end
local function start_again()
  if not spare(g.targets) then return end
  local t = one_of(living(g.targets))
  t:kill()
  t.gone = true
  return "kill " .. t.name, function()
    restart(t)
    for _ = 1, draw(3) do put(t, heartbeat(t, os.time() * 1000 - 600000)) end
  end
end
local function garble()
  local t = one_of(living(g.targets))
  local bodies = {"", "{", "[]", "\255\0\1", heartbeat(t, "1.5"), heartbeat(t, '"x"'), heartbeat(t, "-1"),
    heartbeat(t, "1", ',"seq":9000001'), ("["):rep(3000), (heartbeat(t, "1"):gsub('"slots":8', '"slots":null'))}
  for _ = 1, 5 do
    local status = put(t, one_of(bodies))
    check(status == 400 or status == 422 or status == 0 or status == 503, "a garbled heartbeat was answered %d", status)
  end
  return "garbled heartbeats of " .. t.name, function() end
end
local ENDS_MOST = 3
local crashes = 0
local function crash()
  if #living(g.targets) < #g.targets or portals < ENDS_MOST + 2 then return end
  crashes = crashes + 1
  local dead = {}
  for _ = 1, 12 do
    g:ask{path = "/once/a", body = "crash " .. SEED .. " " .. crashes, gateway = one_of(living(g.gateways)), timeout = 12}
    for _, t in ipairs(g.targets) do
      if not t.gone and run.wait(t.pid, 1) then
        t.gone = true
        dead[#dead + 1] = t
      end
    end
    run.pause(100) -- callers come again, and gateways hear of each other meanwhile
  end
  check(#dead <= ENDS_MOST + #g.gateways, "a request ended %d targets", #dead)
  return "a request ends " .. #dead .. " targets", function()
    for _, t in ipairs(dead) do restart(t) end
  end
end
local function pauses()
  local p = one_of(living(({g.control, g.gateways, g.targets})[draw(3)]))
  for _ = 1, draw(3) do
    p:pause()
    run.pause(500 + draw(2500))
    p:continue()
    run.pause(draw(200))
  end
  return "pauses of " .. p.name, function() end
end
if SEED >= 1000 then
  for _, f in ipairs{start_again, start_again, garble, crash, pauses} do faults[#faults + 1] = f end
end

local open, ends = {}, run.now() + MINUTES * 60000
while run.now() < ends and #problems == 0 do
  if #open < 3 and draw(2) == 1 then
    local what, undo = one_of(faults)()
    if what then
      print(string.format("%8d %s", run.now(), what))
      open[#open + 1] = {what = what, undo = undo, at = run.now() + 300 + draw(2500)}
    end
  end
  batch()
  watch_versions()
  for i = #open, 1, -1 do
    if run.now() >= open[i].at then
      print(string.format("%8d end of %s", run.now(), open[i].what))
      table.remove(open, i).undo()
    end
  end
end
for _, f in ipairs(open) do f.undo() end
-- A request that was held up on a frozen link may have ended its target since.
for _, t in ipairs(g.targets) do
  if not t.gone and run.wait(t.pid, 1) then restart(t) end
end

-- All is mended: everything is served, and the newest that was acknowledged is in force.
if #problems == 0 then
  for _, t in ipairs(g.targets) do
    for _, name in ipairs{"cut", "reset", "refuse", "error", "extra", "mute", "closing", "gap", "delay", "unsigned_answer", "silent", "leaving", "cold"} do
      t:fault(name .. "=0")
    end
  end
  fleet.eventually("all is served again", function() return batch() == BATCH end, RECOVER_MS)
  fleet.eventually("the newest acknowledged is held", function()
    local held = g:held()
    return held and held.version >= acked
  end, RECOVER_MS)
  g:wait_in_force(acked)
end

-- What may run once ran once at most, over all targets; "not run" was true.
for _, a in ipairs(asked) do
  local ran = 0
  for _, t in ipairs(g.targets) do
    if not t.gone then ran = ran + tonumber(t:get("/ran?" .. a.id).body) end
  end
  check(ran <= 1, "%s ran %d times", a.id, ran)
  check(ran == 0 or (a.status ~= 503 and a.status ~= 429 and a.status ~= 408), "%s ran, and was answered %d", a.id, a.status)
end
print(string.format("served %d, failed %d, acknowledged configuration %d", served, failed, acked))
for _, p in ipairs(problems) do io.stderr:write("PROBLEM: ", p, "\n") end
if #problems > 0 then error("soak seed " .. SEED .. ": " .. #problems .. " problems") end
g:stop()
