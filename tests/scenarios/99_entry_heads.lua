-- Guards against headers that an entry forwards though they concern one connection, as those that a Connection line lists,
-- or though they were never sent, as the name before a folded line.
local fleet = require("fleet")
local f = fleet.new{entries = 1, engines = 1, services = 1}
f:start()
local service = f.engines[2]
local r = run.http(f:call{body = "x", headers = {["X-Own"] = "kept", ["X-Hop"] = "dropped", ["X-Second"] = "dropped",
  ["Proxy-Connection"] = "dropped", Connection = "X-Hop,\tX-Second"}})
fleet.equal("status", r.status, 200)
local head = service:get("/received").body
fleet.expect("its own header arrives in " .. head, head:find("X-Own: kept", 1, true))
fleet.expect("headers of the connection do not arrive in " .. head, not head:find("dropped", 1, true))

-- An entry reads requests with the same parser as a gateway: a folded line gets no name of an earlier request.
local c = run.raw_open(f.entries[1].health)
run.raw_send(c, "GET /health/live HTTP/1.1\r\nHost: x\r\nX-Some-Longer-Name: 1\r\n\r\n")
fleet.expect("a sound request", run.raw_read(c, 5000, "live"):find("HTTP/1.1 200", 1, true))
run.raw_send(c, "POST /v1/services/portal/charge HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " .. f.KEYS.kett ..
  "\r\n folded\r\nContent-Length: 1\r\n\r\nx")
local text, closed = run.raw_read(c, 5000)
run.raw_close(c)
fleet.expect("an entry refuses a folded line: " .. text, closed and text:find("^HTTP/1.1 400"))
f:stop()
