-- Guards against a gateway that fails when its file descriptors run out. Idle connections of callers are
-- closed for new callers, the longest idle first; no connection with a request in progress is closed.
local fleet = require("fleet")
local gateways = require("gateways")
local DESCRIPTORS, CALLERS = 160, 400
local g = gateways.new{control = 3, gateways = 1, engines = 1, portals = 1}
local gateway = g.gateways[1]
gateway.descriptors = DESCRIPTORS
g:start()

-- A stream that is in flight all the while.
g.targets[1]:fault("gap=100")
local streamed = g:call{path = "/chat/x", events = 40, body = "q", timeout = 60}
local stream = run.http_start(streamed)
fleet.eventually("it runs", function() return g:sum("engine", "total") == 1 end)

local idle = {}
for i = 1, CALLERS do
  idle[i] = run.raw_open(gateway.http)
  run.raw_send(idle[i], "GET /safe/x HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: rest" .. i ..
    "\r\nApi-Key: kett-key\r\n\r\n")
  if i % 20 == 0 then
    fleet.eventually(i .. " were answered", function() return g:sum("portal", "total") == i end)
  end
end
fleet.equal("one more request is answered", g:ask{path = "/once/a", body = "x"}.status, 200)
fleet.expect("connections stay below the limit of descriptors", gateway:counter("gateway_clients") < DESCRIPTORS)
local r = run.http_wait(stream)
r.id = streamed.headers["X-Request-Id"]
fleet.expect("the stream is complete: " .. r.status, gateways.is_stream(r, 40))
g:stop()
