-- Guards against retries beyond the budget of all gateways together when they start again and again while targets
-- fail: what a start forgets must not be spent twice, nor the budget of a fleet by a gateway that does not know the
-- others yet.
local fleet = require("fleet")
local gateways = require("gateways")
local RATIO, SLACK, ROUNDS, AT_ONCE = 0.2, 30, 5, 40
-- All of the scenario lies within one window of the budget, whatever its pace.
local g = gateways.new{control = 3, gateways = 3, portals = 4, retry_slack = SLACK, retry_window_s = 3600}
g:start()
for i = 1, 4 do g["portal-" .. i]:fault("refuse=1000000") end

-- Sends requests to all gateways at once and waits for their answers; returns how many were sent.
local function ask_all()
  local calls = {}
  for i = 1, AT_ONCE do
    for k, p in ipairs(g.gateways) do
      calls[#calls + 1] = run.http_start((g:call{path = i % 2 == 0 and "/once/a" or "/safe/a", body = "x", gateway = p}))
    end
  end
  for _, c in ipairs(calls) do run.http_wait(c) end
  return #calls
end

local sent, before = 0, 0
for round = 1, ROUNDS do
  sent = sent + ask_all()
  local retries = g:sum("portal", "arrivals") - sent
  local allowed = RATIO * sent + SLACK
  print(string.format("round %d: %d requests, %d retries, %.0f allowed", round, sent, retries, allowed))
  fleet.expect(string.format("retries in the budget after %d starts: %d of %.0f", round - 1, retries, allowed), retries <= allowed)
  fleet.expect("retries are sent after each start", retries > before)
  before = retries
  for _, p in ipairs(g.gateways) do p:kill() end
  for _, p in ipairs(g.gateways) do p:start() end
  g:wait_ready()
end
g:stop()
