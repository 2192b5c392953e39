-- Guards against callers that are sent to a leader which cannot answer. A read at another control instance waits
-- while the leader is suspended for a moment; nobody is redirected to a leader that stays silent.
local fleet = require("fleet")
local gateways = require("gateways")
local ROUNDS = 4
local g = gateways.new{control = 3, gateways = 1, engines = 0, portals = 1}
g:start()

for round = 1, ROUNDS do
  local version = g:publish(g:config())
  local first = g:leader()
  first:pause()
  local reads = {}
  for i, c in ipairs(g:followers(first)) do reads[i] = gateways.start_read(c) end
  run.pause(400)
  first:continue()
  for i, h in ipairs(reads) do
    local r = run.http_wait(h)
    fleet.equal(string.format("round %d, instance %d, the leader is back: status", round, i), r.status, 200)
    fleet.equal("version", run.json(r.body).version, version)
  end
end

-- The leader stays suspended: the others answer as soon as one of them leads.
local version = g:publish(g:config())
local first = g:leader()
first:pause()
fleet.eventually("each of the others returns the configuration", function()
  for _, c in ipairs(g:followers(first)) do
    local r = run.http_wait(gateways.start_read(c))
    fleet.expect(c.name .. " redirects to the suspended leader", not (r.Location or ""):find(first.health, 1, true))
    if r.status ~= 200 or run.json(r.body).version ~= version then return false end
  end
  return true
end)
first:continue()
g:stop()
