-- Guards against a 200 with an empty or short body that looks whole: a target ends its connection inside the head of its
-- answer.
local fleet = require("fleet")
local gateways = require("gateways")
local CUTS = {1, 9, 12, 15, 16, 17, 30, 60, -20, -4, -3, -2, -1} -- bytes of the head; before its end if negative
local g = gateways.new{control = 1, gateways = 1, engines = 2, portals = 2}
g:start()
local paths = {{path = "/once/a"}, {path = "/safe/a"}, {path = "/chat/x", events = 3}, {path = "/again/x", events = 3}}
for framing = 0, 2 do
  g:fault("", "head_framing=" .. framing)
  for _, p in ipairs(paths) do
    local met = 0
    for _, cut in ipairs(CUTS) do
      g:fault("", "cut_head=" .. cut)
      local r = g:ask{path = p.path, events = p.events, body = "question", deadline = 3000}
      fleet.expect(p.path .. ", framing " .. framing .. ", cut " .. cut .. ": " .. r.status, r.status == 502 or r.status == 503)
      met = met + (r.status == 502 and 1 or 0)
    end
    fleet.expect("a request met it at " .. p.path, met > 0)
    g:fault("", "cut_head=0")
    fleet.eventually("served again at " .. p.path, function()
      return g:ask{path = p.path, events = p.events, body = "sound"}.status == 200
    end)
  end
end
g:stop()
