-- Guards against a control group that founds itself twice, loses acknowledged configurations or needs an
-- operator to replace an instance. Instances start in any order, lose their disks, and one is replaced at
-- another address; the gateways serve meanwhile.
local fleet = require("fleet")
local gateways = require("gateways")
local g = gateways.new{control = 5, gateways = 2, engines = 1, portals = 1}

-- The order of starts does not matter: the last seed starts after the others have waited for it.
for _, i in ipairs{5, 2, 4, 1} do g.control[i]:start() end
run.pause(500)
g.control[3]:start()
for _, p in ipairs(g.gateways) do p:start() end
for _, p in ipairs(g.targets) do p:start() end
local version = g:publish(g:config())
g:wait_in_force(version)
g:wait_ready()

local function status()
  for _, c in ipairs(g.control) do
    if c.pid and not c.gone then
      local r = run.http{url = "http://" .. c.health, path = "/v1/status", timeout = 2}
      if r.status == 200 then return run.json(r.body), c end
    end
  end
end
-- Waits until there are n voters, all caught up and running.
local function wait_voters(n)
  fleet.eventually(n .. " voters", function()
    local st = status()
    local count, alive = 0, {}
    for _, c in ipairs(g.control) do
      if c.pid and not c.gone then alive[c.health] = true end
    end
    for _, m in ipairs(st and st.members or {}) do
      if m.role ~= "learner" and m.caught_up and alive[m.http] then count = count + 1 end
    end
    return st and count == n and #st.members == n
  end, 40000)
end
wait_voters(5)
local group = status().group
local function check(what)
  fleet.equal(what .. ": group", status().group, group)
  fleet.equal(what .. ": acknowledged version", fleet.eventually("a read", function() return g:stored_config() end).version, version)
  for i = 1, 4 do
    fleet.equal(what .. ": served", g:ask{path = "/safe/a", method = "GET", gateway = g.gateways[i % 2 + 1]}.status, 200)
  end
end
check("founded")

-- Two disks are lost at once, right after an acknowledgement: both instances start empty and without the
-- right to found a group.
version = g:publish(g:config())
for _, i in ipairs{1, 2} do
  g.control[i]:kill()
  os.execute("rm -rf " .. g.control[i].data_dir)
end
for _, i in ipairs{1, 2} do
  g.control[i].found = false
  g:write_control(g.control[i])
  g.control[i]:start()
end
wait_voters(5)
check("two disks lost")

-- The leader is lost for good and an empty instance at another address replaces it. Its seed list is stale:
-- it names the lost instance.
local _, leader = status()
leader:kill()
leader.gone = true
local fresh = g:add_control("127.0.0.6", false)
local other
for _, c in ipairs(g.control) do
  if not c.gone and c ~= fresh then other = c end
end
fresh.seeds = {leader.health, "127.0.0.9:" .. g.http_port, other.health}
g:write_control(fresh)
fresh:start()
wait_voters(5)
version = g:publish(g:config())
g:wait_in_force(version)
check("one replaced")

-- All are killed at once and restarted: the newest configuration is stored and takes effect.
version = g:publish(g:config())
for _, list in ipairs{g.control, g.gateways} do
  for _, p in ipairs(list) do
    if not p.gone then p:kill() end
  end
end
for _, list in ipairs{g.control, g.gateways} do
  for _, p in ipairs(list) do
    if not p.gone then p:start() end
  end
end
g:wait_in_force(version)
g:wait_ready()
check("all killed")

-- Each gateway in turn is stopped as planned during streams: none is cut.
for _, p in ipairs(g.gateways) do
  local calls = {}
  for i = 1, 10 do
    local c, id = g:call{path = "/chat/x", events = 30, body = "q", gateway = p}
    g["engine-1"]:fault("gap=20")
    calls[i] = {h = run.http_start(c), id = id}
  end
  fleet.eventually("the streams are in flight", function() return p:counter("active_requests") == 10 end)
  p:signal("TERM")
  fleet.eventually("not ready", function() return p:get("/ready").status ~= 200 end)
  for i, c in ipairs(calls) do
    local r = run.http_wait(c.h)
    r.id = c.id
    fleet.expect("a stream is complete through the stop " .. i, gateways.is_stream(r, 30))
  end
  fleet.equal("exit code", run.wait(p.pid, 20000), 0)
  p:start()
  g:wait_ready()
end
g:stop()
