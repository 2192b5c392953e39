-- Promise: a gateway that stood still charges nobody with it: a request whose bytes came meanwhile is
-- answered, an answer that came meanwhile is delivered, and no target or request is taken for bad. Each
-- limit is passed by pauses a little under it, a little over it and ten times over, a gateway each.
local fleet = require("fleet")
local gateways = require("gateways")
local HEADER_MS, IDLE_MS, TIMEOUT_MS, DARK_MS = 600, 1000, 1000, 500
local BEFORE_MS = 200 -- of what is waited for, before the pause
local g = gateways.new{control = 1, gateways = 3, engines = 2, portals = 2}
local function limits(timeout_ms)
  return function(s)
    s.header_ms, s.idle_ms = HEADER_MS, IDLE_MS
    for _, r in ipairs(s.routes) do r.timeout = timeout_ms end
  end
end
g:start(limits(20000))

-- Has the gateways stand still, each for its part of a limit.
local function stand_still(limit_ms)
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

-- A request in two parts; the second comes while the gateway stands still.
local function in_two(what, limit_ms, head, first, second)
  local c = {}
  for i, p in ipairs(g.gateways) do
    c[i] = run.raw_open(p.http)
    run.raw_send(c[i], head .. first)
  end
  run.pause(BEFORE_MS)
  local go_on = stand_still(limit_ms)
  for i in ipairs(g.gateways) do run.raw_send(c[i], second) end
  go_on()
  for i, p in ipairs(g.gateways) do
    local text = run.raw_read(c[i], 10000, "\r\n\r\n")
    fleet.expect(what .. " at " .. p.name .. " is answered: " .. text:sub(1, 300), text:find("HTTP/1.1 200", 1, true))
    run.raw_close(c[i])
  end
end
local lines = "Host: a.example\r\nApi-Key: kett-key\r\n"
in_two("half a head", HEADER_MS, "GET /safe/a HTTP/1.1\r\n", lines, "X-Request-Id: head\r\n\r\n")
in_two("half a body", HEADER_MS + IDLE_MS, "POST /safe/a HTTP/1.1\r\nContent-Length: 10\r\n" .. lines,
  "X-Request-Id: body\r\n\r\n12345", "67890")

-- Answers that come while the gateway stands still, a kind of request each.
local function answered(what, limit_ms, delay_ms)
  for _, t in ipairs(g.targets) do t:fault("delay=" .. delay_ms) end
  local calls = {}
  for _, p in ipairs(g.gateways) do
    for _, o in ipairs{{path = "/safe/a", method = "GET"}, {path = "/once/a", body = "x"}, {path = "/again/a", events = 3}} do
      o.gateway, o.deadline = p, 60000
      calls[#calls + 1] = {p = p, path = o.path, call = run.http_start((g:call(o)))}
    end
  end
  run.pause(BEFORE_MS)
  stand_still(limit_ms)()
  for _, c in ipairs(calls) do
    local r = run.http_wait(c.call)
    fleet.expect(string.format("%s: %s at %s: %d %s", what, c.path, c.p.name, r.status, r.body), r.status == 200 and r.whole)
  end
  for _, t in ipairs(g.targets) do t:fault("delay=0") end
end
answered("past the silence of a target", DARK_MS, 700)
g:wait_in_force(g:publish(g:site(limits(TIMEOUT_MS))))
answered("past the time of the route", TIMEOUT_MS, 500)
for _, p in ipairs(g.gateways) do
  fleet.equal(p.name .. " counts ends", p:counter("ended_under_total"), 0)
  fleet.equal(p.name .. " finds targets silent", fleet.lines(p, "ev=target%-silent"), 0)
end
g:stop()
