-- Guards against an answer of a target in trouble whose first line is no HTTP, such as status 000, and which a caller gets
-- as an answer: the first line was not checked, so the caller read "HTTP/1.1 0 <unknown>".
local fleet = require("fleet")
local gateways = require("gateways")
local g = gateways.new{control = 1, gateways = 1, portals = 1}
g:start()
local gateway, portal = g.gateways[1], g["portal-1"]

local function ask(path, id)
  local c = run.raw_open(gateway.http)
  run.raw_send(c, "POST " .. path .. " HTTP/1.1\r\nHost: a.example\r\nApi-Key: kett-key\r\nX-Request-Id: " .. id ..
    "\r\nContent-Length: 1\r\nConnection: close\r\n\r\nx")
  local text = run.raw_read(c, 5000)
  run.raw_close(c)
  return text
end

local n = 0
-- Asks until the target has run a request with this first line, which need not be the first: it may be set aside.
local function answers(path, line)
  portal:get("/status_line?" .. line:gsub(" ", "+"))
  local text, id
  fleet.eventually("a request meets " .. line, function()
    n = n + 1
    id = "odd-" .. n
    text = ask(path, id)
    local ran = portal:ran(id) > 0
    fleet.expect("status of a request that did not run: " .. text, ran or text:find("^HTTP/1.1 503 "))
    return ran
  end)
  return text, id
end

local BAD = {"HTTP/1.1 000 X", "HTTP/1.1 000", "HTTP/1.1 020 X", "HTTP/1.1 099 X", "HTTP/1.1 600 X", "HTTP/1.1 999 X",
  "HTTP/1.1 0200 X", "HTTP/1.1 2000 X", "HTTP/1.1 20 X", "HTTP/1.1 200X", "HTTP/0.9 200 X", "HTTP/2.0 200 X", "HTTP/1.2 200 X",
  "HTTP/1.10 200 X", "HTTP/01.1 200 X", "HTTP/1.1  200 X", "ICY 200 X", "HTTP/1.1 2.0 X"}
for _, path in ipairs{"/once/a", "/safe/a"} do
  for _, line in ipairs(BAD) do
    local text = answers(path, line)
    fleet.expect(line .. " at " .. path .. ": " .. text, text:find("^HTTP/1.1 502 "))
    fleet.expect(line .. " at " .. path .. ": the target's body is not passed on: " .. text, not text:find("POST ", 1, true))
  end
end
for _, line in ipairs{"HTTP/1.1 200 X", "HTTP/1.1 200 ", "HTTP/1.1 200", "HTTP/1.0 200 X", "HTTP/1.1 299 Odd (but) \"sound\"", "HTTP/1.1 404 X"} do
  local text, id = answers("/once/a", line)
  fleet.expect(line .. ": " .. text, text:find("^HTTP/1.1 " .. line:match(" (%d+)")) and text:find("POST /once/a " .. id .. " 1", 1, true))
end
g:stop()
