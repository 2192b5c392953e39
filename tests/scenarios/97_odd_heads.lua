-- Guards against heads that a target and the gateway read differently: a header that may stand once and stands twice, a
-- Connection option that takes away a header of the request itself, a transfer coding that is not taken off, lines that end
-- with LF alone, a path with dot segments.
local fleet = require("fleet")
local gateways = require("gateways")
local g = gateways.new{control = 1, gateways = 1, portals = 1}
g:start()
local address = g.gateways[1].http
local portal = g["portal-1"]

local OWN = {host = "Host: a.example\r\n", key = "Api-Key: kett-key\r\n", id = "X-Request-Id: odd-1\r\n"}
local function head(line, more)
  return line .. " HTTP/1.1\r\n" .. OWN.host .. OWN.key .. OWN.id .. more .. "\r\n"
end
-- Sends bytes on a new connection; returns the answer up to `till` and what the target got.
local function play(bytes, till)
  portal:get("/received")
  local c = run.raw_open(address)
  run.raw_send(c, bytes)
  local answer = run.raw_read(c, 5000, till)
  run.raw_close(c)
  return answer, portal:get("/received").body
end
local function refused(what, status, code, bytes)
  local answer, received = play(bytes, '"message"')
  fleet.expect(what .. ": status: " .. answer, answer:find("^HTTP/1.1 " .. status))
  fleet.expect(what .. ": code: " .. answer, answer:find("Peatwell-Code: " .. code, 1, true))
  fleet.equal(what .. ": the target gets nothing", received, "")
end
-- The request runs, and the target gets these lines in its head, and none that begins so.
local function runs(what, bytes, lines, none)
  local answer, received = play(bytes, " odd-1 ")
  fleet.expect(what .. ": answer: " .. answer, answer:find("^HTTP/1.1 200"))
  for _, line in ipairs(lines) do
    fleet.expect(what .. ": " .. line .. " in: " .. received, received:find("\r\n" .. line .. "\r\n", 1, true))
  end
  for _, name in ipairs(none) do
    fleet.expect(what .. ": no " .. name .. " in: " .. received, not received:find("\r\n" .. name .. ":", 1, true))
  end
end

for name, line in pairs(OWN) do
  refused("a second " .. name, 400, 1006, head("GET /safe/a", line))
end
for _, line in ipairs{"X-Deadline-Ms: 1000\r\n", "Last-Event-Id: 3\r\n", "Resumes: odd-0\r\n"} do
  refused("twice: " .. line, 400, 1006, head("GET /safe/a", line .. line))
end

for _, path in ipairs{"/safe/../once/x", "/safe/open/%2e%2E/x", "/safe/./x"} do
  refused("dot segments: " .. path, 400, 1009, head("GET " .. path, ""))
end
refused("lines that end with LF alone", 400, 1009, (head("GET /safe/a", ""):gsub("\r", "")))
refused("a coding that is not taken off", 501, 1013, head("POST /safe/a", "Transfer-Encoding: gzip, chunked\r\n") .. "1\r\na\r\n0\r\n\r\n")

local parts = {"X-Model: m", "X-Token-Count: 10,20", "X-Prompt-Prefix: a1:10,b2:20"}
runs("Connection names headers of the request", head("GET /safe/a", table.concat(parts, "\r\n") ..
  "\r\nX-Hop: 1\r\nConnection: X-Request-Id, Host, X-Model, X-Token-Count,\tX-Prompt-Prefix, X-Hop\r\n"),
  {"Host: a.example", "X-Request-Id: odd-1", parts[1], parts[2], parts[3]}, {"X-Hop", "Connection"})
g:stop()
