-- Guards against a control instance that exceeds its memory, and is killed, because many callers send long bodies at once:
-- its connections had no common limit.
-- Runs alone: see tools/run-tests.
local fleet = require("fleet")
local gateways = require("gateways")
local crowds = require("crowds")
local CALLERS, BODY_BYTES, TINY_BYTES, MEMORY_MB, DESCRIPTORS = 30, 16 * 1024 * 1024, 512 * 1024, 256, 400
local g = gateways.new{control = 1, gateways = 1, portals = 1}
g:start()
local control = g.control[1]
crowds.play{process = control, address = control.health, callers = CALLERS, answer = "400", body = BODY_BYTES, tiny_body = TINY_BYTES,
  head = "PUT /config HTTP/1.1\r\nHost: c.example\r\nContent-Type: application/json\r\n",
  memory_mb = MEMORY_MB, descriptors = DESCRIPTORS,
  is_served = function() return g:control_call(control, "GET", "/config").status == 200 end}
fleet.expect("a configuration is accepted afterwards", g:publish(g:config()))
g:stop()
