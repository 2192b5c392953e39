-- Guards against an answer that looks complete although its target crashed, in a stream between two events: without a
-- length and without chunks the end of the connection alone tells of the end, and a crash closes it, too.
local fleet = require("fleet")
local gateways = require("gateways")
local EVENTS = 12
local g = gateways.new{control = 3, gateways = 1, engines = 3, portals = 3}
g:start()
g:wait_budgets()

local engines = {}
for _, t in ipairs(g.targets) do
  if t.service == "llm" then engines[#engines + 1] = t end
end

-- Begins a stream whose events come slowly, and kills the target that sends it.
local asked = 0
local function ask_and_kill(path)
  local before = {}
  g:fault("engine", "unframed=100")
  g:fault("engine", "gap=100")
  for i, t in ipairs(engines) do before[i] = t:stats().total end
  asked = asked + 1
  local c, id = g:call{path = path, events = EVENTS, body = "question " .. asked}
  local handle = run.http_start(c)
  local killed
  fleet.eventually("a target runs the request", function()
    for i, t in ipairs(engines) do
      if t:stats().total > before[i] then killed = t end
    end
    return killed
  end)
  run.pause(250) -- some events later
  killed:kill()
  local r = run.http_wait(handle)
  r.id = id
  killed:start()
  return r
end

for i = 1, 3 do
  local r = ask_and_kill("/chat/x")
  fleet.expect("it has begun, " .. i .. ": " .. r.body, r.status == 200 and r.body:find("\n\n$"))
  fleet.expect("it does not look complete, " .. i, not r.whole)
  r = ask_and_kill("/again/x")
  fleet.expect("it goes on at another target, " .. i .. ": " .. r.body, gateways.is_stream(r, EVENTS))
end

-- A target that lives has ended its stream by itself.
g:fault("engine", "unframed=100")
g:fault("engine", "gap=0")
for i = 1, 3 do
  local r = g:ask{path = "/chat/x", events = EVENTS, body = "a whole one " .. i}
  fleet.expect("whole " .. i, gateways.is_stream(r, EVENTS))
end

-- The same for plain answers: one that may not be repeated fails, one that may comes from another target.
local portals = {}
for _, t in ipairs(g.targets) do
  if t.service == "portal" then portals[#portals + 1] = t end
end
g:fault("portal", "unframed=100")
local ended = fleet.end_counter(portals)
local r = g:ask{path = "/once/a", body = "end-in-answer 1"}
fleet.equal("half an answer of a target that ended", r.status, 502)
fleet.eventually("a target has ended", function() return ended() == 1 end)
for _, t in ipairs(portals) do
  if t.gone then
    t.gone = nil
    t:start()
  end
end
g:fault("portal", "unframed=100")
for i = 1, 6 do
  r = g:ask{path = "/once/a", body = "x"}
  fleet.equal("a whole answer " .. i, r.body, "POST /once/a " .. r.id .. " 1")
end
g:stop()
