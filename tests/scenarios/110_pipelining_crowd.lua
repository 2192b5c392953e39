-- Guards against a gateway that exceeds its memory because many callers send requests ahead while their first one is in
-- progress: the kernel kept megabytes of each that the gateway did not read, and these count as the process's memory.
-- Runs alone: see tools/run-tests.
local fleet = require("fleet")
local gateways = require("gateways")
local crowds = require("crowds")
local CALLERS, AHEAD_BYTES, MEMORY_MB = 120, 4 * 1024 * 1024, 32
local GIVE_UP_MS = 100
local g = gateways.new{control = 1, gateways = 1, portals = 3, text = "memory_mb = " .. MEMORY_MB}
for _, t in ipairs(g.targets) do t:set_slots(2 * CALLERS) end
g:start(function(s)
  for _, r in ipairs(s.routes) do r.timeout = 60000 end
end)
local gateway = g.gateways[1]
g:fault("portal", "hold=1")
crowds.reset_peak(gateway)
local conns = crowds.open(gateway.http, CALLERS)
local function request(path, id)
  return "GET " .. path .. " HTTP/1.1\r\nHost: a.example\r\nApi-Key: kett-key\r\nX-Request-Id: " .. id .. "\r\nX-Deadline-Ms: 60000\r\n\r\n"
end
for i, c in ipairs(conns) do run.raw_send(c, request("/once/a", "first-" .. i)) end
fleet.eventually("the first requests are in progress", function() return g:sum("portal", "arrivals") == CALLERS end)
local ahead = request("/safe/a", "ahead")
ahead = ahead:rep(AHEAD_BYTES // #ahead)
for _, c in ipairs(conns) do run.raw_send(c, ahead, GIVE_UP_MS) end
crowds.wait_read(gateway.http)
local unread, kb = crowds.unread_bytes(gateway.http), crowds.peak_kb(gateway)
g:fault("portal", "hold=0")
fleet.eventually("an ordinary request is answered", function() return g:ask{path = "/safe/a", body = "s"}.status == 200 end)
for i, c in ipairs(conns) do
  local text = run.raw_read(c, 10000, "\r\n\r\n")
  fleet.expect("the first request of caller " .. i .. ": " .. text:sub(1, 100), text:find("^HTTP/1.1 200"))
end
crowds.close(conns)
fleet.eventually("an ordinary request afterwards is answered", function() return g:ask{path = "/safe/a", body = "s"}.status == 200 end)
fleet.equal("the gateway lives", run.wait(gateway.pid, 0), nil)
if not run.bin:find("san") then
  fleet.expect("memory: " .. kb .. " kB, and " .. unread // 1024 .. " kB unread", kb + unread // 1024 <= MEMORY_MB * 1024)
end
g:stop()
