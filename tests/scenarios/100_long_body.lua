-- Guards against a target that is reset, and its request lost, because it stands still for two seconds while a body arrives
-- that does not fit into its receive buffer: the kernel takes a full window for a peer that is gone.
local fleet = require("fleet")
local gateways = require("gateways")
local BODY_BYTES, STILL_MS = 1000000, 2500
local g = gateways.new{control = 1, gateways = 1, engines = 1, portals = 1}
g:start()
local config = gateways.config_text(g:config(function(s)
  for _, r in ipairs(s.routes) do r.timeout = 20000 end
end))
g:wait_in_force(g:publish((config:gsub('"maxBodyBytes":%d+', '"maxBodyBytes":4000000'))))
local portal = g["portal-1"]

-- Over a new connection to the target and over a kept one.
for i = 1, 2 do
  local body = ("b"):rep(BODY_BYTES)
  portal:pause()
  local c, id = g:call{path = "/once/a", body = body, deadline = 20000}
  local h = run.http_start(c)
  run.pause(STILL_MS)
  portal:continue()
  local r = run.http_wait(h)
  fleet.equal("a long body, " .. i .. ": " .. r.body, r.status, 200)
  fleet.equal("the target got all of it", r.body, "POST /once/a " .. id .. " " .. BODY_BYTES)
end
fleet.equal("runs of one request", portal:stats().most, 1)
g:stop()
