-- Guards against a gateway that refuses what the fleet has room for. The platform hands nine of ten new connections to
-- one gateway for some seconds, then to another. Each gateway had the connections to a target that its part of the
-- number of gateways allows, whatever came to it: 120 of 600 here, while the others used none.
--
-- Here: from CONTACT_MS after the turn on, requests are answered at the first attempt three quarters as often as before.
local fleet = require("fleet")
local gateways = require("gateways")
local turns = require("turns")
local CONTACT_MS, PART = 3000, 0.75
local RATE = 300 -- requests a second
local STEP_MS, EACH_STEP = 20, 6
local SLOTS = 40 -- of each target
local EVENTS, GAP_MS = 9, 90 -- a stream of 0.8 s
local EVEN_MS, TURN_MS = 4000, 6000
local g = gateways.new{control = 1, gateways = 5, engines = 6}
for _, t in ipairs(g.targets) do t:set_slots(SLOTS) end
g:start(function(s)
  s.engine = SLOTS
  for _, r in ipairs(s.routes) do r.sticky = r.kind == "stream" end
end)
for _, t in ipairs(g.targets) do
  t:fault("gap=" .. GAP_MS)
end

local function play(hot, ms)
  local calls, start, i = {}, run.now(), 0
  while run.now() - start < ms do
    for _ = 1, EACH_STEP do
      i = i + 1
      local o = {path = "/chat/a", events = EVENTS, body = "q", timeout = 8, gateway = g.gateways[turns.gateway_of(g, i, hot)],
        prefix = string.format("a1:50,5%x:40,f%x:10", i % 40, i)}
      calls[#calls + 1] = {at = run.now() - start, h = run.http_start((g:call(o)))}
    end
    local wait = start + #calls // EACH_STEP * STEP_MS - run.now()
    if wait > 0 then run.pause(wait) end
  end
  return calls
end

-- Share of the requests from a time on that were answered.
local function answered(calls, from_ms)
  local asked, good = 0, 0
  for _, c in ipairs(calls) do
    local r = run.http_wait(c.h)
    if c.at >= from_ms then
      asked = asked + 1
      good = good + (r.status == 200 and r.whole and 1 or 0)
    end
  end
  print(string.format("%d of %d", good, asked))
  return good / asked
end

local before = play(nil, EVEN_MS)
local first = play(1, TURN_MS)
local second = play(2, TURN_MS)
local even = answered(before, 1000)
for i, calls in ipairs{first, second} do
  local share = answered(calls, CONTACT_MS)
  fleet.expect(string.format("turn %d: %.2f answered, %.2f before", i, share, even), share >= PART * even)
end
g:stop()
