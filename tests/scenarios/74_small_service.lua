-- Guards against callers of a small plain service that are told to come back to another refusal, against
-- refusals that say "not run" of requests that ran, and against callers that came back and are refused while
-- slots are free.
local fleet = require("fleet")
local gateways = require("gateways")
local DEADLINE_MS, KNOWN, RUSH = 6000, 40, 120
local g = gateways.new{control = 1, gateways = 2, engines = 1, portals = 2}
g:start(function(s)
  for _, r in ipairs(s.routes) do r.timeout = 8000 end
end)
local function sum(name)
  local n = 0
  for _, p in ipairs(g.gateways) do n = n + p:counter(name) end
  return n
end
local function call(i, deadline)
  return (g:call{path = "/once/a", body = "x", deadline = deadline, gateway = g.gateways[i % 2 + 1]})
end

-- The usual deadline, and how long a request takes, become known while slots are free.
for i = 1, 2 do g["portal-" .. i]:fault("delay=100") end
for i = 1, KNOWN do fleet.equal("status while slots are free", run.http(call(i, DEADLINE_MS)).status, 200) end
fleet.equal("callers that came back so far", sum("gateway_returned_total"), 0)

-- More requests at once than slots and queues hold: what is refused did not run.
for i = 1, 2 do g["portal-" .. i]:fault("delay=700") end
local calls, answered, untold = {}, 0, 0
local before = g:sum("portal", "total")
for i = 1, RUSH do
  local o = call(i, DEADLINE_MS)
  calls[i] = {id = o.headers["X-Request-Id"], pending = run.http_start(o)}
end
for _, c in ipairs(calls) do
  local r = run.http_wait(c.pending)
  local ran = g["portal-1"]:ran(c.id) + g["portal-2"]:ran(c.id)
  if r.status == 200 then
    answered = answered + 1
    fleet.equal("runs of an answered request", ran, 1)
  else
    fleet.equal("code of a refusal: " .. r.body, r["Peatwell-Code"], "2001")
    fleet.equal("runs of a refused request", ran, 0)
    local retry = tonumber(r["Retry-After"] or 0)
    untold = untold + (retry == 0 and 1 or 0)
    fleet.expect("the return is within a third of the time: " .. retry, retry <= DEADLINE_MS / 3000)
  end
end
fleet.equal("requests at the targets", g:sum("portal", "total") - before, answered)
fleet.expect("some are refused: " .. answered .. " answered", answered < RUSH)
fleet.expect("with so many refused, some are not told to come back", untold > 0)

-- Slots are free again: a caller that comes back gets one, though many were refused lately.
for i = 1, 2 do g["portal-" .. i]:fault("delay=5") end
fleet.eventually("no gateway reports requests any more", function() return sum("gateway_others") == 0 end)
for i = 1, 4 do fleet.equal("status of a caller that came back", run.http(call(i, DEADLINE_MS / 2)).status, 200) end
fleet.equal("callers that came back", sum("gateway_returned_total"), 4)
fleet.equal("of these, refused again", sum("gateway_returned_full_total"), 0)
g:stop()
