-- Guards against a gateway that reads more requests than its processor can serve. The platform hands nine of ten new
-- connections to one gateway for some seconds, which reads all of them and answers each too late.
--
-- Here: each read from a socket takes a gateway 8 ms. From CONTACT_MS after the turn on, requests that a gateway has
-- read are answered at the first attempt three quarters as often as before. Callers whose connection is closed before
-- their request is read turn to another gateway.
local fleet = require("fleet")
local gateways = require("gateways")
local CONTACT_MS, PART = 3000, 0.75
local STEP_MS = 20
local EVEN_RATE, TURN_RATE = 50, 100 -- requests a second
local DEADLINE_S = 3
local EVENTS, GAP_MS = 3, 40 -- a stream of 0.1 s, some five reads
local EVEN_MS, TURN_MS = 4000, 7000
local g = gateways.new{control = 1, gateways = 5, engines = 4, daemon = "peatwelld-slow"}
g:start(function(s)
  for _, r in ipairs(s.routes) do r.sticky = r.kind == "stream" end
end)
for _, t in ipairs(g.targets) do t:fault("gap=" .. GAP_MS) end
for _, p in ipairs(g.gateways) do p:signal("USR2") end

-- Index of the gateway that gets the i-th connection: nine of ten go to `hot`, or each in turn.
local function gateway_of(i, hot)
  if hot and i % 10 ~= 0 then return hot end
  return (hot and i // 10 or i) % #g.gateways + 1
end

local serial = 0
local function start(request)
  serial = serial + 1
  request.tries = request.tries + 1
  request.h = run.http_start((g:call{path = "/chat/a", events = EVENTS, body = "q", timeout = DEADLINE_S,
    gateway = g.gateways[request.gateway], prefix = string.format("a1:50,5%x:40,f%x:10", serial % 40, serial)}))
end

-- Takes the result of a try. One whose connection was closed before the request was read is followed by another one.
local function finish(request)
  local r = run.http_wait(request.h)
  if r.status == 0 and r.us < DEADLINE_S * 1000000 and request.tries < #g.gateways then
    request.gateway = request.gateway % #g.gateways + 1
    start(request)
    return false
  end
  request.result = r
  return true
end

local function play(hot, rate, ms)
  local all, pending, began = {}, {}, run.now()
  while run.now() - began < ms or #pending > 0 do
    local due = math.min(run.now() - began, ms) * rate // 1000
    while #all < due do
      local request = {at = run.now() - began, gateway = gateway_of(#all + 1, hot), tries = 0}
      start(request)
      all[#all + 1] = request
      pending[#pending + 1] = request
    end
    for i = #pending, 1, -1 do
      if run.http_done(pending[i].h) and finish(pending[i]) then table.remove(pending, i) end
    end
    run.pause(STEP_MS)
  end
  return all
end

-- Share of the requests from a time on that were answered at the first attempt that was read.
local function answered(all, from_ms)
  local asked, good, closed = 0, 0, 0
  for _, request in ipairs(all) do
    if request.at >= from_ms then
      asked = asked + 1
      closed = closed + request.tries - 1
      local r = request.result
      local in_time = r.status == 200 and r.whole and r.us <= DEADLINE_S * 1000000
      good = good + (in_time and 1 or 0)
    end
  end
  print(string.format("%d of %d, %d closed unread", good, asked, closed))
  return good / asked
end

local before = answered(play(nil, EVEN_RATE, EVEN_MS), 1000)
for turn = 1, 2 do
  local share = answered(play(turn, TURN_RATE, TURN_MS), CONTACT_MS)
  fleet.expect(string.format("turn %d: %.2f answered, %.2f before", turn, share, before), share >= PART * before)
end
g:stop()
