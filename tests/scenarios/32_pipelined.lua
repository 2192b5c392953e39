-- Guards against lost or reordered answers, or a crash, when a caller sends many requests without waiting for
-- answers (pipelining) to a gateway or a control instance.
local fleet = require("fleet")
local gateways = require("gateways")
local MANY = 12000 -- about as many bytes as are read while a request is in progress
local g = gateways.new{control = 1, gateways = 1, engines = 1, portals = 2}
g:start()
g:wait_in_force(g:publish(g:config()))

local function call(path)
  return "GET " .. path .. " HTTP/1.1\r\n\r\n"
end
local function count(text, what)
  local n = 0
  for _ in text:gmatch(what) do n = n + 1 end
  return n
end
local function pipeline(address, first, last, answer)
  local c = run.raw_open(address)
  run.raw_send(c, first)
  run.raw_send(c, call("/"):rep(MANY))
  run.raw_send(c, last)
  local text, closed = run.raw_read(c, 30000)
  run.raw_close(c)
  fleet.expect(address .. " ends the connection: ", closed)
  fleet.equal(address .. " answers in " .. text:sub(1, 700), count(text, "HTTP/1.1 404"), MANY)
  fleet.expect(address .. " answers the last request last", text:find(answer, -400, true))
end
local closing = "GET %s HTTP/1.1\r\nHost: a.example\r\nApi-Key: kett-key\r\nConnection: close\r\n\r\n"

-- The first request delays the others: all of them are buffered when it is answered.
for _, t in ipairs(g.targets) do t:fault("delay=300") end
local slow = "GET /safe/a HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: slow\r\nApi-Key: kett-key\r\n\r\n"
pipeline(g.gateways[1].http, slow, closing:format("/safe/last"), "GET /safe/last")
pipeline(g.control[1].health, "", closing:format("/health/live"), "live")
for _, p in ipairs{g.gateways[1], g.control[1]} do
  fleet.equal(p.name .. " lives", p:get(p.live or "/health/live").status, 200)
end
g:stop()
