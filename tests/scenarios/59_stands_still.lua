-- Guards against a gateway that blames others for a time in which it was suspended. A request whose bytes
-- arrived meanwhile is answered, an answer that arrived meanwhile is delivered, and no target or request is
-- counted as bad. Each timeout is tested by three gateways: one is suspended for a little less, one for a
-- little more, and one for ten times the timeout.
local fleet = require("fleet")
local gateways = require("gateways")
local HEADER_MS, IDLE_MS, TIMEOUT_MS, UNRESPONSIVE_MS = 600, 1000, 1000, 500
local BEFORE_MS = 200 -- time that passes before the gateways are suspended
local g = gateways.new{control = 1, gateways = 3, engines = 2, portals = 2}
local function limits(timeout_ms)
  return function(s)
    s.header_ms, s.idle_ms = HEADER_MS, IDLE_MS
    for _, r in ipairs(s.routes) do r.timeout = timeout_ms end
  end
end
g:start(limits(20000))

-- Suspends the gateways; the returned function lets each continue after 0.8, 1.3 and 10 times the limit.
local function suspend(limit_ms)
  local began = run.now()
  for _, p in ipairs(g.gateways) do p:pause() end
  return function()
    for i, times in ipairs{0.8, 1.3, 10} do
      local left = began + math.floor(limit_ms * times) - run.now()
      if left > 0 then run.pause(left) end
      g.gateways[i]:continue()
    end
  end
end

-- Sends a request in two parts; the second part arrives while the gateway is suspended.
local function send_in_parts(what, limit_ms, head, first, second)
  local c = {}
  for i, p in ipairs(g.gateways) do
    c[i] = run.raw_open(p.http)
    run.raw_send(c[i], head .. first)
  end
  run.pause(BEFORE_MS)
  local resume = suspend(limit_ms)
  for i in ipairs(g.gateways) do run.raw_send(c[i], second) end
  resume()
  for i, p in ipairs(g.gateways) do
    local text = run.raw_read(c[i], 10000, "\r\n\r\n")
    fleet.expect(what .. " at " .. p.name .. " is answered: " .. text:sub(1, 300), text:find("HTTP/1.1 200", 1, true))
    run.raw_close(c[i])
  end
end
local lines = "Host: a.example\r\nApi-Key: kett-key\r\n"
send_in_parts("half a head", HEADER_MS, "GET /safe/a HTTP/1.1\r\n", lines, "X-Request-Id: head\r\n\r\n")
send_in_parts("half a body", HEADER_MS + IDLE_MS, "POST /safe/a HTTP/1.1\r\nContent-Length: 10\r\n" .. lines,
  "X-Request-Id: body\r\n\r\n12345", "67890")

-- Answers of three kinds of requests arrive while the gateways are suspended.
local function expect_answers(what, limit_ms, delay_ms)
  for _, t in ipairs(g.targets) do t:fault("delay=" .. delay_ms) end
  local calls = {}
  for _, p in ipairs(g.gateways) do
    for _, o in ipairs{{path = "/safe/a", method = "GET"}, {path = "/once/a", body = "x"}, {path = "/again/a", events = 3}} do
      o.gateway, o.deadline = p, 60000
      calls[#calls + 1] = {p = p, path = o.path, call = run.http_start((g:call(o)))}
    end
  end
  run.pause(BEFORE_MS)
  suspend(limit_ms)()
  for _, c in ipairs(calls) do
    local r = run.http_wait(c.call)
    fleet.expect(string.format("%s: %s at %s: %d %s", what, c.path, c.p.name, r.status, r.body), r.status == 200 and r.whole)
  end
  for _, t in ipairs(g.targets) do t:fault("delay=0") end
end
expect_answers("suspended around the time after which a target is unresponsive", UNRESPONSIVE_MS, 700)
g:wait_in_force(g:publish(g:config(limits(TIMEOUT_MS))))
expect_answers("suspended around the route's timeout", TIMEOUT_MS, 500)
for _, p in ipairs(g.gateways) do
  fleet.equal(p.name .. " counts crashed targets", p:counter("ended_under_total"), 0)
  fleet.equal(p.name .. " logs silent targets", fleet.lines(p, "ev=target%-silent"), 0)
end
g:stop()
