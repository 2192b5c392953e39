-- Promise: the same over agents: a service that fails a request by an answer of its own does not speak
-- for the request; when others end under it, it is still sent to three and no more.
local fleet = require("fleet")
local MOST = 3
local f = fleet.new{control = 1, entries = 1, engines = 0, services = 6}
f:start()
local count_ended = fleet.counter_of_ends(f.engines)
for _, e in ipairs(f.engines) do e:fault("grey=1") end -- each fails it once, then ends under it
local refused, failed = 0, 0
for _ = 1, 60 do
  local before = count_ended()
  local r = run.http{url = "http://" .. f.entries[1].health, method = "POST", path = "/v1/services/portal/charge",
    body = "crash", headers = {Authorization = "Bearer " .. fleet.KEYS.kett}, timeout = 20}
  if r.status == 500 then
    failed = failed + 1
  elseif r.status == 503 and run.json(r.body).error.name == "quarantined" then
    refused = refused + 1
  elseif r["Peatwell-Outcome"] == "unknown" then
    fleet.eventually("its target has ended", function() return count_ended() > before end)
  end
  local ended = count_ended()
  fleet.expect("it ends " .. MOST .. " targets, not " .. ended, ended <= MOST)
  if refused > 4 then break end
end
fleet.equal("targets that ended", count_ended(), MOST)
fleet.expect("it has failed, too", failed > 0)
fleet.expect("refused then: " .. refused, refused > 4)
f:stop()
