-- Guards against a control instance that was suspended and takes its own stall for silence of targets and
-- gateways: it must report no target as silent and forget none.
local fleet = require("fleet")
local gateways = require("gateways")
local BEAT_MS = 100 -- heartbeat interval of the stand-in targets: silent after 4 intervals, forgotten after 40
local g = gateways.new{control = 1, gateways = 2, engines = 2, portals = 2}
g:start()
local control = g.control[1]
for _, heartbeats in ipairs{3, 6, 45} do
  control:pause()
  run.pause(heartbeats * BEAT_MS)
  control:continue()
  run.pause(10 * BEAT_MS) -- by then it has logged any target that it takes for silent
  local log = fleet.read(control.log)
  fleet.expect("no target is silent after " .. heartbeats .. " heartbeats: " .. (log:match("[^\n]*target%-silent[^\n]*") or ""), not log:find("ev=target%-silent"))
  fleet.expect("none is forgotten after " .. heartbeats .. " heartbeats", not log:find("ev=target%-forgotten"))
  for _, p in ipairs(g.gateways) do
    fleet.equal(p.name .. " logs silent targets", fleet.lines(p, "ev=target%-silent"), 0)
    fleet.equal(p.name .. " serves", g:ask{path = "/once/a", body = "x", gateway = p}.status, 200)
  end
end
-- A target that is killed is still noticed.
g["portal-1"]:kill()
g["portal-1"].gone = true
fleet.eventually("the killed target is silent", function() return fleet.lines(control, "ev=target%-silent") == 1 end)
g:stop()
