-- Guards against control instances that abort at a planned stop while requests arrive: each must answer what
-- it has accepted and exit with 0.
local fleet = require("fleet")
local gateways = require("gateways")
local g = gateways.new{control = 3, gateways = 1, engines = 2, portals = 2}
g:start()
local CALLERS = 30

for round = 1, 5 do
  for _, c in ipairs(g.control) do
    local calls = {}
    local function send(n)
      for _ = 1, n do
        calls[#calls + 1] = run.http_start{url = "http://" .. c.health, path = "/v1/status", timeout = 5}
      end
    end
    send(CALLERS)
    c:signal("TERM")
    local code
    while code == nil do -- until the process has ended
      send(4)
      code = run.wait(c.pid, 1)
    end
    fleet.equal(c.name .. " exit code in round " .. round, code, 0)
    for _, h in ipairs(calls) do run.http_wait(h) end
    c:start()
    fleet.eventually(c.name .. " is in the group", function() return c:get("/health/ready").status == 200 end)
  end
end
fleet.equal("served", g:ask{path = "/safe/a", method = "GET"}.status, 200)
g:stop()
