-- Guards against a stream that repeats events: where the last event that a caller has carries no id, or a longer one
-- than the gateway keeps, the stream cannot go on after it, and must be broken off.
local fleet = require("fleet")
local gateways = require("gateways")
local EVENTS, CUT = 12, 6
local g = gateways.new{control = 3, gateways = 1, engines = 3, portals = 1}
g:start()
g:wait_budgets()

local function set(fault) g:fault("engine", fault) end

local asked = 0
local function ask(faults)
  for _, f in ipairs(faults) do set(f) end
  set("cut_event=" .. CUT)
  set("cut=1")
  asked = asked + 1
  local r = g:ask{path = "/again/x", events = EVENTS, body = "question " .. asked}
  local n = 0
  for number in r.body:gmatch("data: [^-]+%-(%d+)") do
    n = n + 1
    fleet.equal("event " .. n .. " of " .. r.body, tonumber(number), n)
  end
  return r, n
end

for i = 1, 3 do
  local r, n = ask{"ids=2", "id_digits=0"}
  fleet.expect("ids of the first events alone, " .. i .. ": broken off", not r.whole and n == CUT - 1)
  r, n = ask{"ids=0", "id_digits=100"}
  fleet.expect("ids that are too long, " .. i .. ": broken off", not r.whole and n == CUT - 1)
  r, n = ask{"ids=0", "id_digits=0"}
  fleet.expect("an id in each event, " .. i .. ": goes on", r.whole and n == EVENTS)
end
g:stop()
