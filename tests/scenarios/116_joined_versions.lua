-- Guards against streams joined from two software versions where their callers name no attempt: a gateway that had just
-- started took the versions of the targets that it knew for all that had ever served.
local r = require("resumed").new()
local g = r.g

-- One version has ever served, so every stream goes on, also after a loss of all gateways and control instances.
local streams = r:begin()
r:restart(r:all())
r:resume("one version", streams, {serving = {v1 = true}})

-- Targets of both versions serve; then those of the old one go, and processes are killed after gone_ms.
r:add_new_version()
local function lose_old(what, gone_ms, killed, at)
  local begun = r:begin()
  run.pause(r.TOLD_MS)
  r:kill_old()
  run.pause(gone_ms)
  r:restart(killed)
  r:resume(what, begun, {gateways = at})
  r:start_old()
end
lose_old("one gateway killed, old targets forgotten", r.OLD_GONE_MS, {g.gateways[1]}, {g.gateways[1]})
lose_old("all gateways killed, old targets forgotten", r.OLD_GONE_MS, g.gateways)
lose_old("gateways and control killed right after old targets", 200, r:all())
lose_old("gateways and control killed, old targets forgotten", r.OLD_GONE_MS, r:all())
g:stop()
