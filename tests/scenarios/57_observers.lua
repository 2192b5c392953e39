-- Guards against heartbeats that are lost at control instances outside of the control group (observers). A
-- target may report to any control instance: what it reports is known at every gateway, and what was
-- acknowledged outlives the instance that acknowledged it.
--
-- A group has nine members at most. Of ten control instances the tenth received the heartbeats of a tenth of
-- the targets and forwarded nothing: a target reported there that it was leaving, was acknowledged, and got
-- requests for seconds more. In the logs ten instances wrote `target-joined` for 593 of 661 targets, the
-- tenth alone for 41; the line `inst=core-klv-a-1 ev=target-leaving target=i-b846bf3b02` was logged there and at
-- no other instance or gateway.
local fleet = require("fleet")
local gateways = require("gateways")
local N = tonumber(os.getenv("PW_CONTROL")) or 12
local G = tonumber(os.getenv("PW_GATEWAYS")) or 3
local g = gateways.new{control = N, gateways = G}

-- Adds one target for each control instance that reports to this instance alone.
local all = g.control
for i, c in ipairs(all) do
  g.control = {c}
  g:add_target("portal-" .. i, "portal")
end
g.control = all
g:start()

local function status()
  for _, c in ipairs(g.control) do
    if c.pid and not c.gone then
      local r = run.http{url = "http://" .. c.health, path = "/v1/status", timeout = 2}
      if r.status == 200 then return run.json(r.body) end
    end
  end
end
local function observers()
  local numbers, st = {}, status()
  for _, wire in ipairs(st and st.observers or {}) do
    for i, c in ipairs(g.control) do
      if wire == "tcp://" .. c.ip .. ":" .. g.wire_port then numbers[#numbers + 1] = i end
    end
  end
  return numbers
end
local function everyone_logs(pattern)
  for _, p in ipairs(g.gateways) do
    fleet.eventually(p.name .. " logs " .. pattern, function() return fleet.read(p.log):find(pattern) end)
  end
end
local function target_call(c, method, id, body)
  return run.http{url = "http://" .. c.health, method = method, path = "/replicas/" .. id, body = body, timeout = 3}
end

fleet.eventually("the group is full, the rest are observers", function()
  local st = status()
  return st and #st.members == math.min(N, 9) and #st.observers == N - 9
end)
local numbers = observers()
fleet.equal("observers", #numbers, N - 9)
fleet.equal("an observer has contact with the group", g.control[numbers[1]]:counter("control_unheard"), 0)

-- Sends requests at once, so that no single target is enough; returns whether each target from number `from`
-- on got some, whichever instance it reports to.
local function ask_all(from)
  local before, calls = {}, {}
  for i, t in ipairs(g.targets) do before[i] = t:stats().arrivals end
  for i = 1, 6 * N do
    calls[i] = run.http_start((g:call{path = "/safe/a", method = "GET", gateway = g.gateways[i % G + 1]}))
  end
  for _, c in ipairs(calls) do fleet.equal("served", run.http_wait(c).status, 200) end
  for i, t in ipairs(g.targets) do
    if i >= from and t:stats().arrivals == before[i] then return false end
  end
  return true
end
for _, t in ipairs(g.targets) do t:fault("delay=100") end
fleet.eventually("each target gets requests", function() return ask_all(1) end)

-- An observer acknowledges a target's leaving and is killed at that moment.
local acknowledging = g.control[numbers[1]]
local target = g["portal-" .. numbers[1]]
target:fault("leaving=1")
fleet.eventually("the leaving of the target is acknowledged", function() return target:stats().leaving_acked > 0 end)
acknowledging:kill()
everyone_logs("ev=target%-leaving target=i%-portal%-" .. numbers[1] .. " ")

-- A target's end is reported to an observer that never received its heartbeats.
local other = g.control[numbers[2]]
local r = target_call(other, "DELETE", "i-portal-1")
fleet.equal("status at an observer", r.status, 200)
everyone_logs("ev=target%-gone target=i%-portal%-1 ")

-- The observer is restarted and has contact with the group again.
acknowledging:start()
fleet.eventually("the observer has contact again", function() return fleet.read(acknowledging.log):find("ev=heard") or acknowledging:counter("control_unheard") == 0 end)
target:fault("leaving=0")

-- An observer forwards what only members can answer.
local version = g:config()
fleet.equal("status of a configuration sent to an observer", g:control_call(other, "PUT", "/config", gateways.config_text(version)).status, 200)
g:wait_in_force(version.version)
r = g:control_call(other, "GET", "/config")
fleet.equal("status of a read at an observer", r.status, 200)
fleet.equal("version read at an observer", run.json(r.body).version, version.version)

-- A control instance without contact to any member refuses heartbeats, so that targets turn to another
-- instance.
local isolated = g:add_control("127.0.0." .. N + 1, false)
isolated.seeds = {"127.0.0.99:" .. g.http_port}
g:write_control(isolated)
isolated:start()
r = target_call(isolated, "PUT", "i-lost", '{"service":"portal","address":"127.0.0.1:9","zone":"az-1","slots":1,"state":"ready","seq":1}')
fleet.equal("refused", r.status, 503)
fleet.equal("code at the isolated instance", r["Peatwell-Code"], "4014")
fleet.equal("the isolated instance counts itself as isolated", isolated:counter("control_unheard"), 1)

-- All control instances are killed at once and restarted.
for _, c in ipairs(all) do c:kill() end
for _, c in ipairs(all) do c:start() end
fleet.eventually("all observers have contact again", function() return #observers() == N - 9 end)
fleet.eventually("each target but the one that was reported as gone gets requests again", function() return ask_all(2) end)
g:stop()
