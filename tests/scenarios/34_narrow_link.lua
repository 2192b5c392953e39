-- Guards against an overloaded link of control instances when many gateways ask for the table of targets: on
-- a narrow link the gateways are sent the table one after the other, and all of them serve.
local fleet = require("fleet")
local gateways = require("gateways")
-- A table of 20 targets is about 300 bytes, which keep half of this link busy for a quarter of a second.
local g = gateways.new{control = 3, gateways = 6, engines = 18, portals = 2, control_text = "link_mbps = 0.02"}
g:start()
for i, p in ipairs(g.gateways) do
  fleet.equal("gateway " .. i .. " serves", g:ask{gateway = p, path = "/safe/a", method = "GET"}.status, 200)
end
local sent = 0
for _, c in ipairs(g.control) do sent = sent + c:counter("tables_told_total") end
-- Two control instances watch each gateway besides, and a gateway that had to wait may have asked another
-- instance.
local most = 2 * (#g.gateways + 6)
fleet.expect(sent .. " tables were sent, at most " .. most, sent <= most)
g:stop()
