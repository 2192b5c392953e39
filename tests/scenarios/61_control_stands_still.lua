-- Promise: a control instance that stood still does not take its own silence for that of targets and
-- gateways: it tells nobody that a target is silent, and forgets none.
local fleet = require("fleet")
local gateways = require("gateways")
local BEAT_MS = 100 -- of the stand-in targets; silent after 4, forgotten after 40
local g = gateways.new{control = 1, gateways = 2, engines = 2, portals = 2}
g:start()
local control = g.control[1]
for _, beats in ipairs{3, 6, 45} do
  control:pause()
  run.pause(beats * BEAT_MS)
  control:continue()
  run.pause(10 * BEAT_MS) -- what it would say of silence it has said by then
  local log = fleet.read(control.log)
  fleet.expect("no target is silent after " .. beats .. " beats: " .. (log:match("[^\n]*target%-silent[^\n]*") or ""), not log:find("ev=target%-silent"))
  fleet.expect("none is forgotten after " .. beats .. " beats", not log:find("ev=target%-forgotten"))
  for _, p in ipairs(g.gateways) do
    fleet.equal(p.name .. " was told of none", fleet.lines(p, "ev=target%-silent"), 0)
    fleet.equal(p.name .. " serves", g:ask{path = "/once/a", body = "x", gateway = p}.status, 200)
  end
end
-- One that does end is missed as before.
g["portal-1"]:kill()
g["portal-1"].gone = true
fleet.eventually("it is silent", function() return fleet.lines(control, "ev=target%-silent") == 1 end)
g:stop()
