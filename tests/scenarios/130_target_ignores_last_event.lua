-- Guards against a number that goes back: a target that ignores Last-Event-Id begins a resumed stream anew, both when its
-- caller resumes it and when the gateway does after another target has cut it.
local fleet = require("fleet")
local STREAMS, EVENTS, CUT_AT = 6, 12, 4
local g = require("gateways").new{control = 1, gateways = 1, engines = 2}
g:start()
g:fault("engine", "ignores_last=1")

local function expect_no_number_goes_back(what, r, last)
  for id in r.body:gmatch("id: (%d+)\n") do
    fleet.expect(what .. ": event " .. id .. " after " .. last, tonumber(id) > last)
    last = tonumber(id)
  end
end

for i = 1, STREAMS do
  local r = g:ask{path = "/again/x", events = EVENTS, body = "by its caller " .. i, headers = {["Last-Event-Id"] = tostring(CUT_AT)}}
  expect_no_number_goes_back("resumed by its caller", r, CUT_AT)
  fleet.expect("refused: " .. r.status, r.status >= 500)
end
fleet.eventually("targets are used again", function()
  return g.is_stream(g:ask{path = "/again/x", events = EVENTS, body = "new"}, EVENTS)
end)
g:fault("engine", "cut_event=" .. CUT_AT)
local cut = 0
for i = 1, STREAMS do
  g:fault("engine", "cut=1")
  local r = g:ask{path = "/again/x", events = EVENTS, body = "by the gateway " .. i}
  expect_no_number_goes_back("resumed by the gateway", r, 0)
  cut = cut + (r.status == 200 and not r.whole and 1 or 0)
end
fleet.expect("streams are cut", cut > 0)
fleet.expect("repeated events are counted", g.gateways[1]:counter("gateway_events_repeated_total") > 0)
g:fault("engine", "cut=0")
g:fault("engine", "ignores_last=0")
fleet.eventually("a sound target continues", function()
  local r = g:ask{path = "/again/x", events = EVENTS, body = "sound", headers = {["Last-Event-Id"] = tostring(CUT_AT)}}
  return r.body:match("^id: (%d+)") == tostring(CUT_AT + 1)
end)
g:stop()
