-- Guards against streams that do not go on although targets of their version serve and their callers name the attempt, after
-- all gateways, which alone knew the version that began each, were killed at once.
local r = require("resumed").new()
local g = r.g

-- One version has ever served: nothing needs to be known of a stream.
local streams = r:begin()
r:restart(r:all())
r:resume("one version, gateways and control killed", streams, {names_attempt = true, serving = {v1 = true}})

r:add_new_version()
streams = r:begin()
run.pause(r.TOLD_MS)
r:restart(g.gateways)
r:resume("two versions serve", streams, {names_attempt = true, serving = {v1 = true, ["v1.1"] = true}})

local function lose_old(what, gone_ms, killed, at)
  local begun = r:begin()
  run.pause(r.TOLD_MS)
  r:kill_old()
  run.pause(gone_ms)
  r:restart(killed)
  r:resume(what, begun, {names_attempt = true, gateways = at, serving = {["v1.1"] = true}})
  r:start_old()
end
lose_old("all gateways killed right after old targets", 200, g.gateways)
lose_old("one gateway killed, old targets forgotten", r.OLD_GONE_MS, {g.gateways[1]}, {g.gateways[1]})
lose_old("all gateways killed, old targets forgotten", r.OLD_GONE_MS, g.gateways)
g:stop()
