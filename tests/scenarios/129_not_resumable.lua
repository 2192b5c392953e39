-- Guards against a number that goes back: a caller resumed a stream on a route that does not allow it, and a target that
-- ignores Last-Event-Id began the answer anew.
local fleet = require("fleet")
local STREAMS, EVENTS = 8, 12
local g = require("gateways").new{control = 1, gateways = 1, engines = 1}
g:start()
for _, name in ipairs{"Last-Event-Id", "Resumes"} do
  local ran = g:sum("engine", "total")
  for i = 1, STREAMS do
    local r = g:ask{path = "/chat/x", events = EVENTS, body = "question " .. i, headers = {[name] = "4"}}
    fleet.equal(name .. ": status", r.status, 503)
    fleet.expect(name .. ": code in " .. r.body, r.body:find("2014"))
  end
  fleet.equal(name .. ": targets run none", g:sum("engine", "total"), ran)
end
fleet.expect("a stream that begins", g.is_stream(g:ask{path = "/chat/x", events = EVENTS, body = "question"}, EVENTS))
g:stop()
