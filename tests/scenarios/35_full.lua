-- Promise: when all places of the engines are taken, nothing more is sent there: a
-- request is refused at once, has not run, and is told when to come back; what is kept for
-- the most urgent is not given to others.
local fleet = require("fleet")
local gateways = require("gateways")
local PLACES = 8 -- of the stand-in
local g = gateways.new{control = 3, gateways = 1, engines = 1, portals = 1}
g:start()
local gateway, engine = g.gateways[1], g.targets[1]

g:wait_in_force(g:publish(g:site(function(s)
    s.engine = PLACES
    for _, r in ipairs(s.routes) do r.timeout = 100000 end
    table.insert(s.routes, {name = "urgent", prefix = "/urgent/", kind = "stream", service = "llm",
      attempts = 1, timeout = 100000, priority = 0})
end)))

local function running() return engine:stats().arrivals end
engine:fault("gap=60000")
local calls = {}
local function send_stream(connection, id)
  run.raw_send(connection, string.format("POST /chat/x HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: %s\r\n" ..
    "X-Deadline-Ms: 100000\r\nX-Model: m\r\nX-Token-Count: 10,9\r\nX-Prompt-Prefix: a1:5,b2:5\r\n" ..
    "Api-Key: kett-key\r\nContent-Length: 1\r\n\r\nx", id))
end
local function fill(n)
  for i = 1, n do
    calls[i] = run.raw_open(gateway.http)
    send_stream(calls[i], "full" .. i)
  end
  fleet.eventually("all places are taken", function() return running() == n end)
end
fill(PLACES)

local r = g:ask{path = "/chat/x", events = 3, body = "q", deadline = 90000}
fleet.equal("no place: refused", r.status, 503)
fleet.equal("with the code", r["Peatwell-Code"], "2001")
local retry = tonumber(r["Retry-After"])
fleet.expect("told when to come back: " .. retry, retry > 0 and retry <= 30)
fleet.equal("it was sent nowhere", running(), PLACES)
fleet.expect("and counted", gateway:counter("gateway_full_total") >= 1)

-- Another service has places of its own.
fleet.equal("a plain call", g:ask{path = "/once/a", body = "x"}.status, 200)

-- The most urgent finds no place often enough for one of the eight to be kept for it.
for i = 1, 60 do
  fleet.equal("no place for the urgent either", g:ask{path = "/urgent/x", events = 1, body = "q"}.status, 503)
end
run.raw_close(calls[1])
local function ended(n)
  return function() return engine:stats().left >= n end
end
fleet.eventually("the engine has a free place", ended(1))
r = g:ask{path = "/chat/x", events = 1, body = "q"}
fleet.equal("it is kept: refused", r.status, 503)
fleet.equal("the urgent one has it", g:ask{path = "/urgent/x", events = 1, body = "q"}.status, 200)
run.raw_close(calls[2])
fleet.eventually("two free places", ended(2))
fleet.equal("one of two is not kept", g:ask{path = "/chat/x", events = 1, body = "q"}.status, 200)
for i = 3, PLACES do run.raw_close(calls[i]) end
g:stop()
