-- Guards against a crashing request that escapes the quarantine because some targets answer it. A target that
-- fails a request with its own answer (500) does not prove the request harmless: when other targets crash
-- under it, it must still reach three and no more.
local fleet = require("fleet")
local gateways = require("gateways")
local MAX_CRASHES = 3
local g = gateways.new{control = 1, gateways = 2, engines = 0, portals = 7}
g:start()

local count_crashed = fleet.end_counter(g.targets)
local wait_ends_counted = fleet.wait_ends_counted

for _, t in ipairs(g.targets) do t:fault("grey=1") end -- each target fails the request once, then crashes under it
local refused, failed = 0, 0
for i = 1, 60 do
  local before = count_crashed()
  local r = g:ask{path = "/once/crash", body = "crash", gateway = g.gateways[i % 2 + 1]}
  if r.status == 500 then
    failed = failed + 1
  elseif r.status == 503 and run.json(r.body).error.name == "quarantined" then
    refused = refused + 1
  elseif r.status == 502 then
    fleet.eventually("the target of the request has crashed", function() return count_crashed() > before end)
  end
  local crashed = count_crashed()
  fleet.expect("the request crashes " .. MAX_CRASHES .. " targets, not " .. crashed, crashed <= MAX_CRASHES)
  for _, p in ipairs(g.gateways) do wait_ends_counted(p, crashed) end
  if refused > 4 then break end
end
fleet.equal("crashed targets", count_crashed(), MAX_CRASHES)
fleet.expect("requests refused afterwards: " .. refused, refused > 4)
fleet.expect("the request also failed with 500", failed > 0)
g:stop()
