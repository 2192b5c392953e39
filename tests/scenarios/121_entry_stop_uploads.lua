-- Guards against a planned stop of an entry that closes the connections of requests which are still arriving without a word,
-- though their bodies become complete long before its stop_limit_ms; 119_late_in_a_stop plays the same at gateways.
local fleet = require("fleet")
local UPLOADS, LATE_MS, BODY, READ_MS = 6, 2000, 400, 3000
local f = fleet.new{entries = 2, engines = 1, services = 1}
f:start()
local entry = f.entries[1]
local conns = {}
for i = 1, UPLOADS do
  conns[i] = run.raw_open(entry.health)
  run.raw_send(conns[i], "POST /v1/services/portal/charge HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " .. f.KEYS.kett ..
    "\r\nContent-Length: " .. BODY .. "\r\n\r\n" .. ("u"):rep(BODY - 2))
end
run.pause(200)
entry:signal("TERM")
run.pause(LATE_MS)
for i = 1, UPLOADS do
  run.raw_send(conns[i], "uu")
  local text = run.raw_read(conns[i], READ_MS)
  local status = tonumber(text:match("^HTTP/1.1 (%d+)"))
  fleet.expect("upload " .. i .. ", complete " .. LATE_MS .. " ms after SIGTERM: " .. text:sub(1, 200), status == 200 or status == 503)
  run.raw_close(conns[i])
end
fleet.equal("exit code", entry:ended(), 0)
entry.gone = true
f:stop()
