-- Promise: when all places of the engines are taken, nothing more is sent there: a
-- request waits at the gateway or is refused at once, has not run, and is told when to
-- come back; a place that comes free goes to the most urgent that waits.
local fleet = require("fleet")
local gateways = require("gateways")
local PLACES = 8 -- of the stand-in
local g = gateways.new{control = 3, gateways = 1, engines = 1, portals = 1}
g:start()
local gateway, engine = g.gateways[1], g.targets[1]

-- Goals set how long a request may wait: an eighth of them.
local function publish(goal)
  g:wait_in_force(g:publish(g:site(function(s)
    s.engine = PLACES
    s.goal = goal
    for _, r in ipairs(s.routes) do r.timeout = 100000 end
    table.insert(s.routes, {name = "urgent", prefix = "/urgent/", kind = "stream", service = "llm",
      attempts = 1, timeout = 100000, priority = 0})
  end)))
end
publish(300)

local function running() return engine:stats().arrivals end
engine:fault("gap=60000")
local calls = {}
local function send_stream(connection, id, path)
  run.raw_send(connection, string.format("POST %s HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: %s\r\n" ..
    "X-Deadline-Ms: 100000\r\nX-Model: m\r\nX-Token-Count: 10,9\r\nX-Prompt-Prefix: a1:5,b2:5\r\n" ..
    "Api-Key: kett-key\r\nContent-Length: 1\r\n\r\nx", path or "/chat/x", id))
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

-- With time to wait, they wait, and the one that came last is the most urgent.
publish(500000)
local waiting = {}
local function wait_for(path, n)
  waiting[n] = run.http_start((g:call{path = path, events = 1, body = "q", id = "wait" .. n, deadline = 90000, timeout = 90}))
  fleet.eventually(n .. " wait", function() return gateway:counter("gateway_waiting") == n end)
end
for n = 1, 3 do wait_for("/chat/x", n) end
local urgent = run.raw_open(gateway.http)
send_stream(urgent, "urgent", "/urgent/x")
fleet.eventually("4 wait", function() return gateway:counter("gateway_waiting") == 4 end)
fleet.equal("none was sent", running(), PLACES)
run.raw_close(calls[1])
fleet.eventually("a place came free and was given", function() return running() == PLACES + 1 end)
fleet.equal("to the urgent one", engine:ran("urgent"), 1)
fleet.equal("the others wait", gateway:counter("gateway_waiting"), 3)

-- A caller that leaves while it waits is never sent on.
local leaver = run.raw_open(gateway.http)
send_stream(leaver, "leaver")
fleet.eventually("it waits too", function() return gateway:counter("gateway_waiting") == 4 end)
run.raw_close(leaver)
fleet.eventually("it has left", function() return gateway:counter("gateway_waiting") == 3 end)

engine:fault("gap=0")
run.raw_close(urgent)
for i = 2, PLACES do run.raw_close(calls[i]) end
for n = 1, 3 do fleet.equal("answer " .. n, run.http_wait(waiting[n]).status, 200) end
fleet.equal("nobody waits", gateway:counter("gateway_waiting"), 0)
fleet.equal("who left has not run", engine:ran("leaver"), 0)
g:stop()
