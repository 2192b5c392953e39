-- Guards against a gateway that reads more requests than its processor can serve. The platform hands nine of ten new
-- connections to one gateway for some seconds, which reads all of them and answers each too late.
--
-- Here: each read from a socket takes a gateway 8 ms, some five reads a request. From 3 s after the turn on, requests that
-- a gateway has read are answered at the first attempt three quarters as often as before. Callers whose connection is
-- closed before their request is read turn to another gateway.
local turns = require("turns")
local g = turns.fleet(5, "peatwelld-slow")
for _, p in ipairs(g.gateways) do p:signal("USR2") end
turns.check(g, {deadline_s = 3, even_rate = 50, even_ms = 4000, turn_rate = 100, turn_ms = 7000, contact_ms = 3000,
  part = 0.75})
g:stop()
