-- Guards against a folded header line (obs-fold) that is taken for a value without a name: a target then got the name that an
-- earlier request had left behind, which lay over other bytes: another workspace's name, or the end of the head and a
-- second request behind it. An answer brought its caller bytes of an earlier answer.
local fleet = require("fleet")
local gateways = require("gateways")
local g = gateways.new{control = 1, gateways = 1, portals = 1}
g:start()
local portal = g["portal-1"]
local address = g.gateways[1].http

local count = 0
local function head(method, more)
  count = count + 1
  return string.format("%s /safe/a HTTP/1.1\r\nHost: a.example\r\nApi-Key: kett-key\r\nX-Request-Id: fold-%04d\r\n%s\r\n",
    method, count, more)
end
-- Sends a sound request with a name of so many bytes, and a second one on the same connection whose fold stands in the place
-- of that name. Returns the answer to the second one and what the target got.
local function send_pair(name_bytes, method, lines, body)
  local c = run.raw_open(address)
  run.raw_send(c, head("GET", ("N"):rep(name_bytes) .. ": 1\r\n"))
  local text = run.raw_read(c, 5000, "GET /safe/a")
  fleet.expect("the first request is answered: " .. text, text:find("HTTP/1.1 200", 1, true))
  portal:get("/received")
  run.raw_send(c, head(method, lines) .. (body or ""))
  local answer, closed = run.raw_read(c, 1500)
  run.raw_close(c)
  fleet.expect("the connection is closed after: " .. answer, closed)
  return answer, portal:get("/received").body
end

local function refused(what, name_bytes, method, lines, body)
  local before = portal:stats()
  local answer, received = send_pair(name_bytes, method, lines, body)
  fleet.equal(what .. ": the target gets nothing", received, "")
  fleet.expect(what .. ": refused: " .. answer, answer:find("^HTTP/1.1 400"))
  fleet.expect(what .. ": code: " .. answer, answer:find("Peatwell-Code: 1009", 1, true))
  fleet.expect(what .. ": reason: " .. answer, answer:find("a header line begins with a blank", 1, true))
  fleet.equal(what .. ": runs", portal:stats().total, before.total + 1)
  fleet.equal(what .. ": bytes behind a request", portal:stats().surplus, before.surplus)
end
local forged = " x\r\nX-Tenant: exams\r\n"
refused("another workspace's name", #forged - 2, "GET", forged)
local smuggled = "GET /once/smuggled HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: smuggled\r\nX-Expect-Replica: i-portal-1\r\n\r\n"
local lines = " x\r\nContent-Length: " .. #smuggled .. "\r\n"
refused("a request in the body", #lines + 2 + #smuggled, "POST", lines, smuggled)
refused("a name longer than the head", 600, "GET", " x\r\n")
refused("a head that needs more memory than the first", 40, "GET", " x\r\nX-Pad: " .. ("p"):rep(3500) .. "\r\n")
fleet.equal("the smuggled request", portal:ran("smuggled"), 0)

-- A control instance reads requests with the same parser.
local control = run.raw_open(g.control[1].health)
run.raw_send(control, "GET /health/live HTTP/1.1\r\nHost: x\r\nX-Some-Longer-Name: 1\r\n\r\n")
fleet.expect("control answers a sound request", run.raw_read(control, 5000, "live"):find("HTTP/1.1 200", 1, true))
run.raw_send(control, "GET /health/live HTTP/1.1\r\nHost: x\r\n folded\r\n\r\n")
local text, closed = run.raw_read(control, 5000)
run.raw_close(control)
fleet.expect("control refuses a folded line: " .. text, closed and text:find("^HTTP/1.1 400"))

-- Answers: the caller of a safe request gets no part of one that is folded.
for i = 1, 3 do
  fleet.equal("a sound answer", g:ask{path = "/safe/x", method = "GET"}.status, 200)
  portal:fault("folded=2")
  local r = g:ask{path = "/safe/x", method = "GET"}
  portal:fault("folded=0")
  fleet.equal("a folded answer " .. i .. ": " .. r.body, r.status, 502)
  fleet.expect("no signature", not r["X-Replica-Seal"])
end
fleet.expect("malformed answers are counted", g.gateways[1]:counter("gateway_answers_malformed_total") >= 3)
fleet.eventually("malformed answers are logged", function()
  return fleet.lines(g.gateways[1], 'ev=answer%-malformed target=i%-portal%-1 why="a header line begins with a blank"') >= 3
end)
fleet.equal("the gateway lives", g.gateways[1]:get("/ready").status, 200)
g:stop()
