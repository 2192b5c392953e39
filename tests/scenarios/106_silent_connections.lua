-- Guards against a gateway that runs out of descriptors, so that it reaches no target and is taken for dead, because callers
-- hold connections open to its addresses for readiness and metrics without a word, or in the middle of a head: the number
-- of these had no limit.
-- Runs alone: see tools/run-tests.
local fleet = require("fleet")
local gateways = require("gateways")
local crowds = require("crowds")
local CALLERS, LIMIT, BOUND = 900, 1000, 800 -- of descriptors; 200 are left for targets, control and logs
local g = gateways.new{control = 1, gateways = 1, portals = 3}
local gateway = g.gateways[1]
gateway.descriptors = LIMIT
g:start()
local function is_served()
  return gateway:get("/ready").status == 200 and g:ask{path = "/safe/a", body = "s"}.status == 200
end
local held = {}
for _, sent in ipairs{"", "GET /ready HTTP/1.1\r\nHost: x\r\nX-Slow: "} do
  for _, address in ipairs{gateway.health, gateway.metrics, gateway.http} do
    held[#held + 1] = crowds.open(address, CALLERS)
    for _, c in ipairs(held[#held]) do run.raw_send(c, sent) end
    fleet.eventually("ordinary requests are answered beside connections to " .. address .. " that sent: " .. sent, is_served)
    local open = crowds.descriptors(gateway)
    fleet.expect("open descriptors beside connections to " .. address .. ": " .. open, open <= BOUND)
    fleet.eventually("new connections to targets and control", function()
      return gateway:counter("gateway_control_reachable") == 1 and g:ask{path = "/once/a", body = "s"}.status == 200
    end)
  end
end
for _, conns in ipairs(held) do crowds.close(conns) end
fleet.eventually("an ordinary request afterwards is answered", is_served)
fleet.equal("the gateway lives", run.wait(gateway.pid, 0), nil)
g:stop()
