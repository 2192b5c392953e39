-- Promise: an instance that was suspended for seconds knows it when it goes on. A gateway tells at once
-- whose time is over meanwhile, and serves on; a control instance that led answers for nothing under a
-- lease that has ended, and the group goes on.
local fleet = require("fleet")
local gateways = require("gateways")
local g = gateways.new{control = 3, gateways = 2, engines = 2, portals = 1, daemon = "peatwelld-skewed"}
g:start(function(s)
  for _, r in ipairs(s.routes) do r.timeout = 9000 end
end)
local function serves(p)
  fleet.eventually(p.name .. " serves", function() return g:ask{path = "/once/a", body = "x", gateway = p}.status == 200 end)
end

-- Requests hang at their target while the gateway is suspended.
for _, t in ipairs(g.targets) do t:fault("gap=60000") end
g["portal-1"]:fault("mute=2")
local p = g.gateways[1]
local calls = {}
for i, o in ipairs{{path = "/once/a", body = "x"}, {path = "/safe/a", method = "GET"}, {path = "/chat/a", events = 3}} do
  o.gateway, o.deadline = p, 8000
  calls[i] = run.http_start((g:call(o)))
end
fleet.eventually("all are at a target", function() return g:sum("", "total") >= 3 end)
-- One as long at the other gateway, which was not suspended, ends when its own time is over.
local other = run.http_start((g:call{path = "/again/a", events = 3, gateway = g.gateways[2], deadline = 8000}))
fleet.eventually("it is at a target", function() return g:sum("", "total") >= 4 end)
p:signal("USR2")
for i, c in ipairs(calls) do
  local r = run.http_wait(c)
  fleet.expect("told " .. i .. ": " .. r.status .. (r.whole and " whole" or " broken off"),
    r.status == 504 or r.status == 502 or (r.status == 200 and not r.whole))
end
fleet.equal("the other waits yet", g.gateways[2]:counter("active_requests"), 1)
run.http_wait(other)
for _, t in ipairs(g.targets) do t:fault("gap=0") end
serves(p)
serves(g.gateways[2])

-- Control instances: all in turn, the leader among them; what was acknowledged is in force and read.
for _, c in ipairs(g.control) do
  c:signal("USR2")
  local version = g:publish(g:site(function(s)
    for _, r in ipairs(s.routes) do r.timeout = 9000 end
  end))
  g:wait_in_force(version)
  fleet.eventually("it is held", function()
    local held = g:held()
    return held and held.version >= version
  end)
  for _, one in ipairs(g.gateways) do serves(one) end
end
g:stop()
