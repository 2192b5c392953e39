-- Guards against a gateway that never hears of a configuration again because all control instances that it knows were
-- replaced while it stood still.
local fleet = require("fleet")
local gateways = require("gateways")
local g = gateways.new{control = 5, gateways = 3, engines = 1, portals = 1}
g:start()
g:wait_voters(5)
g:wait_control_heard(5)
local away = g.gateways[1]
away:pause()
for _ = 1, 5 do g:replace_oldest_control(2) end -- two at once, ten in all
local version = g:publish(g:config())
away:continue()
g:wait_in_force(version)
g:wait_in_force(g:publish(g:config()))
g:restart_targets()
for _, p in ipairs(g.gateways) do
  fleet.eventually(p.name .. " serves", function()
    return g:ask{path = "/safe/a", method = "GET", gateway = p}.status == 200
  end)
end
g:stop()
