-- turns.lua: helper of the scenarios in which the platform hands most new connections to one gateway.
local fleet = require("fleet")
local gateways = require("gateways")
local turns = {}

local STEP_MS = 20
local EVENTS, GAP_MS = 3, 40 -- a stream of 0.1 s
local TARGETS = 4

-- A fleet of `n` gateways whose routes find prompts by their prefix.
function turns.fleet(n, daemon)
  local g = gateways.new{control = 1, gateways = n, engines = TARGETS, daemon = daemon}
  g:start(function(s)
    for _, r in ipairs(s.routes) do r.sticky = r.kind == "stream" end
  end)
  for _, t in ipairs(g.targets) do t:fault("gap=" .. GAP_MS) end
  return g
end

-- Index of the gateway that gets the i-th connection: nine of ten go to `hot`, or each in turn.
function turns.gateway_of(g, i, hot)
  if hot and i % 10 ~= 0 then return hot end
  return (hot and i // 10 or i) % #g.gateways + 1
end

local serial = 0
local function start(g, o, request)
  serial = serial + 1
  request.tries = request.tries + 1
  request.h = run.http_start((g:call{path = "/chat/a", events = EVENTS, body = o.body or "q", timeout = o.deadline_s,
    gateway = g.gateways[request.gateway], prefix = string.format("a1:50,5%x:40,f%x:10", serial % 40, serial)}))
end

-- Each of the other gateways in turn.
local retries = 0
local function another_gateway(g, gateway)
  retries = retries + 1
  return (gateway + retries % (#g.gateways - 1)) % #g.gateways + 1
end

-- Takes the result of a try. One whose connection was closed before the request was read is followed by another one.
local function finish(g, o, request)
  local r = run.http_wait(request.h)
  if r.status == 0 and r.us < o.deadline_s * 1000000 and request.tries < #g.gateways then
    request.gateway = another_gateway(g, request.gateway)
    start(g, o, request)
    return false
  end
  request.result = r
  return true
end

-- Sends requests for `ms`, `rate` a second, nine of ten to the gateway of index `hot` (nil: to each in turn), and waits
-- for their answers. Fields of o: deadline_s; body. Returns the requests.
function turns.play(g, o, hot, rate, ms)
  local all, pending, began = {}, {}, run.now()
  while run.now() - began < ms or #pending > 0 do
    local due = math.min(run.now() - began, ms) * rate // 1000
    while #all < due do
      local request = {at = run.now() - began, gateway = turns.gateway_of(g, #all + 1, hot), tries = 0}
      start(g, o, request)
      all[#all + 1] = request
      pending[#pending + 1] = request
    end
    for i = #pending, 1, -1 do
      if run.http_done(pending[i].h) and finish(g, o, pending[i]) then table.remove(pending, i) end
    end
    run.pause(STEP_MS)
  end
  return all
end

-- Share of the requests from a time on that were answered within their deadline at the first attempt that was read.
function turns.answered(o, all, from_ms)
  local asked, good, closed = 0, 0, 0
  for _, request in ipairs(all) do
    if request.at >= from_ms then
      local r = request.result
      local in_time = r.status == 200 and r.whole and r.us <= o.deadline_s * 1000000
      asked = asked + 1
      closed = closed + request.tries - 1
      good = good + (in_time and 1 or 0)
    end
  end
  print(string.format("%d of %d, %d closed unread", good, asked, closed))
  return good / asked
end

-- Plays `even_rate` requests a second in turn, then `turn_rate` of which nine of ten go to the first gateway, then to the
-- second: from `contact_ms` after each turn on, `part` as many are answered as before.
function turns.check(g, o)
  local before = turns.answered(o, turns.play(g, o, nil, o.even_rate, o.even_ms), 1000)
  for turn = 1, 2 do
    local share = turns.answered(o, turns.play(g, o, turn, o.turn_rate, o.turn_ms), o.contact_ms)
    fleet.expect(string.format("turn %d: %.2f answered, %.2f before", turn, share, before), share >= o.part * before)
  end
end

return turns
