-- Guards against a request lost to the idle timeout: the request arrives while the gateway is suspended for
-- longer than the idle timeout of its connection, and must be answered when the gateway continues.
local fleet = require("fleet")
local gateways = require("gateways")
local IDLE_MS = 1000
local g = gateways.new{control = 3, gateways = 1, engines = 1, portals = 2}
g:start()
g:wait_in_force(g:publish(g:config(function(s) s.idle_ms = IDLE_MS end)))

local function request(id)
  return "GET /safe/a HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: " .. id .. "\r\nApi-Key: kett-key\r\n\r\n"
end
local gateway = g.gateways[1]
for round = 1, 3 do
  local c = run.raw_open(gateway.http)
  run.raw_send(c, request("first" .. round))
  fleet.expect("an answer", run.raw_read(c, 10000, "first" .. round .. " 0"):find("200 OK"))
  gateway:pause()
  run.raw_send(c, request("second" .. round))
  run.pause(IDLE_MS + 500) -- the gateway is suspended for longer than the idle timeout
  gateway:continue()
  local text = run.raw_read(c, 10000, "second" .. round .. " 0")
  fleet.expect("the second is answered in round " .. round .. ": " .. text, text:find("200 OK"))
  local _, closed = run.raw_read(c, 10000)
  fleet.expect("the idle connection is closed in the end", closed)
  run.raw_close(c)
end
g:stop()
