-- Promise: what is in quarantine is known again after all gateways ended at once, and after all control
-- instances did: those that are left tell it.
local fleet = require("fleet")
local gateways = require("gateways")
local MOST = 3
local g = gateways.new{control = 3, gateways = 2, engines = 0, portals = 6}
g:start()

local count_ended = fleet.counter_of_ends(g.targets)
local function ask(i) return g:ask{path = "/once/crash", body = "crash", gateway = g.gateways[i]} end
local function restart(list)
  for _, p in ipairs(list) do p:kill() end
  for _, p in ipairs(list) do p:start() end
  g:wait_ready()
end
local function all_know(list)
  for _, p in ipairs(list) do
    fleet.eventually(p.name .. " knows it", function() return p:counter("quarantined") == 1 end)
  end
end

for i = 1, MOST do
  ask(1)
  fleet.eventually("its target has ended", function() return count_ended() == i end)
end
all_know(g.gateways)
all_know(g.control)
for round, list in ipairs{g.gateways, g.control, g.gateways} do
  restart(list)
  all_know(g.gateways)
  all_know(g.control)
  for i = 1, 2 do
    local r = ask(i)
    fleet.equal("round " .. round .. ": refused at gateway " .. i, run.json(r.body).error.name, "quarantined")
  end
end
fleet.equal("targets that ended", count_ended(), MOST)
g:stop()
