-- Guards against a target that was slow for a moment and gets no request afterwards while another one is idle.
-- Requests that are sent one after the other all went to the other target, thousands of them:
--   ev=placed target=i-portal-1 n=1 (31 times, the last one paused for 15 ms)
--   ev=placed target=i-portal-2 n=1 (862 times)
local fleet = require("fleet")
local gateways = require("gateways")
local SLOW_MS, WARM_UP = 40, 60
local g = gateways.new{control = 1, gateways = 1, engines = 1, portals = 2}
g:start()
local slow, other = g["portal-1"], g["portal-2"]

local function ask(path)
  fleet.equal("status", g:ask{path = path, body = "x"}.status, 200)
end
local function is_used(t, path)
  local before = t:stats().total
  ask(path)
  return t:stats().total > before
end

for _, path in ipairs{"/once/a", "/safe/a"} do
  -- Both are slow while both are measured, so that the next requests go to either.
  for _, t in ipairs{slow, other} do t:fault("delay=" .. SLOW_MS) end
  for _ = 1, 4 do
    local calls = {}
    for i = 1, 6 do calls[i] = run.http_start((g:call{path = path, body = "x"})) end
    for _, c in ipairs(calls) do fleet.equal("status", run.http_wait(c).status, 200) end
  end
  other:fault("delay=0")
  for _ = 1, WARM_UP do ask(path) end
  slow:fault("delay=0")
  fleet.eventually("the target is used again: " .. path, function() return is_used(slow, path) end)
  local before = slow:stats().total
  for _ = 1, WARM_UP do ask(path) end
  fleet.expect("it gets its part: " .. slow:stats().total - before, slow:stats().total - before > WARM_UP / 6)
end
g:stop()
