-- Guards against instances that do not notice that they were suspended for seconds. A gateway that continues
-- must end the requests whose time is over and serve on; a control instance that led must not answer under a
-- lease that has expired, and the group goes on.
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
fleet.eventually("all requests are at a target", function() return g:sum("", "total") >= 3 end)
-- A request with the same deadline at the other gateway, which is not suspended, ends at its own deadline.
local other = run.http_start((g:call{path = "/again/a", events = 3, gateway = g.gateways[2], deadline = 8000}))
fleet.eventually("the request of the other gateway is at a target", function() return g:sum("", "total") >= 4 end)
p:signal("USR2")
for i, c in ipairs(calls) do
  local r = run.http_wait(c)
  fleet.expect("request " .. i .. ": " .. r.status .. (r.whole and " complete" or " broken off"),
    r.status == 504 or r.status == 502 or (r.status == 200 and not r.whole))
end
fleet.equal("the other gateway's request still waits", g.gateways[2]:counter("active_requests"), 1)
run.http_wait(other)
for _, t in ipairs(g.targets) do t:fault("gap=0") end
serves(p)
serves(g.gateways[2])

-- Control instances are suspended in turn, the leader among them: acknowledged configurations take effect and
-- can be read.
for _, c in ipairs(g.control) do
  c:signal("USR2")
  local version = g:publish(g:config(function(s)
    for _, r in ipairs(s.routes) do r.timeout = 9000 end
  end))
  g:wait_in_force(version)
  fleet.eventually("control has stored it", function()
    local stored = g:stored_config()
    return stored and stored.version >= version
  end)
  for _, one in ipairs(g.gateways) do serves(one) end
end
g:stop()
