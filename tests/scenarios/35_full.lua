-- Guards against requests sent to engines whose slots are all taken. Such a request is refused at once, has
-- not run and is told when to retry. A slot that is reserved for the most urgent class is not given to
-- others.
local fleet = require("fleet")
local gateways = require("gateways")
local SLOTS = 8 -- slots of the stand-in engine
local g = gateways.new{control = 3, gateways = 1, engines = 1, portals = 1}
g:start()
local gateway, engine = g.gateways[1], g.targets[1]

g:wait_in_force(g:publish(g:config(function(s)
    s.engine = SLOTS
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
  fleet.eventually("all slots are taken", function() return running() == n end)
end
fill(SLOTS)

local r = g:ask{path = "/chat/x", events = 3, body = "q", deadline = 90000}
fleet.equal("status without a free slot", r.status, 503)
fleet.equal("code without a free slot", r["Peatwell-Code"], "2001")
local retry = tonumber(r["Retry-After"])
fleet.expect("told when to retry: " .. retry, retry > 0 and retry <= 30)
fleet.equal("arrivals at the engine after the refusal", running(), SLOTS)
fleet.expect("the refusal is counted", gateway:counter("gateway_full_total") >= 1)

-- The other service has slots of its own.
fleet.equal("a plain call", g:ask{path = "/once/a", body = "x"}.status, 200)

-- Requests of the most urgent class are refused so often that one of the eight slots is reserved for this
-- class.
for i = 1, 60 do
  fleet.equal("status of an urgent request without a free slot", g:ask{path = "/urgent/x", events = 1, body = "q"}.status, 503)
end
run.raw_close(calls[1])
local function ended(n)
  return function() return engine:stats().left >= n end
end
fleet.eventually("the engine has a free slot", ended(1))
r = g:ask{path = "/chat/x", events = 1, body = "q"}
fleet.equal("the free slot is reserved: status of a less urgent request", r.status, 503)
fleet.equal("status of an urgent request with the reserved slot", g:ask{path = "/urgent/x", events = 1, body = "q"}.status, 200)
run.raw_close(calls[2])
fleet.eventually("the engine has two free slots", ended(2))
fleet.equal("only one of two free slots is reserved: status of a less urgent request", g:ask{path = "/chat/x", events = 1, body = "q"}.status, 200)
for i = 3, SLOTS do run.raw_close(calls[i]) end
g:stop()
