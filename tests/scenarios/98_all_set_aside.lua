-- Guards against requests that are refused (2005) while targets have free slots, since all targets of the service have been
-- set aside for what they answered and none is gone: they are asked as the last resort, but only three requests each.
local fleet = require("fleet")
local gateways = require("gateways")
local PORTALS, BAD, SOUND = 3, 20, 18
local g = gateways.new{control = 1, gateways = 1, engines = 1, portals = PORTALS}
g:start()
g:wait_budgets()

local function send(path, n)
  local calls = {}
  for i = 1, n do calls[i] = run.http_start((g:call{path = path, body = "x"})) end
  return calls
end

-- Each target fails several times in a row, and so is set aside for seconds.
g:fault("portal", "endless_bytes=1000")
for _, h in ipairs(send("/once/a", BAD)) do fleet.equal("an answer without end", run.http_wait(h).status, 502) end
g:fault("portal", "endless_bytes=0")

-- Six at a time at each target, which has eight slots.
g:fault("portal", "delay=300")
local before = g:sum("portal", "total")
for i, h in ipairs(send("/once/a", SOUND)) do
  local r = run.http_wait(h)
  fleet.equal("request " .. i .. " after all targets were set aside: " .. r.body, r.status, 200)
end
fleet.equal("runs", g:sum("portal", "total") - before, SOUND)
g:stop()
