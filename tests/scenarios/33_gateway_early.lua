-- Guards against failed requests at a gateway that has no configuration yet after its start. Requests wait
-- for the configuration and are answered; a caller whose deadline is too short is refused without a run and
-- told when to retry.
local fleet = require("fleet")
local gateways = require("gateways")
local g = gateways.new{control = 3, gateways = 1, engines = 1, portals = 2, text = "await_ms = 20000"}
g:start()
local gateway = g.gateways[1]
local EARLY = 40

for _, c in ipairs(g.control) do c:pause() end
gateway:signal("KILL")
run.wait(gateway.pid, 20000)
gateway:start()
local calls = {}
for i = 1, EARLY do
  local path = i % 2 == 0 and "/safe/a" or "/once/a"
  calls[i] = run.http_start(g:call{path = path, method = "POST", body = "x", deadline = 120000, timeout = 60})
end
local function awaiting() return gateway:counter("gateway_awaiting") end
fleet.eventually("all requests wait", function() return awaiting() == EARLY end)

-- A request waits at most a third of its deadline.
local short = g:ask{path = "/once/a", body = "x", deadline = 300}
fleet.equal("a request with a short deadline is refused", short.status, 503)
fleet.expect("Retry-After of the refusal is set", tonumber(short["Retry-After"]) > 0)

-- A caller that disconnects waits no longer.
local leaving = run.raw_open(gateway.http)
run.raw_send(leaving, "GET /safe/a HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: leaver\r\nApi-Key: kett-key\r\n\r\n")
fleet.eventually("the request of the caller that will leave waits", function() return awaiting() == EARLY + 1 end)
run.raw_close(leaving)
fleet.eventually("the request of the disconnected caller no longer waits", function() return awaiting() == EARLY end)

for _, c in ipairs(g.control) do c:continue() end
for i = 1, EARLY do fleet.equal("early request " .. i, run.http_wait(calls[i]).status, 200) end
fleet.equal("waiting requests", awaiting(), 0)
fleet.equal("runs", g:sum("portal", "total"), EARLY)
g:stop()
