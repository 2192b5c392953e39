-- Guards against overload of a target that has just started. A target that reports itself cold gets no more
-- requests than it can bear, from all gateways together; when it is warm it gets its full share.
local fleet = require("fleet")
local gateways = require("gateways")
local PER_S, ROUNDS = 2, 60
local g = gateways.new{control = 1, gateways = 3, engines = 0, portals = 2}
g:start(function(s) s.cold = {s = 600, per_s = PER_S} end)
local cold, warm = g["portal-1"], g["portal-2"]

local function ask_all()
  local served = 0
  for i = 1, ROUNDS do
    local r = g:ask{path = "/once/a", gateway = g.gateways[i % 3 + 1]}
    if r.status == 200 then served = served + 1 end
  end
  return served
end
cold:fault("cold=600000")
for _, p in ipairs(g.gateways) do
  fleet.eventually(p.name .. " knows that the target is cold", function() return fleet.read(p.log):find("ev=target%-cold target=i%-portal%-1") end)
end
local began, before = run.now(), cold:stats().arrivals
fleet.eventually("the cold target gets requests", function()
  fleet.equal("served requests", ask_all(), ROUNDS)
  return cold:stats().arrivals - before >= 5
end)
local got, seconds = cold:stats().arrivals - before, (run.now() - began) / 1000
print(string.format("%d in %.1f s", got, seconds))
-- Each of the three gateways may send one request at once, and its first few before it learns its share.
fleet.expect("no more requests than a cold target bears: " .. got, got <= 1.5 * PER_S * seconds + 5)
fleet.expect("the warm target gets the rest", warm:stats().arrivals > got)

cold:fault("cold=0")
fleet.eventually("the target gets its share when it is warm", function()
  before = cold:stats().arrivals
  ask_all()
  return cold:stats().arrivals - before > ROUNDS / 4
end)
g:stop()
