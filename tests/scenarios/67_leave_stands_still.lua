-- Guards against a control instance that was suspended while it waited for another instance to confirm that a
-- target leaves, takes its own stall for silence of the others, and acknowledges the leaving alone, though the
-- confirmation is in its socket.
local fleet = require("fleet")
local gateways = require("gateways")
local CONFIRM_MS = 400 -- limit of a control instance for a confirmation
local TARGETS = 6
local g = gateways.new{control = 3, gateways = 1, engines = 0, portals = TARGETS}
g:start()
local asked = g.control[1]

-- The others are suspended until the report has come, so that their confirmations arrive while the instance that
-- was asked is suspended: for a little less than the limit, a little more, and ten times as long.
local factors = {0.8, 1.3, 10}
for i = 1, TARGETS do
  local times = factors[(i - 1) % #factors + 1]
  fleet.eventually("portal-" .. i .. " is known", function() return fleet.read(asked.log):find("target%-joined[^\n]*target=i%-portal%-" .. i .. " ") end)
  for k = 2, 3 do g.control[k]:pause() end
  local leave = run.http_start{url = "http://" .. asked.health, method = "DELETE", path = "/replicas/i-portal-" .. i, timeout = 10}
  run.pause(30)
  asked:pause()
  for k = 2, 3 do g.control[k]:continue() end
  run.pause(math.floor(times * CONFIRM_MS))
  asked:continue()
  local what = string.format("suspended for %g times the limit, target %d: ", times, i)
  fleet.equal(what .. "status", run.http_wait(leave).status, 200)
  fleet.equal(what .. "leavings acknowledged alone", asked:counter("leaves_alone_total"), 0)
end
g:stop()
