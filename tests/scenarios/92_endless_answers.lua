-- Guards against targets in trouble that send bytes without end, in a head or a body: each such answer was held up to 4 MiB
-- and read on until the request's time-out, so a hundred took 446 MB and most of a processor. They are failures of the
-- target, told at once; nothing of them reaches a caller.
local fleet = require("fleet")
local gateways = require("gateways")
local AT_ONCE, MEMORY_MB, BUFFERS_MB = 60, 100, 60 -- buffers: half of the memory, and a piece for each request
local g = gateways.new{control = 1, gateways = 1, engines = 2, portals = 2, text = "memory_mb = " .. MEMORY_MB}
for _, t in ipairs(g.targets) do t:set_slots(AT_ONCE) end
g:start()
local gateway = g.gateways[1]

local function answers_at_once(path, events)
  local calls, statuses = {}, {}
  for i = 1, AT_ONCE do
    local c, id = g:call{path = path, events = events, body = "x"}
    calls[i] = {h = run.http_start(c), id = id}
  end
  fleet.expect("bytes buffered", gateway:counter("gateway_held_bytes") <= BUFFERS_MB * 1024 * 1024)
  for _, c in ipairs(calls) do
    local r = run.http_wait(c.h)
    r.id = c.id
    statuses[r.status] = (statuses[r.status] or 0) + 1
    if r.status == 200 and events then
      fleet.expect("the stream of a sound target", gateways.is_stream(r, events))
    elseif r.status == 200 then
      fleet.equal("the answer of a sound target", r.body, "POST " .. path .. " " .. r.id .. " 1")
    end
  end
  return statuses
end

for _, fault in ipairs{"endless_interim", "endless_chunks", "endless_bytes"} do
  for _, where in ipairs{{at = "portal-1", path = "/once/a"}, {at = "engine-1", path = "/chat/x", events = 3}} do
    g[where.at]:fault(fault .. "=1000")
    local statuses = answers_at_once(where.path, where.events)
    local what = fault .. " at " .. where.at
    for status, n in pairs(statuses) do
      -- 504 and 499 would show that the request waited for its time-out.
      fleet.expect(what .. ": " .. n .. " answers with status " .. status, status == 200 or status == 502 or status == 503)
    end
    fleet.eventually(what .. ": a request meets it", function() -- the target may be set aside for failures before
      return (statuses[502] or 0) > 0 or g:ask{path = where.path, events = where.events, body = "x"}.status == 502
    end)
    g[where.at]:fault(fault .. "=0")
    fleet.eventually(what .. ": served again", function()
      return g:ask{path = where.path, events = where.events, body = "x"}.status == 200
    end)
  end
end
if not run.bin:find("san") then
  local most_kb = tonumber(fleet.read("/proc/" .. gateway.pid .. "/status"):match("VmHWM:%s*(%d+) kB"))
  fleet.expect("the gateway's memory: " .. most_kb .. " kB", most_kb <= MEMORY_MB * 1024)
end
fleet.equal("requests left", gateway:counter("active_requests"), 0)
g:stop()
