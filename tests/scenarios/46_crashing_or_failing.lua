-- Promise: a target that fails a request by an answer of its own (500) does not speak for the request:
-- when others end under it, it is still sent to three and no more.
local fleet = require("fleet")
local gateways = require("gateways")
local MOST = 3
local g = gateways.new{control = 1, gateways = 2, engines = 0, portals = 7}
g:start()

local count_ended = fleet.counter_of_ends(g.targets)
local knows = fleet.wait_told_ends

for _, t in ipairs(g.targets) do t:fault("grey=1") end -- each fails it once, then ends under it
local refused, failed = 0, 0
for i = 1, 60 do
  local before = count_ended()
  local r = g:ask{path = "/once/crash", body = "crash", gateway = g.gateways[i % 2 + 1]}
  if r.status == 500 then
    failed = failed + 1
  elseif r.status == 503 and run.json(r.body).error.name == "quarantined" then
    refused = refused + 1
  elseif r.status == 502 then
    fleet.eventually("its target has ended", function() return count_ended() > before end)
  end
  local ended = count_ended()
  fleet.expect("it ends " .. MOST .. " targets, not " .. ended, ended <= MOST)
  for _, p in ipairs(g.gateways) do knows(p, ended) end
  if refused > 4 then break end
end
fleet.equal("targets that ended", count_ended(), MOST)
fleet.expect("refused then: " .. refused, refused > 4)
fleet.expect("it has failed, too", failed > 0)
g:stop()
