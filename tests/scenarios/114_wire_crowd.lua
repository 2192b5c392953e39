-- Guards against a control instance that exceeds its memory because peers at its wire address, where no key is asked for by
-- default, send long messages that do not end.
-- Runs alone: see tools/run-tests.
local fleet = require("fleet")
local gateways = require("gateways")
local crowds = require("crowds")
local PEERS, MESSAGE_BYTES, MEMORY_MB = 8, 60 * 1024 * 1024, 256
local GIVE_UP_MS = 2000
local g = gateways.new{control = 1, gateways = 1, portals = 1}
g:start()
local control = g.control[1]
local address = control.ip .. ":" .. g.wire_port

-- The ZeroMQ greeting without security, the command READY of a dealer, and the header of a long message (RFC 23).
local greeting = "\xff" .. ("\0"):rep(8) .. "\x7f" .. "\3\0" .. "NULL" .. ("\0"):rep(16) .. "\0" .. ("\0"):rep(31)
local ready = "\5READY" .. "\11Socket-Type" .. string.pack(">I4", 6) .. "DEALER"
local start = greeting .. "\4" .. string.char(#ready) .. ready .. "\2" .. string.pack(">I8", MESSAGE_BYTES)

crowds.reset_peak(control)
local conns = crowds.open(address, PEERS)
for _, c in ipairs(conns) do
  run.raw_send(c, start)
  run.raw_send(c, ("w"):rep(MESSAGE_BYTES - 1), GIVE_UP_MS)
end
crowds.wait_read(address)
local function is_served() return g:control_call(control, "GET", "/config").status == 200 end
fleet.eventually("an ordinary read beside them", is_served)
crowds.close(conns)
fleet.eventually("an ordinary read afterwards", is_served)
crowds.check_kept("beside them", control, MEMORY_MB)
g:stop()
