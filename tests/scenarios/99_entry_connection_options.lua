-- Guards against headers of one connection that an entry forwards: those that a Connection line lists reached the service.
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
f:stop()
