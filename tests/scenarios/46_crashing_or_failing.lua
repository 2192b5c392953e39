-- Promise: a target that fails a request by an answer of its own (500) does not speak for the request:
-- when others end under it, it is still sent to three and no more.
local fleet = require("fleet")
local gateways = require("gateways")
local MOST, TELL_MS = 3, 10000
local g = gateways.new{control = 1, gateways = 2, engines = 0, portals = 7}
g:start()

local ended = 0
local function count_ended()
  for _, t in ipairs(g.targets) do
    if not t.gone and run.wait(t.pid, 1) then
      t.gone = true
      ended = ended + 1
    end
  end
  return ended
end
local function knows(p, n)
  local until_ms = run.now() + TELL_MS
  while p:counter("ended_under_total") < n and run.now() < until_ms do run.pause(20) end
end

for _, t in ipairs(g.targets) do t:fault("grey=1") end -- each fails it once, then ends under it
local refused, failed = 0, 0
for i = 1, 60 do
  local before = ended
  local r = g:ask{path = "/once/crash", body = "crash", gateway = g.gateways[i % 2 + 1]}
  if r.status == 500 then
    failed = failed + 1
  elseif r.status == 503 and run.json(r.body).error.name == "quarantined" then
    refused = refused + 1
  elseif r.status == 502 then
    fleet.eventually("its target has ended", function() return count_ended() > before end)
  end
  fleet.expect("it ends " .. MOST .. " targets, not " .. ended, count_ended() <= MOST)
  for _, p in ipairs(g.gateways) do knows(p, ended) end
  if refused > 4 then break end
end
fleet.equal("targets that ended", count_ended(), MOST)
fleet.expect("refused then: " .. refused, refused > 4)
fleet.expect("it has failed, too", failed > 0)
g:stop()
