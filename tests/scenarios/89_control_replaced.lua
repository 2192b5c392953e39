-- Guards against a gateway that keeps an old configuration for good because each control instance that it knows was
-- replaced, one after another: it was told of the instances at its registration, and not of those that came later.
local fleet = require("fleet")
local gateways = require("gateways")
local REPLACED = 10 -- each member twice
local g = gateways.new{control = 5, gateways = 6, engines = 1, portals = 1}
g:start()
g:wait_voters(5)
for _ = 1, REPLACED do
  g:replace_oldest_control(1)
  g:wait_in_force(g:publish(g:config()))
end
g:restart_targets()
for _, p in ipairs(g.gateways) do
  fleet.eventually(p.name .. " knows all gateways", function() return p:counter("gateway_gateways") == #g.gateways end)
  fleet.eventually(p.name .. " serves", function()
    return g:ask{path = "/safe/a", method = "GET", gateway = p}.status == 200
  end)
end
g:stop()
