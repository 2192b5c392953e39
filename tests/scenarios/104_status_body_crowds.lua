-- Guards against a gateway that exceeds its memory because of bodies sent to its addresses for readiness and metrics, whose
-- connections had no common limit and counted in none.
-- Runs alone: see tools/run-tests.
local fleet = require("fleet")
local gateways = require("gateways")
local crowds = require("crowds")
local CALLERS, BODY_BYTES, MEMORY_MB, DESCRIPTORS = 120, 1024 * 1024, 32, 400
local g = gateways.new{control = 1, gateways = 1, portals = 1, text = "memory_mb = " .. MEMORY_MB}
g:start()
local gateway = g.gateways[1]
for _, address in ipairs{gateway.health, gateway.metrics} do
  crowds.play{process = gateway, address = address, callers = CALLERS, answer = "200", body = BODY_BYTES, tiny_body = BODY_BYTES // 4,
    head = "GET /metrics HTTP/1.1\r\nHost: x\r\n", memory_mb = MEMORY_MB, descriptors = DESCRIPTORS,
    is_served = function() return gateway:get("/ready").status == 200 and g:ask{path = "/safe/a", body = "s"}.status == 200 end}
end
g:stop()
