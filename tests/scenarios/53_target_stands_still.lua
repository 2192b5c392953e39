-- Guards against streams broken by a pause of their target that the route's timeout allows. 36_many_callers
-- failed when its stand-in engine was paused for 1.2 s, or twice for 0.8 s: the
-- stream lasts 4 s and the route's timeout was 5 s, and the gateway logged "broken-off age=5001 why=\"time is
-- up\"" in each of these runs. Only the timeout that an operator sets may end a stream, not the pause itself.
local fleet = require("fleet")
local gateways = require("gateways")
local PAUSE_MS = 1500
local g = gateways.new{control = 1, gateways = 1, engines = 1, portals = 1}
g:start(function(s)
  for _, r in ipairs(s.routes) do
    if r.name == "chat" then r.timeout = 15000 end
  end
end)
g.targets[1]:fault("gap=100")
local streamed = g:call{path = "/chat/x", events = 20, body = "q", timeout = 60}
local stream = run.http_start(streamed)
fleet.eventually("it runs", function() return g:sum("engine", "total") == 1 end)
g.targets[1]:pause()
run.pause(PAUSE_MS)
g.targets[1]:continue()
local r = run.http_wait(stream)
r.id = streamed.headers["X-Request-Id"]
fleet.expect("the stream is complete: " .. r.status, gateways.is_stream(r, 20))
fleet.equal("runs of the stream", g:sum("engine", "total"), 1)
g:stop()
