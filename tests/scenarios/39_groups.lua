-- Promise: many gateways know each other's loads without each telling each, also when the
-- one that adds them up is gone.
local fleet = require("fleet")
local gateways = require("gateways")
local GATEWAYS, STREAMS = 16, 6
local g = gateways.new{control = 1, gateways = GATEWAYS, engines = 4, portals = 0, text = "load_times = 100"}
g:start()
for _, t in ipairs(g.targets) do t:fault("gap=60000") end
for _ = 1, STREAMS do
  run.http_start((g:call{path = "/chat/a", events = 2, gateway = g.gateways[1], deadline = 60000}))
end
local function knows(what, list)
  for _, p in ipairs(list) do
    fleet.eventually(what .. ": " .. p.name .. " knows of all", function() return p:counter("gateway_others") == STREAMS end)
  end
end
local others = {table.unpack(g.gateways, 2)}
knows("all there", others)
-- Half of them end, whoever adds up for its group among them.
local left = {}
for i, p in ipairs(others) do
  if i % 2 == 0 then p:kill() p.gone = true else left[#left + 1] = p end
end
knows("half of them gone", left)
g:stop()
