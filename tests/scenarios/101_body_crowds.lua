-- Guards against a gateway that exceeds its memory, and is killed, because many callers send long bodies at once: bodies
-- were limited one by one, so any number could begin before the limit was computed again, and chunks had no limit before
-- their end.
-- Runs alone: see tools/run-tests.
local fleet = require("fleet")
local gateways = require("gateways")
local crowds = require("crowds")
local CALLERS, BODY_BYTES, MEMORY_MB, DESCRIPTORS = 120, 512 * 1024, 32, 400
local g = gateways.new{control = 1, gateways = 1, portals = 3, text = "memory_mb = " .. MEMORY_MB}
for _, t in ipairs(g.targets) do t:set_slots(CALLERS) end
g:start()
local config = gateways.config_text(g:config())
g:wait_in_force(g:publish((config:gsub('"maxBodyBytes":%d+', '"maxBodyBytes":' .. BODY_BYTES))))
local gateway = g.gateways[1]
crowds.play{process = gateway, address = gateway.http, callers = CALLERS, answer = "200", body = BODY_BYTES, tiny_body = BODY_BYTES,
  head = "POST /once/a HTTP/1.1\r\nHost: a.example\r\nApi-Key: kett-key\r\nX-Request-Id: crowd\r\n",
  memory_mb = MEMORY_MB, descriptors = DESCRIPTORS,
  is_served = function() return g:ask{path = "/safe/a", body = ("s"):rep(1000)}.status == 200 end}
-- A single body of the longest size is served in calm.
fleet.eventually("a long body in calm", function()
  return g:ask{path = "/safe/a", body = ("l"):rep(BODY_BYTES)}.status == 200
end)
g:stop()
