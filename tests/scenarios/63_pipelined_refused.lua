-- Guards against pipelined requests that are lost behind a refused one. A request is refused because all
-- slots are taken: the requests that the caller sent behind it are answered over the same connection. A
-- refused request with none behind it gets its connection closed, so that the caller opens a new one.
local fleet = require("fleet")
local gateways = require("gateways")
local MANY, BUSY = 50, 40
local g = gateways.new{control = 1, gateways = 1, engines = 1, portals = 1}
g:start()
local address = g.gateways[1].http
g["portal-1"]:fault("delay=1500")
local calls = {}
for i = 1, BUSY do calls[i] = run.http_start((g:call{path = "/once/a", body = "x"})) end
fleet.eventually("all slots are taken", function() return g["portal-1"]:stats().total > 0 and fleet.lines(g.gateways[1], "code=2001") > 0 end)

local function call(path, more)
  return "GET " .. path .. " HTTP/1.1\r\nHost: a.example\r\nApi-Key: kett-key\r\n" .. (more or "") .. "\r\n"
end
local c = run.raw_open(address)
run.raw_send(c, call("/safe/a") .. call("/none"):rep(MANY) .. call("/none", "Connection: close\r\n"))
local text, closed = run.raw_read(c, 30000)
run.raw_close(c)
local _, refused = text:gsub("HTTP/1.1 503", "")
local _, answered = text:gsub("HTTP/1.1 404", "")
fleet.expect("the gateway closes the connection", closed)
fleet.equal("refused requests", refused, 1)
fleet.equal("answers to the requests behind it", answered, MANY + 1)

local single = run.raw_open(address)
run.raw_send(single, call("/safe/a"))
text, closed = run.raw_read(single, 30000)
run.raw_close(single)
fleet.expect("a single request is refused and its connection closed: " .. text:sub(1, 200), closed and text:find("HTTP/1.1 503", 1, true))
for _, h in ipairs(calls) do run.http_wait(h) end
g:stop()
