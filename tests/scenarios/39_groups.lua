-- Guards against gateways that do not know each other's load. Gateways form groups whose aggregator sums the
-- loads, so that not each sends to each; half of the gateways, aggregators among them, are then killed.
local fleet = require("fleet")
local gateways = require("gateways")
local GATEWAYS, STREAMS = 16, 6
local g = gateways.new{control = 1, gateways = GATEWAYS, engines = 4, portals = 0, text = "load_times = 100"}
g:start()
for _, t in ipairs(g.targets) do t:fault("gap=60000") end
for _ = 1, STREAMS do
  run.http_start((g:call{path = "/chat/a", events = 2, gateway = g.gateways[1], deadline = 60000}))
end
local function expect_known(what, list)
  for _, p in ipairs(list) do
    fleet.eventually(what .. ": " .. p.name .. " knows the load of the first gateway", function() return p:counter("gateway_others") == STREAMS end)
  end
end
local others = {table.unpack(g.gateways, 2)}
expect_known("all gateways run", others)
-- Half of the gateways are killed, among them the aggregators of some groups.
local left = {}
for i, p in ipairs(others) do
  if i % 2 == 0 then p:kill() p.gone = true else left[#left + 1] = p end
end
expect_known("half of the gateways killed", left)
g:stop()
