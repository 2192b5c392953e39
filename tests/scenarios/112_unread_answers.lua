-- Guards against a control instance that exceeds its memory because many callers ask for a long configuration and read
-- nothing of the answer: each answer was kept whole for its caller, for any time.
-- Runs alone: see tools/run-tests.
local fleet = require("fleet")
local gateways = require("gateways")
local crowds = require("crowds")
local CALLERS, REQUESTS, TEXT_BYTES, MEMORY_MB, DESCRIPTORS = 400, 4, 1000 * 1000, 256, 1000
local RECEIVE_BYTES = 4096
local g = gateways.new{control = 1, gateways = 1, portals = 1}
g:start()
local control = g.control[1]
local config = gateways.config_text(g:config())
g:publish(config:sub(1, -2) .. ',"x":"' .. ("y"):rep(TEXT_BYTES) .. '"}')
crowds.reset_peak(control)
local conns = {}
for i = 1, CALLERS do
  conns[i] = run.raw_open(control.health, RECEIVE_BYTES)
  run.raw_send(conns[i], ("GET /config HTTP/1.1\r\nHost: c.example\r\n\r\n"):rep(REQUESTS))
end
crowds.wait_read(control.health)
local function is_served() return #g:control_call(control, "GET", "/config").body > TEXT_BYTES end
fleet.eventually("an ordinary read beside them", is_served)
local open = crowds.descriptors(control)
fleet.expect("open descriptors: " .. open, open <= DESCRIPTORS)
crowds.close(conns)
fleet.eventually("an ordinary read afterwards", is_served)
crowds.check_kept("beside them", control, MEMORY_MB)
g:stop()
