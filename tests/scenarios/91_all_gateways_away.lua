-- Guards against gateways that never find control again because nobody is left whom they could ask: all gateways stood still
-- while each control instance was replaced; then one starts again with a list of control instances that are all gone.
local fleet = require("fleet")
local gateways = require("gateways")
local g = gateways.new{control = 5, gateways = 2, engines = 1, portals = 1}
g:start()
g:wait_voters(5)
g:wait_control_heard(5)
for _, p in ipairs(g.gateways) do p:pause() end
for _ = 1, 5 do g:replace_oldest_control(2) end -- two at once, ten in all
local version = g:publish(g:config())
for _, p in ipairs(g.gateways) do p:continue() end
g:wait_in_force(version)

g.gateways[1]:kill()
version = g:publish(g:config())
g:replace_oldest_control(1)
g.gateways[1]:start()
g:wait_in_force(version)
g:wait_in_force(g:publish(g:config()))
g:restart_targets()
for _, p in ipairs(g.gateways) do
  fleet.eventually(p.name .. " serves", function()
    return g:ask{path = "/safe/a", method = "GET", gateway = p}.status == 200
  end)
end
g:stop()
