-- Guards against a gateway that takes more requests than its link can carry. The platform hands nine of ten new connections
-- to one gateway for some seconds; all bodies come at once, and each comes too late.
--
-- Here: a link carries LINK_BYTES a second to a gateway, 2.7 times as much is sent to one. From 3 s after the turn on,
-- requests that a gateway has read are answered at the first attempt three quarters as often as before.
local turns = require("turns")
local LINK_BYTES, BODY_BYTES = 400000, 20000
local g = turns.fleet(5)
for _, p in ipairs(g.gateways) do
  local relay, port = run.relay(tonumber(p.http:match(":(%d+)$")))
  run.relay_narrow(relay, LINK_BYTES)
  p.http = "127.0.0.1:" .. port
end
turns.check(g, {deadline_s = 3, even_rate = 30, even_ms = 4000, turn_rate = 60, turn_ms = 7000, contact_ms = 3000,
  part = 0.75, body = string.rep("x", BODY_BYTES)})
g:stop()
