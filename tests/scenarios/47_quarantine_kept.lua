-- Guards against a quarantine that is lost when all gateways, or all control instances, are killed at once:
-- the remaining processes report it to the restarted ones.
local fleet = require("fleet")
local gateways = require("gateways")
local MAX_CRASHES = 3
local g = gateways.new{control = 3, gateways = 2, engines = 0, portals = 6}
g:start()

local count_crashed = fleet.end_counter(g.targets)
local function ask(i) return g:ask{path = "/once/crash", body = "crash", gateway = g.gateways[i]} end
local function restart(list)
  for _, p in ipairs(list) do p:kill() end
  for _, p in ipairs(list) do p:start() end
  g:wait_ready()
end
local function all_know(list)
  for _, p in ipairs(list) do
    fleet.eventually(p.name .. " knows the quarantined request", function() return p:counter("quarantined") == 1 end)
  end
end

for i = 1, MAX_CRASHES do
  ask(1)
  fleet.eventually("the target of the request has crashed", function() return count_crashed() == i end)
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
fleet.equal("crashed targets", count_crashed(), MAX_CRASHES)
g:stop()
