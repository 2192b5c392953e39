-- Guards against a long configuration that overloads the control instances: it has to reach each gateway
-- about once, not once from every control instance, and must not cause an election.
local fleet = require("fleet")
local gateways = require("gateways")
local GATEWAYS, ROUTES = 12, 1500
local g = gateways.new{control = 5, gateways = GATEWAYS, engines = 0, portals = 1}
g:start()
local function sum(list, counter)
  local n = 0
  for _, p in ipairs(list) do n = n + p:counter(counter) end
  return n
end
local function sent() return sum(g.control, "documents_sent_total") + sum(g.gateways, "documents_sent_total") end
local before, elections = sent(), sum(g.control, "elections_total")
local config = g:config(function(s)
  for i = 1, ROUTES do
    s.routes[#s.routes + 1] = {name = string.format("more-%x", i * 7919), prefix = string.format("/more%x/", i * 104729),
      kind = "safe", service = "portal", attempts = 2, timeout = 2000}
  end
end)
g:wait_in_force(g:publish(config))
local copies = sent() - before
-- A gateway whose copy takes long to arrive asks another source.
fleet.expect(copies .. " copies were sent to " .. GATEWAYS .. " gateways", copies <= GATEWAYS + GATEWAYS / 3)
fleet.equal("elections", sum(g.control, "elections_total"), elections)
fleet.equal("a new route is served", g:ask{path = string.format("/more%x/a", 104729), method = "GET"}.status, 200)
g:stop()
