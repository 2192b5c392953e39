-- Promise: a target may speak to any control instance, also to one outside of the group that
-- orders: what it says is known at every gateway, and what was acknowledged to it outlives the
-- instance that did.
--
-- A group has nine members at most. Of ten control instances the tenth heard a tenth of the
-- targets and told nobody: a target said there that it leaves, was acknowledged, and got requests
-- for seconds more. The day's lines: ten instances wrote `target-joined` for 593 of 661 targets, the
-- tenth alone for 41; one line `inst=core-klv-a-1 ev=target-leaving target=i-b846bf3b02`, and none at
-- any other instance or gateway.
local fleet = require("fleet")
local gateways = require("gateways")
local N = tonumber(os.getenv("PW_CONTROL")) or 12
local G = tonumber(os.getenv("PW_GATEWAYS")) or 3
local g = gateways.new{control = N, gateways = G}

-- A target of each control instance, which speaks to that one alone.
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
  local out, st = {}, status()
  for _, wire in ipairs(st and st.observers or {}) do
    for i, c in ipairs(g.control) do
      if wire == "tcp://" .. c.ip .. ":" .. g.wire_port then out[#out + 1] = i end
    end
  end
  return out
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
local out = observers()
fleet.equal("observers", #out, N - 9)
fleet.equal("who is an observer knows it", g.control[out[1]]:counter("control_unheard"), 0)

-- Asked all at once, so that no target is enough: each gets some, whomever it speaks to.
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

-- Acknowledged by an observer, which ends at that moment.
local one = g.control[out[1]]
local target = g["portal-" .. out[1]]
target:fault("leaving=1")
fleet.eventually("its leaving is acknowledged", function() return target:stats().leaving_acked > 0 end)
one:kill()
everyone_logs("ev=target%-leaving target=i%-portal%-" .. out[1] .. " ")

-- A target that ends is said to have gone at an observer that never heard of it.
local other = g.control[out[2]]
local r = target_call(other, "DELETE", "i-portal-1")
fleet.equal("taken by an observer", r.status, 200)
everyone_logs("ev=target%-gone target=i%-portal%-1 ")

-- It comes back, and hears again.
one:start()
fleet.eventually("it is heard again", function() return fleet.read(one.log):find("ev=heard") or one:counter("control_unheard") == 0 end)
target:fault("leaving=0")

-- What only members can answer it passes on.
local version = g:site()
fleet.equal("a configuration, by way of an observer", g:control_call(other, "PUT", "/config", gateways.site_text(version)).status, 200)
g:wait_in_force(version.version)
r = g:control_call(other, "GET", "/config")
fleet.equal("read there", r.status, 200)
fleet.equal("the newest", run.json(r.body).version, version.version)

-- Who is heard by nobody takes nothing, so that targets turn to another.
local alone = g:add_control("127.0.0." .. N + 1, false)
alone.seeds = {"127.0.0.99:" .. g.http_port}
g:write_control(alone)
alone:start()
r = target_call(alone, "PUT", "i-lost", '{"service":"portal","address":"127.0.0.1:9","zone":"az-1","slots":1,"state":"ready","seq":1}')
fleet.equal("refused", r.status, 503)
fleet.equal("with its code", r["Peatwell-Code"], "4014")
fleet.equal("and said", alone:counter("control_unheard"), 1)

-- All of them at once, and back.
for _, c in ipairs(all) do c:kill() end
for _, c in ipairs(all) do c:start() end
fleet.eventually("observers are heard", function() return #observers() == N - 9 end)
fleet.eventually("each target but the one that ended gets requests again", function() return ask_all(2) end)
g:stop()
