-- Guards against a planned stop that cuts answers which callers are still reading: it waited for requests in progress, not for
-- bytes of answers that the gateway had not written yet.
local gateways = require("gateways")
local fleet = require("fleet")
local long_answers = require("long_answers")
local READERS, BYTES = 6, 4000000
local FIRST_MS, SLOW_MS = 700, 4000 -- nothing is read for FIRST_MS; from the stop on little is read for SLOW_MS
local g = gateways.new{control = 1, gateways = 1, engines = 1, portals = 1, text = "grace_s = 20"}
for _, t in ipairs(g.targets) do t:set_slots(READERS) end
g:start(function(s)
  for _, r in ipairs(s.routes) do r.timeout = 60000 end
end)
local gateway = g.gateways[1]
g:fault("portal", "long_answer=" .. BYTES)

local readers = long_answers.send(gateway, READERS, READERS // 2)
run.pause(FIRST_MS)
fleet.eventually("all answers are in the gateway", function() return gateway:counter("active_requests") == 0 end)
gateway:signal("TERM")
local slow_until = run.now() + SLOW_MS
while run.now() < slow_until and long_answers.read(readers, 20000) > 0 do run.pause(100) end
while long_answers.read(readers, 200000) > 0 do end
long_answers.check(readers, BYTES)
fleet.equal("exit code", gateway:ended(), 0)
gateway.gone = true
g:stop()
