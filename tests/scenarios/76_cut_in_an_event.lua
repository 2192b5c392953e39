-- Guards against a stream that a target broke off inside an event and that reaches the caller as complete: an answer
-- with neither a length nor chunks ends with its connection, also when the target crashed.
local fleet = require("fleet")
local gateways = require("gateways")
local EVENTS = 12
local g = gateways.new{control = 3, gateways = 1, engines = 3, portals = 1}
g:start()
g:wait_budgets()

local function set(fault) g:fault("engine", fault) end

-- Makes the next stream at each target break off in this event.
local function cut_in(event, framing)
  set("cut_event=" .. event)
  set("unframed=" .. (framing == "unframed" and 100 or 0))
  set("cut=1")
end

-- Each request has content of its own: one under which several targets break off is put in quarantine.
local asked = 0
local function ask(path)
  asked = asked + 1
  return g:ask{path = path, events = EVENTS, body = "question " .. asked}
end

local function is_prefix_of_stream(s)
  local events, n = 0, 0
  for id, data in s.body:gmatch("id: (%d+)\ndata: ([^\n]+)\n\n") do
    events, n = events + 1, n + #("id: " .. id .. "\ndata: " .. data .. "\n\n")
    if tonumber(id) ~= events then return false end
  end
  return n == #s.body
end

for _, framing in ipairs{"unframed", "chunked"} do
  for _, event in ipairs{1, 4, EVENTS} do
    for i = 1, 3 do
      local what = string.format("%s, cut in event %d, %d", framing, event, i)
      cut_in(event, framing)
      local s = ask("/chat/x")
      if event == 1 then
        fleet.equal(what .. ": status when nothing was passed on", s.status, 502)
      else
        fleet.expect(what .. ": does not look complete", not s.whole)
        fleet.expect(what .. ": no half event", is_prefix_of_stream(s))
      end
      -- Only the first target may cut: the stream is resumed at another one.
      set("cut=0")
      g.targets[i]:fault("cut=1")
      for _ = 1, 4 do
        s = ask("/again/x")
        fleet.expect(what .. ": resumed, " .. s.status .. " " .. s.body, gateways.is_stream(s, EVENTS))
      end
    end
  end
end
set("cut=0")

-- A stream that ends between two events is complete.
set("unframed=100")
for i = 1, 3 do
  local s = ask("/chat/x")
  fleet.expect("whole and unframed " .. i .. ": " .. s.status, gateways.is_stream(s, EVENTS))
end

-- A target that breaks a stream off has failed: the request is charged with it.
fleet.expect("streams count as broken off", g.gateways[1]:counter("gateway_broken_total") > 0)
g:stop()
