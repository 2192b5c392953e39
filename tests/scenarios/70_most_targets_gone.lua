-- Guards against requests that are refused for want of a connection while live targets were never asked. When more
-- than half of the targets of a service are silent, the receiver of their heartbeats may be at fault, so they are
-- used. Here they are gone: they are idle and came first, seven connects failed, which is all that a request may
-- try, and it was refused with 3006 (connect) although three targets were alive.
local fleet = require("fleet")
local gateways = require("gateways")
local ENGINES, LIVE, STREAMS = 11, 3, 66
local g = gateways.new{control = 1, gateways = 8, engines = ENGINES}
g:start()

-- Streams keep three targets busy; those at the others end at once.
for i = 1, LIVE do g["engine-" .. i]:fault("gap=100") end
local streams = {}
for i = 1, STREAMS do
  streams[i] = run.http_start((g:call{path = "/again/x", events = 40, body = "stream " .. i, gateway = g.gateways[1]}))
end
fleet.eventually("each of these targets runs a stream", function()
  for i = 1, LIVE do
    if g["engine-" .. i]:stats().total == 0 then return false end
  end
  return true
end)

for i = LIVE + 1, ENGINES do
  g["engine-" .. i]:kill()
  g["engine-" .. i].gone = true
end
for _, p in ipairs(g.gateways) do
  fleet.eventually(p.name .. " learns that they are silent", function()
    return select(2, fleet.read(p.log):gsub("ev=target%-silent", "")) == ENGINES - LIVE
  end)
end

-- The first request at each gateway reaches a live target. All are sent at once: gateways report failed connects to
-- each other.
local first = {}
for i = 2, #g.gateways do
  first[i] = run.http_start((g:call{path = "/chat/a", events = 1, body = "first " .. i, gateway = g.gateways[i]}))
end
for i = 2, #g.gateways do
  fleet.equal("the first request at gateway " .. i .. ": status", run.http_wait(first[i]).status, 200)
end
for _, h in ipairs(streams) do run.http_wait(h) end
g:stop()
