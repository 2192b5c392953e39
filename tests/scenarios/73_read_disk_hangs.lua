-- Guards against a control instance that takes its own stall for the absence of a leader. A read that arrives while
-- the disk hangs is handled in the same iteration of the loop, before the loop has noticed the stall: it must be
-- answered there, since the leader is known and was never away.
local fleet = require("fleet")
local gateways = require("gateways")
local ROUNDS = 3
local g = gateways.new{control = 3, gateways = 1, engines = 0, portals = 1, daemon = "peatwelld-hanging"}
g:start()
for round = 1, ROUNDS do
  g:publish(g:config())
  local asked = g:followers(g:leader())[1]
  asked:signal("USR2") -- its disk hangs: it stands still when it stores the next version
  local version = g:publish(g:config())
  local r = run.http_wait(gateways.start_read(asked))
  fleet.equal("round " .. round .. ": status", r.status, 200)
  fleet.equal("round " .. round .. ": version", run.json(r.body).version, version)
end
g:stop()
