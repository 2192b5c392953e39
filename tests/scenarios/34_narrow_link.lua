-- Promise: control instances whose link is narrow tell all targets to one gateway after
-- another; each gateway waits for its turn, is told, and serves.
local fleet = require("fleet")
local gateways = require("gateways")
-- 20 targets are some 300 bytes, which keep half of this link busy for a quarter second.
local g = gateways.new{control = 3, gateways = 6, engines = 18, portals = 2, control_text = "link_mbps = 0.02"}
g:start()
for i, p in ipairs(g.gateways) do
  fleet.equal("gateway " .. i .. " serves", g:ask{gateway = p, path = "/safe/a", method = "GET"}.status, 200)
end
local told = 0
for _, c in ipairs(g.control) do told = told + c:counter("tables_told_total") end
-- Two control instances watch each one besides; who had to wait may have asked another one.
local most = 2 * (#g.gateways + 6)
fleet.expect(told .. " tables were told, at most " .. most, told <= most)
g:stop()
