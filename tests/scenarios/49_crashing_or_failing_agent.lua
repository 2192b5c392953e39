-- Guards against the fault of 46_crashing_or_failing on the way over agents: a service that fails a request
-- with its own answer does not prove the request harmless. When others crash under it, it must still reach
-- three and no more.
local fleet = require("fleet")
local MAX_CRASHES = 3
local f = fleet.new{control = 1, entries = 1, engines = 0, services = 6}
f:start()
local count_crashed = fleet.end_counter(f.engines)
for _, e in ipairs(f.engines) do e:fault("grey=1") end -- each service fails the request once, then crashes under it
local refused, failed = 0, 0
for _ = 1, 60 do
  local before = count_crashed()
  local r = run.http{url = "http://" .. f.entries[1].health, method = "POST", path = "/v1/services/portal/charge",
    body = "crash", headers = {Authorization = "Bearer " .. fleet.KEYS.kett}, timeout = 20}
  if r.status == 500 then
    failed = failed + 1
  elseif r.status == 503 and run.json(r.body).error.name == "quarantined" then
    refused = refused + 1
  elseif r["Peatwell-Outcome"] == "unknown" then
    fleet.eventually("the target of the request has crashed", function() return count_crashed() > before end)
  end
  local crashed = count_crashed()
  fleet.expect("the request crashes " .. MAX_CRASHES .. " targets, not " .. crashed, crashed <= MAX_CRASHES)
  if refused > 4 then break end
end
fleet.equal("crashed targets", count_crashed(), MAX_CRASHES)
fleet.expect("the request also failed with 500", failed > 0)
fleet.expect("requests refused afterwards: " .. refused, refused > 4)
f:stop()
