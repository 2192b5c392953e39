-- soak.lua: runs the real programs under load while faults are injected from outside, one after the other and
-- overlapping, and checks what callers and targets see.
--
-- make soak SEED=1 MINUTES=1 PROCESSES=14; the seed determines the faults and their times.
local fleet = require("fleet")
local gateways = require("gateways")
local SEED = tonumber(os.getenv("SEED") or "1")
local MINUTES = tonumber(os.getenv("MINUTES") or "0.5")
local PROCESSES = tonumber(os.getenv("PROCESSES") or "14")
local BATCH = 8         -- concurrent calls
local DRAIN_MS = 2000   -- after its acknowledgement a leaving target gets no new requests
local RECOVER_MS = 60000 -- every request is served again within this time after the last fault
print("seed " .. SEED)

-- A random generator of its own: a seed gives the same sequence on every machine.
local state = SEED * 2654435761 % 4294967296
local function draw(n)
  state = (state * 1664525 + 1013904223) % 4294967296
  return state // 65536 % n + 1
end
local function one_of(list) return list[draw(#list)] end

local engines = math.max(2, (PROCESSES - 5) // 3)
local portals = math.max(2, (PROCESSES - 5) // 5)
-- Seeds below 500 repeat runs that were recorded with a single availability zone.
local HAS_ZONES = SEED >= 500
local zones = {}
for i = 1, HAS_ZONES and engines or 0 do zones["engine-" .. i] = "az-" .. i % 2 + 1 end
for i = 1, HAS_ZONES and portals or 0 do zones["portal-" .. i] = "az-" .. i % 2 + 1 end
-- Seeds from 5000 to 5999: a small retry budget, and series of starts of gateways while all targets refuse.
local HAS_STARTS = SEED >= 5000 and SEED < 6000
local RETRY_RATIO, RETRY_SLACK, RETRY_WINDOW_MS = 0.2, 20, 10000
-- From seed 8000 on: series of replaced control instances.
local HAS_REPLACED = SEED >= 8000
-- From seed 10000 on: crowds of callers that send long bodies, or parts of requests, and stay.
local HAS_CROWDS = SEED >= 10000
local CROWD, CROWD_MEMORY_MB = 150, 32
local g = gateways.new{control = HAS_REPLACED and 5 or 3, text = HAS_CROWDS and "memory_mb = " .. CROWD_MEMORY_MB or nil, gateways = math.max(2, PROCESSES - 3 - engines - portals),
  engines = engines, portals = portals, relays = true, zones = zones,
  retry_slack = HAS_STARTS and RETRY_SLACK or nil, retry_window_s = HAS_STARTS and RETRY_WINDOW_MS // 1000 or nil}
-- From seed 6000 on: engines of two software versions, streams cut inside an event, with neither a length nor chunks,
-- and callers that take broken streams up at any gateway.
local HAS_VERSIONS = SEED >= 6000
if HAS_VERSIONS then
  for i, t in ipairs(g.targets) do
    if t.service == "llm" then t:set_version(i % 2 == 0 and "v1" or "v1.1") end
  end
end
-- From seed 9000 on: requests with trailer fields, and behind each on its connection a head that is refused.
local HAS_ODD_HEADS = SEED >= 9000
g:start(HAS_ZONES and function(s) s.cold = {s = 3, per_s = 20} end)
local function show_versions(t)
  if HAS_VERSIONS and t.service == "llm" then t:fault("versions=1") end
end
for _, t in ipairs(g.targets) do show_versions(t) end

-- Violations of the invariants; the run stops at the first one.
local problems = {}
local function check(ok, fmt, ...)
  if not ok then problems[#problems + 1] = string.format(fmt, ...) end
end
local acked, in_force, once_answers = g.version, {}, {}
local served, failed = 0, 0

-- The configuration version of a gateway only rises during one incarnation of its process.
local function watch_versions()
  for _, p in ipairs(g.gateways) do
    if p.pid and not p.gone and not p.suspended then
      local ok, now = pcall(function() return p:counter("gateway_configuration") end)
      if ok and now > 0 then
        check(now >= (in_force[p] or 0), "%s went back from configuration %d to %d", p.name, in_force[p] or 0, now)
        in_force[p] = now
      end
    end
  end
end

-- Streams that break are taken up, at most TAKE_UPS times. Each event must come once and in order, and all of them from
-- one version. A stream that ends with its connection between two events cannot be told from a complete one.
local TAKE_UPS = 3
local taken_up, went_on = 0, 0
local function read_stream(stream, r)
  local rest = r.body:gsub("id: (%d+)\ndata: (%S+) ?(%S*) ?(%S*)\n\n", function(id, _, version, unframed)
    stream.last = stream.last + 1
    check(tonumber(id) == stream.last, "stream %s: event %s in place of %d", stream.id, id, stream.last)
    if version ~= "" then -- a target that has just started again does not tell yet
      stream.version = stream.version or version
      check(version == stream.version, "stream %s: event %s of version %s, begun at %s", stream.id, id, version, stream.version)
    end
    stream.unframed = unframed == "unframed"
    return ""
  end)
  check(rest == "" or r.status ~= 200, "stream %s: a part of an event: %s", stream.id, rest)
  if r.whole and r.status == 200 then
    check(stream.last == stream.events or stream.unframed, "stream %s ends as complete after event %d", stream.id, stream.last)
    return true
  end
end
local function take_up(stream, gateway, timeout)
  return run.http((g:call{path = "/again/x", events = stream.events, body = "q", gateway = gateway, timeout = timeout,
    headers = {["Last-Event-Id"] = tostring(stream.last), Resumes = stream.id}}))
end
local function check_stream_over_tries(r, o)
  local stream = {id = r.id, events = o.events, last = 0}
  local complete = read_stream(stream, r)
  for _ = 1, TAKE_UPS do
    if complete or stream.last == 0 or #problems > 0 then break end
    taken_up = taken_up + 1
    local before = stream.last
    local more = take_up(stream, one_of(g.gateways), 5)
    complete = read_stream(stream, more)
    if complete or stream.last > before then went_on = went_on + 1 end
  end
  return complete
end

local function check_answer(call)
  local r, o = run.http_wait(call.h), call.o
  r.id = call.id
  local complete = r.whole and r.status == 200
  if HAS_VERSIONS and o.path == "/again/x" then
    complete = check_stream_over_tries(r, o)
  elseif HAS_VERSIONS and o.events then
    if r.status == 200 then read_stream({id = r.id, events = o.events, last = 0}, r) end
  elseif complete and o.events then
    check(gateways.is_stream(r, o.events), "stream %s is not complete or not in order: %s", r.id, r.body)
  elseif complete then
    check(r.body == "POST " .. o.path .. " " .. r.id .. " 1" or o.path:find("safe"), "%s got the answer of another request: %s", r.id, r.body)
  elseif o.events and r.status == 200 then -- a cut stream must still be a correct beginning
    local n = 0
    for id in r.body:gmatch("id: (%d+)\n") do
      n = n + 1
      check(tonumber(id) == n, "cut stream %s is out of order: %s", r.id, r.body)
    end
  end
  if o.once then once_answers[#once_answers + 1] = {id = r.id, status = r.status} end
  if complete then served = served + 1 else failed = failed + 1 end
  return complete
end

local sent_at = {} -- when each request was sent, ms
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
    sent_at[#sent_at + 1] = run.now()
    local c, id = g:call(o)
    calls[i] = {h = run.http_start(c), id = id, o = o}
  end
  local complete = 0
  for _, c in ipairs(calls) do complete = complete + (check_answer(c) and 1 or 0) end
  return complete
end

-- A sound request with a trailer field and, on the same connection, one whose head must be refused by every gateway that
-- answers: it must not run anywhere.
local ODD_LINES = {" folded\r\n", "\tX-Tenant: exams\r\n", "X-Request-Id: other\r\n", "Transfer-Encoding: gzip, chunked\r\n", "X-Own: 1\n"}
local odd_ids, odd_refused = {}, 0
local function send_odd_heads()
  local c = run.raw_open(one_of(g.gateways).http)
  local line, n = one_of(ODD_LINES), #odd_ids + 1
  if not c then return end
  local function head(id)
    return "POST /once/a HTTP/1.1\r\nHost: a.example\r\nApi-Key: kett-key\r\nX-Request-Id: " .. id .. "\r\n"
  end
  local sound, odd = string.format("sound%06d", n), string.format("odd%06d", n)
  odd_ids[n] = odd
  run.raw_send(c, head(sound) .. "X-Some-Longer-Name: 1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nX-Trailer: 1\r\n\r\n")
  local first = run.raw_read(c, 3000, "POST /once/a ")
  once_answers[#once_answers + 1] = {id = sound, status = tonumber(first:match("^HTTP/1.1 (%d+)") or 0)}
  run.raw_send(c, head(odd) .. line .. "\r\n")
  local second = run.raw_read(c, 1500, '"message"')
  run.raw_close(c)
  odd_refused = odd_refused + (second:find("HTTP/1.1 [45]0[01]") and 1 or 0)
  check(not second:find("HTTP/1.1 200", 1, true), "%s with %q was answered: %s", odd, line, second)
end

local active = {} -- faults that have not ended yet
-- Faults: each function injects one and returns its description and a function that ends it.
local function running(list)
  local out = {}
  for _, p in ipairs(list) do
    if p.pid and not p.gone and not p.suspended then out[#out + 1] = p end
  end
  return out
end
local function may_lose_one(list) return #running(list) > 1 + #list // 2 end
local function restart(p)
  p.gone = nil
  in_force[p] = nil
  p:start()
  if p.service then show_versions(p) end
end
local function kill_fault(list)
  return function()
    if not may_lose_one(list) then return end
    local p = one_of(running(list))
    p:kill()
    p.gone = true
    return "kill " .. p.name, function() restart(p) end
  end
end
local function pause_fault(list)
  return function()
    if not may_lose_one(list) then return end
    local p = one_of(running(list))
    p:pause()
    p.suspended = true
    return "pause " .. p.name, function()
      p:continue()
      p.suspended = nil
    end
  end
end
local function target_fault(name, n)
  return function()
    local p = one_of(running(g.targets))
    p:fault(name .. "=" .. n)
    return name .. " at " .. p.name, function() pcall(function() p:fault(name .. "=0") end) end
  end
end
local function relay_fault(mode)
  return function()
    local p = one_of(running(g.targets))
    run.relay_set(p.relay, mode)
    return mode .. " the link to " .. p.name, function() run.relay_set(p.relay, "pass") end
  end
end
-- Whether every control instance is a caught-up voter that answers the leader. Only then may a disk be lost: two of
-- three lost at once are more than the system tolerates. One that has just started with an empty disk still counts as
-- caught up by what it acknowledged before, but is silent.
local SILENT_MS = 400
local function is_group_complete()
  for _, c in ipairs(running(g.control)) do
    local r = run.http{url = "http://" .. c.health, path = "/v1/status", timeout = 2}
    local st = r.status == 200 and run.json(r.body)
    local n = 0
    for _, m in ipairs(st and st.members or {}) do
      if m.role ~= "learner" and m.caught_up and m.silent_ms < SILENT_MS then n = n + 1 end
    end
    if n == #g.control and #st.members == n then return true end
  end
end
local faults = {
  kill_fault(g.control), pause_fault(g.control), kill_fault(g.gateways), pause_fault(g.gateways), pause_fault(g.targets),
  target_fault("cut", 3), target_fault("reset", 3), target_fault("refuse", 5), target_fault("error", 5),
  target_fault("extra", 5), target_fault("mute", 2), target_fault("closing", 5), target_fault("gap", 30),
  target_fault("delay", 300), target_fault("unsigned_answer", 3), target_fault("silent", 1),
  relay_fault("cut"), relay_fault("freeze"),
  function() -- a control instance is killed and loses its disk
    if #running(g.control) < #g.control or not is_group_complete() then return end
    local p = one_of(running(g.control))
    p:kill()
    p.gone = true
    os.execute("rm -rf " .. p.data_dir)
    p.found = false
    g:write_control(p)
    return "disk of " .. p.name, function() restart(p) end
  end,
  function() -- a planned stop of a gateway
    if not may_lose_one(g.gateways) then return end
    local p = one_of(running(g.gateways))
    p:signal("TERM")
    p.gone = true
    return "stop " .. p.name, function()
      check(run.wait(p.pid, 20000) == 0, "%s did not stop with exit code 0", p.name)
      restart(p)
    end
  end,
  function() -- a target leaves and later returns
    local p = one_of(running(g.targets))
    if p.suspended then return end
    local before = p:stats().leaving_acked
    p:fault("leaving=1")
    return "leave " .. p.name, function()
      if p.gone then return end -- the target was killed meanwhile
      if p.suspended then -- a suspended target has to continue before its counters can be read
        p:continue()
        p.suspended = nil
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
  function() -- a new configuration is sent
    local version = g.version + 1
    local text = gateways.config_text(g:config())
    for _, c in ipairs(running(g.control)) do
      if g:control_call(c, "PUT", "/config", text).status == 200 then
        acked = math.max(acked, version)
        return "configuration " .. version, function() end
      end
    end
    return "configuration " .. version .. " without an answer", function() end
  end}

-- An availability zone is evacuated: nothing new arrives there once all gateways know it.
local evacuated
local function order(method, zone)
  for _, c in ipairs(running(g.control)) do
    if g:control_call(c, method, "/evacuate/" .. zone).status == 200 then return true end
  end
end
local function arrivals(zone)
  local n = 0
  for _, t in ipairs(running(g.targets)) do
    if zones[t.name] == zone then n = n + t:stats().arrivals end
  end
  return n
end
local function all_know(n)
  for _, p in ipairs(running(g.gateways)) do
    local ok, now = pcall(function() return p:counter("gateway_evacuated") end)
    if ok and now ~= n then return false end
  end
  return true
end
local function evacuate()
  local zone = "az-" .. draw(2)
  if evacuated or not order("POST", zone) then return end
  evacuated = zone
  fleet.eventually("all gateways know the evacuation", function() return all_know(1) end, RECOVER_MS)
  local before = arrivals(zone)
  batch()
  check(arrivals(zone) == before, "%s got new work after it was evacuated", zone)
  return "evacuation of " .. zone, function()
    fleet.eventually("the evacuation ends", function() return order("DELETE", zone) end, RECOVER_MS)
    -- Otherwise a gateway that still knows this evacuation would be taken for one that knows the next one.
    fleet.eventually("all gateways know that it has ended", function() return all_know(0) end, RECOVER_MS)
    evacuated = nil
  end
end
if HAS_ZONES then
  faults[#faults + 1] = evacuate
  faults[#faults + 1] = target_fault("cold", 3000)
end

-- From seed 1000 on: targets that restart under their id while late heartbeats of the earlier incarnation
-- arrive, malformed heartbeats, requests that crash the targets that run them, and series of pauses.
local function heartbeat(t, born, more)
  return string.format('{"service":%q,"address":"127.0.0.1:9","zone":"az-1","version":"v1","slots":8,"state":"draining",' ..
    '"coldLeftMs":0,"born":%s,"seq":9000000%s}', t.service, born, more or "")
end
local function put_heartbeat(t, body)
  local c = one_of(running(g.control))
  return run.http{url = "http://" .. c.health, method = "PUT", path = "/replicas/i-" .. t.name, body = body, timeout = 2,
    headers = {["Content-Type"] = "application/json"}}.status
end
local function restart_target()
  if not may_lose_one(g.targets) then return end
  local t = one_of(running(g.targets))
  t:kill()
  t.gone = true
  return "kill " .. t.name, function()
    restart(t)
    for _ = 1, draw(3) do put_heartbeat(t, heartbeat(t, os.time() * 1000 - 600000)) end
  end
end
local function malformed_heartbeats()
  local t = one_of(running(g.targets))
  local bodies = {"", "{", "[]", "\255\0\1", heartbeat(t, "1.5"), heartbeat(t, '"x"'), heartbeat(t, "-1"),
    heartbeat(t, "1", ',"seq":9000001'), ("["):rep(3000), (heartbeat(t, "1"):gsub('"slots":8', '"slots":null'))}
  for _ = 1, 5 do
    local status = put_heartbeat(t, one_of(bodies))
    check(status == 400 or status == 422 or status == 0 or status == 503, "a malformed heartbeat was answered %d", status)
  end
  return "malformed heartbeats of " .. t.name, function() end
end
local MAX_CRASHES = 3
local crashes = 0
local function crash()
  if #running(g.targets) < #g.targets or portals < MAX_CRASHES + 2 then return end
  crashes = crashes + 1
  local crashed = {}
  for _ = 1, 12 do
    g:ask{path = "/once/a", body = "crash " .. SEED .. " " .. crashes, gateway = one_of(running(g.gateways)), timeout = 12}
    for _, t in ipairs(g.targets) do
      if not t.gone and run.wait(t.pid, 1) then
        t.gone = true
        crashed[#crashed + 1] = t
      end
    end
    run.pause(100) -- callers retry, and gateways receive each other's updates meanwhile
  end
  check(#crashed <= MAX_CRASHES + #g.gateways, "a request crashed %d targets", #crashed)
  return "a request crashes " .. #crashed .. " targets", function()
    for _, t in ipairs(crashed) do restart(t) end
  end
end
local function pauses()
  local p = one_of(running(({g.control, g.gateways, g.targets})[draw(3)]))
  for _ = 1, draw(3) do
    p:pause()
    run.pause(500 + draw(2500))
    p:continue()
    run.pause(draw(200))
  end
  return "pauses of " .. p.name, function() end
end
if SEED >= 1000 then
  for _, f in ipairs{restart_target, restart_target, malformed_heartbeats, crash, pauses} do faults[#faults + 1] = f end
end

-- Series of kills and pauses of gateways while all targets refuse. The retries are those arrivals at the targets that
-- exceed the requests. They may use the budget of as many windows as cover the series; the requests of the window
-- before it may pay, too.
local function sent_since(ms)
  local n = 0
  for _, at in ipairs(sent_at) do n = n + (at >= ms and 1 or 0) end
  return n
end
local function ask_refused(n)
  local calls = {}
  for i = 1, n do
    sent_at[#sent_at + 1] = run.now()
    calls[i] = run.http_start((g:call{path = one_of{"/safe/a", "/once/a"}, body = "x", gateway = one_of(g.gateways), timeout = 12}))
  end
  return calls
end
local function kill_or_pause_gateways()
  local hit = {}
  for _, p in ipairs(g.gateways) do
    local what = draw(4)
    if what < 3 then
      p:kill()
      hit[#hit + 1] = function() restart(p) end
    elseif what == 3 then
      p:pause()
      hit[#hit + 1] = function() p:continue() end
    end
  end
  return hit
end
local function starts_while_targets_refuse()
  if #active > 0 or #running(g.targets) < #g.targets or #running(g.gateways) < #g.gateways then return end
  local began, before = run.now(), g:sum("", "arrivals")
  for _, t in ipairs(g.targets) do t:fault("refuse=1000000") end
  local rounds = 2 + draw(4)
  for _ = 1, rounds do
    local calls = ask_refused(40)
    run.pause(draw(40))
    local undo = kill_or_pause_gateways()
    for _, c in ipairs(calls) do run.http_wait(c) end
    run.pause(draw(400))
    for _, f in ipairs(undo) do f() end
    g:wait_ready()
  end
  for _, c in ipairs(ask_refused(40)) do run.http_wait(c) end
  for _, t in ipairs(g.targets) do t:fault("refuse=0") end
  local retries = g:sum("", "arrivals") - before - sent_since(began)
  local windows = (run.now() - began) // RETRY_WINDOW_MS + 1
  local allowed = RETRY_RATIO * math.min(windows, 2) * sent_since(began - RETRY_WINDOW_MS) + windows * RETRY_SLACK
  check(retries <= allowed, "%d retries while gateways started %d times, %.0f allowed", retries, rounds, allowed)
  return string.format("starts while targets refuse: %d retries, %.0f allowed", retries, allowed), function() end
end

-- Streams without framing, cut inside an event or not; of each engine at once, so that many break together.
local function cut_streams()
  local event, framing = 1 + draw(6), draw(2) == 1 and 1000 or 0
  for _, t in ipairs(running(g.targets)) do
    if t.service == "llm" then
      for _, fault in ipairs{"cut_event=" .. event, "unframed=" .. framing, "gap=" .. 10 * draw(4), "cut=" .. draw(4)} do t:fault(fault) end
    end
  end
  return string.format("cut streams in event %d, %s", event, framing > 0 and "unframed" or "in chunks"), function()
    for _, t in ipairs(running(g.targets)) do
      for _, name in ipairs{"cut", "cut_event", "unframed", "gap"} do t:fault(name .. "=0") end
    end
  end
end
local function kill_gateways_of_streams()
  if not may_lose_one(g.gateways) then return end
  for _, t in ipairs(running(g.targets)) do
    if t.service == "llm" then t:fault("gap=40") end
  end
  local p = one_of(running(g.gateways))
  local calls = {}
  for i = 1, BATCH do
    local o = {path = "/again/x", events = 12, body = "q", gateway = p, timeout = 12}
    local c, id = g:call(o)
    calls[i] = {h = run.http_start(c), id = id, o = o}
  end
  run.pause(draw(400))
  p:kill()
  p.gone = true
  for _, c in ipairs(calls) do check_answer(c) end
  return "kill " .. p.name .. " in streams", function()
    for _, t in ipairs(running(g.targets)) do t:fault("gap=0") end
    restart(p)
  end
end
if HAS_VERSIONS then
  for _, f in ipairs{cut_streams, cut_streams, kill_gateways_of_streams, kill_gateways_of_streams} do faults[#faults + 1] = f end
end

-- From seed 7000 on: one part of prompts crashes each engine that answers it, while gateways and control instances are
-- killed and paused. Requests with it may reach engines while it is not known yet, and while processes have just been
-- disturbed. Sound requests with the same first part are served.
local CONTACT_MS = 3000 -- processes that were left alone for this time are in touch
local LATE_MOST = 3
local HAS_CRASHING_PARTS = SEED >= 7000 and SEED < 8000
local part_count = 0
local function part_reports(what, part)
  local times = {}
  for _, t in ipairs(g.targets) do
    for ms in fleet.read(t.log):gmatch(what .. " part=" .. part .. " ms=(%d+)") do times[#times + 1] = tonumber(ms) end
  end
  table.sort(times)
  return times
end
local function restart_crashed(after_ms)
  for _, t in ipairs(g.targets) do
    if not t.gone and run.wait(t.pid, 0) then
      t.gone, t.crashed_at = true, run.now()
    elseif t.crashed_at and run.now() - t.crashed_at >= after_ms then
      t.crashed_at = nil
      restart(t)
    end
  end
end
local function start_prompt(prefix)
  part_count = part_count + 1
  local o = {path = one_of{"/chat/x", "/again/x"}, events = 6, body = "q " .. part_count, gateway = one_of(g.gateways), timeout = 8,
    prefix = string.format(prefix, part_count)}
  return run.http_start((g:call(o)))
end
local function disturb_while(step)
  local undo = draw(2) == 1 and kill_or_pause_gateways() or {}
  if draw(2) == 1 then
    local c = one_of(running(g.control))
    c:pause()
    undo[#undo + 1] = function() c:continue() end
  end
  for _ = 1, 5 do step() end
  for _, f in ipairs(undo) do f() end
  return #undo > 0
end
local function crashing_part()
  if #active > 0 or #running(g.targets) < #g.targets or #running(g.gateways) < #g.gateways then return end
  local part = string.format("dead%d%03x", draw(3) - 1, draw(4096) - 1)
  local crashing, sound = {}, {}
  local function step()
    crashing[#crashing + 1] = start_prompt("a1:50," .. part .. ":40,f%x:10")
    for _ = 1, 3 do sound[#sound + 1] = {h = start_prompt("a1:50,5:40,f%x:10"), at = run.now()} end
    restart_crashed(1000)
    run.pause(100)
  end
  local disturbed_at = 0
  for _ = 1, 20 do step() end
  for _ = 1, draw(3) do
    if disturb_while(step) then disturbed_at = run.now() end
  end
  -- Requests that went out to a disturbed process may still be in flight when it goes on.
  for _ = 1, (CONTACT_MS + 2500) // 100 do step() end
  local played_until = run.now()
  for _, h in ipairs(crashing) do run.http_wait(h) end
  local asked, complete = 0, 0
  for _, s in ipairs(sound) do
    local r = run.http_wait(s.h)
    if s.at > played_until - 2000 then
      asked = asked + 1
      complete = complete + (r.status == 200 and r.whole and 1 or 0)
    end
  end
  while #running(g.targets) < #g.targets do
    restart_crashed(0)
    run.pause(20)
  end
  local fifth, late = part_reports("crashed", part)[5], 0
  for _, at in ipairs(part_reports("arrived", part)) do
    if fifth and at > math.max(fifth, disturbed_at) + CONTACT_MS then late = late + 1 end
  end
  check(late <= LATE_MOST, "%d requests with part %s reached engines later than %d ms", late, part, CONTACT_MS)
  check(2 * complete >= asked, "%d of %d sound requests beside part %s were served", complete, asked, part)
  return string.format("part %s: %d ends, %d late, %d of %d sound ones", part, #part_reports("crashed", part), late, complete, asked),
    function() end
end

-- From seed 8000 on: each control instance is replaced twice, one at a time or two at once, while configurations come and
-- gateways are killed (they start again with the seeds of the beginning) or paused, some over several rounds. No gateway
-- stays behind.
local away = {} -- by gateway: what brings it back
local function send_away(p)
  if draw(2) == 1 then
    p:kill()
    p.gone = true
    away[p] = function() restart(p) end
  else
    p:pause()
    p.suspended = true
    away[p] = function()
      p:continue()
      p.suspended = nil
    end
  end
end
local function bring_back(p)
  away[p]()
  away[p] = nil
end
local function publish_next()
  acked = math.max(acked, g:publish(g:config()))
end
-- A crowd sends parts of long requests to a gateway or a control instance and stays until the fault ends. No gateway ever exceeds
-- its memory.
local CROWD_HEAD = "POST /once/crowd HTTP/1.1\r\nHost: a.example\r\nApi-Key: kett-key\r\nX-Request-Id: crowd\r\n"
local CROWD_TEXTS = {
  {"a body a byte short", CROWD_HEAD .. "Content-Length: 100000\r\n\r\n" .. ("c"):rep(99999)},
  {"a chunk a byte short", CROWD_HEAD .. "Transfer-Encoding: chunked\r\n\r\n186a0\r\n" .. ("c"):rep(99999)},
  {"a chunk over the limit", CROWD_HEAD .. "Transfer-Encoding: chunked\r\n\r\n30d40\r\n" .. ("c"):rep(200000)},
  {"half a head", CROWD_HEAD .. "X-Long: " .. ("c"):rep(3000)},
  {"requests behind each other", ("GET /safe/crowd HTTP/1.1\r\nHost: a.example\r\nApi-Key: kett-key\r\nX-Request-Id: crowd\r\n\r\n"):rep(50)}}
local function crowd()
  local p = one_of(draw(3) == 1 and g.control or g.gateways)
  local text, held = one_of(CROWD_TEXTS), {}
  for _ = 1, CROWD do
    local c = run.raw_open(p.http or p.health)
    if c then
      held[#held + 1] = c
      run.raw_send(c, text[2], 10)
    end
  end
  return string.format("%d callers of %s that send %s", #held, p.name, text[1]), function()
    for _, c in ipairs(held) do run.raw_close(c) end
    for _, gateway in ipairs(run.bin:find("san") and {} or running(g.gateways)) do
      local kb = tonumber(fleet.read("/proc/" .. gateway.pid .. "/status"):match("VmHWM:%s*(%d+) kB") or 0)
      check(kb <= CROWD_MEMORY_MB * 1024, "%s took %d kB", gateway.name, kb)
    end
  end
end
local function replace_all_control()
  if #active > 0 or #running(g.gateways) < #g.gateways then return end
  fleet.eventually("the group is complete", is_group_complete, RECOVER_MS)
  -- What only two instances know may be lost with them: a gateway that no other one has heard is found by nobody.
  g:wait_control_heard(#g.control)
  local left, rounds = 2 * #g.control, 0
  while left > 0 do
    for _, p in ipairs(g.gateways) do
      local is_hit = draw(3) == 1
      if is_hit and not away[p] then send_away(p) elseif is_hit then bring_back(p) end
    end
    local n = math.min(left, draw(2))
    g:replace_oldest_control(n)
    left, rounds = left - n, rounds + 1
    if draw(2) == 1 then publish_next() end
    if draw(3) == 1 then batch() end
    watch_versions()
  end
  for _, p in ipairs(g.gateways) do
    if away[p] then bring_back(p) end
  end
  publish_next()
  g:restart_targets()
  for _, t in ipairs(g.targets) do show_versions(t) end
  g:wait_in_force(acked)
  return string.format("each control instance replaced twice, in %d rounds", rounds), function() end
end
local ends = run.now() + MINUTES * 60000
while run.now() < ends and #problems == 0 do
  if #active < 3 and draw(2) == 1 then
    local first = not HAS_ODD_HEADS and (HAS_STARTS and starts_while_targets_refuse or HAS_CRASHING_PARTS and crashing_part or
      HAS_REPLACED and replace_all_control)
    local fault = HAS_CROWDS and draw(3) == 1 and crowd or #active == 0 and first or one_of(faults)
    local what, undo = fault()
    if what then
      print(string.format("%8d %s", run.now(), what))
      active[#active + 1] = {what = what, undo = undo, at = run.now() + 300 + draw(2500)}
    end
  end
  batch()
  if HAS_ODD_HEADS then send_odd_heads() end
  watch_versions()
  for i = #active, 1, -1 do
    if run.now() >= active[i].at then
      print(string.format("%8d end of %s", run.now(), active[i].what))
      table.remove(active, i).undo()
    end
  end
end
for _, f in ipairs(active) do f.undo() end
-- A request that was delayed on a frozen link may have crashed its target since.
for _, t in ipairs(g.targets) do
  if not t.gone and run.wait(t.pid, 1) then restart(t) end
end

-- All faults are ended: everything must be served, and the newest acknowledged configuration must be in
-- force.
if #problems == 0 then
  for _, t in ipairs(g.targets) do
    for _, name in ipairs{"cut", "reset", "refuse", "error", "extra", "mute", "closing", "gap", "delay", "unsigned_answer", "silent", "leaving", "cold",
      "cut_event", "unframed"} do
      t:fault(name .. "=0")
    end
  end
  fleet.eventually("all requests are served again", function() return batch() == BATCH end, RECOVER_MS)
  fleet.eventually("the newest acknowledged configuration is stored", function()
    local stored = g:stored_config()
    return stored and stored.version >= acked
  end, RECOVER_MS)
  g:wait_in_force(acked)
  -- Now that nothing is lost, each stream that is taken up goes on, at any gateway.
  for i = 1, HAS_VERSIONS and BATCH or 0 do
    local r = g:ask{path = "/again/x", events = 12, body = "q", gateway = one_of(g.gateways), give_up = 80}
    local stream = {id = r.id, events = 12, last = 0}
    read_stream(stream, {status = 0, body = r.body:match("^(.*\n\n)") or ""})
    -- One that was refused has not run: the only target of its version may still be cold.
    fleet.eventually("stream " .. r.id .. " goes on", function()
      local more = stream.last > 0 and take_up(stream, one_of(g.gateways), 12)
      return not more or more.status ~= 503 and read_stream(stream, more)
    end, RECOVER_MS)
  end
end

-- A request that may run once ran at most once over all targets, and a request answered with 503, 429 or 408
-- did not run.
for _, a in ipairs(once_answers) do
  local ran = 0
  for _, t in ipairs(g.targets) do
    if not t.gone then ran = ran + tonumber(t:get("/ran?" .. a.id).body) end
  end
  check(ran <= 1, "%s ran %d times", a.id, ran)
  check(ran == 0 or (a.status ~= 503 and a.status ~= 429 and a.status ~= 408), "%s ran, and was answered %d", a.id, a.status)
end
for _, id in ipairs(odd_ids) do
  for _, t in ipairs(g.targets) do
    check(t.gone or t:get("/ran?" .. id).body == "0", "%s ran at %s", id, t.name)
  end
end
if HAS_ODD_HEADS then print(string.format("odd heads: %d sent, %d refused", #odd_ids, odd_refused)) end
print(string.format("served %d, failed %d, acknowledged configuration %d", served, failed, acked))
if HAS_VERSIONS then print(string.format("taken up %d, went on %d", taken_up, went_on)) end
for _, p in ipairs(problems) do io.stderr:write("PROBLEM: ", p, "\n") end
if #problems > 0 then error("soak seed " .. SEED .. ": " .. #problems .. " problems") end
g:stop()
