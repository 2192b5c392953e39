-- Guards against slow requests that are taken for hanging ones. A slow request is not ended while no other
-- target can run it, does not run twice where its duration is normal, and does not count as one under which
-- its target crashed. A request whose target hangs does count, once control takes the target for silent.
local fleet = require("fleet")
local gateways = require("gateways")
local SLOW_MS = 900 -- duration of an answer; the target sends nothing meanwhile
local g = gateways.new{control = 1, gateways = 1, engines = 1, portals = 1}
local function long_timeouts(s)
  for _, r in ipairs(s.routes) do r.timeout = 8000 end
end
g:start(long_timeouts)
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
fleet.equal("crashes counted for slow requests", gateway:counter("ended_under_total"), 0)
-- There is another target: the baseline duration is waited for.
local other = g:add_target("portal-2", "portal")
other:start()
fleet.eventually("the second target is known", function() return gateway:counter("gateway_targets") >= 3 end)
other:fault("delay=" .. SLOW_MS)
local before = g:sum("portal", "total")
ask({path = "/safe/a", method = "GET"}, 6)
fleet.equal("runs of six requests", g:sum("portal", "total") - before, 6)
fleet.equal("crashes counted for slow requests with two targets", gateway:counter("ended_under_total"), 0)

-- A target hangs: the request is retried at another one, and the crash is counted when control takes the
-- target for silent.
for _, t in ipairs(g.targets) do t:fault("delay=5") end
ask({path = "/safe/a", method = "GET"}, 60) -- short answers become the baseline again
for _, t in ipairs(g.targets) do t:fault("delay=400") end
local arrivals_before = {}
for _, t in ipairs(g.targets) do arrivals_before[t] = t:stats().total end
local call = run.http_start((g:call{path = "/safe/hang", method = "GET"}))
local hanging
fleet.eventually("the request is at a target", function()
  for _, t in ipairs(g.targets) do
    if t:stats().total > arrivals_before[t] then hanging = t end
  end
  return hanging
end)
hanging:pause()
local r = run.http_wait(call)
fleet.equal("status at the other target: " .. r.body, r.status, 200)
fleet.eventually("the crash is counted", function() return gateway:counter("ended_under_total") == 1 end)
hanging:continue()
g:stop()
