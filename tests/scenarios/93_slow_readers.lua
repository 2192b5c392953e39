-- Guards against a gateway that exceeds its memory, and is killed, because callers read long answers slowly: each answer was
-- buffered whole, whatever was buffered already. All answers are complete.
local fleet = require("fleet")
local gateways = require("gateways")
local long_answers = require("long_answers")
local READERS, BYTES, MEMORY_MB = 120, 4000000, 64
local FIRST_MS = 500 -- nothing is read for so long
local g = gateways.new{control = 1, gateways = 1, engines = 1, portals = 3, text = "memory_mb = " .. MEMORY_MB}
for _, t in ipairs(g.targets) do t:set_slots(READERS) end
g:start(function(s)
  for _, r in ipairs(s.routes) do r.timeout = 60000 end
end)
local gateway = g.gateways[1]
g:fault("portal", "long_answer=" .. BYTES)

local readers = long_answers.send(gateway, READERS)
run.pause(FIRST_MS)
while long_answers.read(readers, 200000) > 0 do end
long_answers.check(readers, BYTES)
if not run.bin:find("san") then
  local most_kb = tonumber(fleet.read("/proc/" .. gateway.pid .. "/status"):match("VmHWM:%s*(%d+) kB"))
  fleet.expect("the gateway's memory: " .. most_kb .. " kB", most_kb <= MEMORY_MB * 1024)
end
g:stop()
