-- Guards against refusing every request of a service once all its targets have been set aside for what they answered, though
-- none of them is gone: they are asked all the same, and the first sound answer ends it.
local fleet = require("fleet")
local gateways = require("gateways")
local BAD, SOUND, PORTALS = 20, 10, 3
local g = gateways.new{control = 1, gateways = 1, engines = 1, portals = PORTALS}
g:start()
g:wait_budgets()

-- Sends requests at once, all of which get a body without end.
local function send_bad(path)
  g:fault("portal", "endless_bytes=1000")
  local calls = {}
  for i = 1, BAD do calls[i] = run.http_start((g:call{path = path, body = "x"})) end
  for _, h in ipairs(calls) do run.http_wait(h) end
  g:fault("portal", "endless_bytes=0")
end

for _, first in ipairs{"/once/a", "/safe/a"} do
  send_bad(first)
  run.pause(1000)
  send_bad("/safe/a")
  local statuses = {}
  for i = 1, SOUND do
    local r = g:ask{path = i % 2 == 0 and "/safe/a" or "/once/a", body = "x"}
    statuses[i] = r.status .. " " .. (r["Peatwell-Code"] or "")
  end
  print(table.concat(statuses, ", "))
  run.pause(8000)
end
g:stop()
