-- Promise: a request that takes long is waited for: it is not ended while nobody else can run it, does not
-- run twice where its length is usual, and is not held against it as if its target had ended. One whose
-- target does hang is, once control misses the target.
local fleet = require("fleet")
local gateways = require("gateways")
local SLOW_MS = 900 -- of an answer; nothing else comes from the target meanwhile
local g = gateways.new{control = 1, gateways = 1, engines = 1, portals = 1}
local function patient(s)
  for _, r in ipairs(s.routes) do r.timeout = 8000 end
end
g:start(patient)
local gateway = g.gateways[1]
local function ask(o, n)
  for i = 1, n do
    local r = g:ask(o)
    fleet.expect(string.format("%s %d: %d %s", o.path, i, r.status, r.body), r.status == 200 and r.whole)
  end
end
-- The target is the only one of its service.
for _, t in ipairs(g.targets) do t:fault("delay=" .. SLOW_MS) end
ask({path = "/safe/a", method = "GET"}, 4)
ask({path = "/again/a", events = 3}, 4)
fleet.equal("no request is charged", gateway:counter("ended_under_total"), 0)
-- There is another one: what is usual by now is waited for.
local other = g:add_target("portal-2", "portal")
other:start()
fleet.eventually("it is known", function() return gateway:counter("gateway_targets") >= 3 end)
other:fault("delay=" .. SLOW_MS)
local before = g:sum("portal", "total")
ask({path = "/safe/a", method = "GET"}, 6)
fleet.equal("each ran once", g:sum("portal", "total") - before, 6)
fleet.equal("no request is charged for what it takes", gateway:counter("ended_under_total"), 0)

-- One that hangs: the request goes on elsewhere, and the end counts when control misses the target.
for _, t in ipairs(g.targets) do t:fault("delay=5") end
ask({path = "/safe/a", method = "GET"}, 60) -- a short answer is usual again
for _, t in ipairs(g.targets) do t:fault("delay=400") end
local had = {}
for _, t in ipairs(g.targets) do had[t] = t:stats().total end
local call = run.http_start((g:call{path = "/safe/hang", method = "GET"}))
local hangs
fleet.eventually("it is at a target", function()
  for _, t in ipairs(g.targets) do
    if t:stats().total > had[t] then hangs = t end
  end
  return hangs
end)
hangs:pause()
local r = run.http_wait(call)
fleet.equal("it is answered elsewhere: " .. r.body, r.status, 200)
fleet.eventually("the end counts", function() return gateway:counter("ended_under_total") == 1 end)
hangs:continue()
g:stop()
