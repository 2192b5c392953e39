-- Guards against wrong answers and repeated runs when targets misbehave: they refuse, fail, cut or reset
-- answers, close connections, send extra bytes or nothing. A request that may not be repeated runs once, a
-- cut answer must not look complete, and "not run" must be true.
local fleet = require("fleet")
local gateways = require("gateways")
local g = gateways.new{control = 3, gateways = 1, engines = 3, portals = 4}
g:start()
g:wait_budgets()

local function all(prefix, fault) g:fault(prefix, fault) end
local function clear(prefix, fault) all(prefix, fault .. "=0") end

-- Refusals with proof that nothing ran: another target runs the request, also one that may run only once.
g.targets[4]:fault("refuse=2")
for i = 1, 4 do fleet.equal("after a refusal " .. i, g:ask{path = "/once/a", body = "x"}.status, 200) end
fleet.equal("runs of one request", g:most_runs("portal"), 1)

-- Errors: a call that may be repeated is retried at another target.
g.targets[4]:fault("error=100")
for i = 1, 6 do fleet.equal("safe after an error " .. i, g:ask{path = "/safe/a", method = "GET"}.status, 200) end
clear("portal", "error")

-- Counts the runs of a request over all targets.
local function ran(id)
  local n = 0
  for _, t in ipairs(g.targets) do n = n + t:ran(id) end
  return n
end

-- Answers that are cut, reset or without the target's signature: a request that may not be repeated fails
-- with 502, one that may is retried.
for _, fault in ipairs{"cut", "reset", "unsigned_answer"} do
  all("portal", fault .. "=1")
  local bad = 0
  for _ = 1, 3 do
    local r = g:ask{path = "/once/a", body = "x"}
    fleet.expect(fault .. ": " .. r.status, r.status == 200 or r.status == 502)
    if r.status == 502 then bad = bad + 1 end
    fleet.equal(fault .. ": runs of a request that may not be repeated", ran(r.id), 1)
  end
  fleet.expect(fault .. " occurred", bad > 0)
  clear("portal", fault)
  g.targets[4]:fault(fault .. "=1")
  for _ = 1, 4 do
    local r = g:ask{path = "/safe/a", method = "GET"}
    fleet.equal("safe after " .. fault, r.status, 200)
    -- It is retried at another target, or at the same one over a new connection.
    fleet.expect("two attempts at most", ran(r.id) <= 2)
  end
  clear("portal", fault)
end

-- Bytes that follow a complete answer must not become the answer of another request.
all("portal", "extra=5")
for i = 1, 12 do
  local r = g:ask{path = "/once/a", body = "x"}
  fleet.equal("the request's own answer " .. i, r.body, "POST /once/a " .. r.id .. " 1")
end
clear("portal", "extra")

-- An answer without a length ends when its connection closes.
all("portal", "unframed=2")
local r = g:ask{path = "/once/a", body = "x"}
fleet.equal("unframed", r.body, "POST /once/a " .. r.id .. " 1")
clear("portal", "unframed")

-- Reused connections that the target closes when a request arrives: a call that may be repeated is sent again
-- over a new connection; any other must never run twice.
for i = 1, 6 do
  all("portal", "closing=1")
  fleet.equal("safe over a closed connection " .. i, g:ask{path = "/safe/a", method = "GET"}.status, 200)
end
clear("portal", "closing")

-- The attempts of a route limit how often targets run a request, also when it was sent again over a new
-- connection.
all("portal", "error=100")
for i = 1, 6 do
  all("portal", "closing=1")
  local ran = g:sum("portal", "total")
  fleet.equal("an error " .. i, g:ask{path = "/safe/a", method = "GET"}.status, 500)
  fleet.expect("two attempts at most", g:sum("portal", "total") - ran <= 2)
end
clear("portal", "error")
clear("portal", "closing")

-- Cut streams: one that may be resumed goes on at another target without a lost or repeated event; any other
-- is broken off and must not look complete.
for i = 1, 6 do
  clear("engine", "cut") -- the fault of the round before, if no request met it
  g.targets[(i - 1) % 3 + 1]:fault("cut=1")
  local s = g:ask{path = "/again/x", events = 12, body = "q"}
  fleet.expect("resumed " .. i .. ": " .. s.body, gateways.is_stream(s, 12))
end
clear("engine", "cut")
all("engine", "cut=1")
local s = g:ask{path = "/chat/x", events = 12, body = "q"}
fleet.expect("a cut stream does not look complete", not s.whole)
fleet.expect("the events begin with the first", s.body:find("^id: 1\n"))
fleet.expect("no half event", s.body:find("\n\n$"))
clear("engine", "cut")

-- A caller that disconnects before the first byte cancels the work at the target.
all("engine", "delay=3000")
local left = g:sum("engine", "left")
local c = run.raw_open(g.gateways[1].http)
run.raw_send(c, "POST /chat/x HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: leaver\r\nApi-Key: kett-key\r\n" ..
  "X-Token-Count: 10,5\r\nContent-Length: 1\r\n\r\nq")
fleet.eventually("the request arrives", function() return g:sum("engine", "total") > 0 and g.gateways[1]:counter("active_requests") == 1 end)
run.raw_close(c)
fleet.eventually("the target ends its work", function() return g:sum("engine", "left") > left end)
clear("engine", "delay")

-- A target that does not answer: the final answer is sent at the route's timeout.
all("portal", "mute=1")
local m = g:ask{path = "/once/a", body = "x"}
fleet.equal("mute", m.status, 504)
clear("portal", "mute")

-- All targets serve again, and no target has run a stream twice.
fleet.eventually("requests are served again", function() return g:ask{path = "/safe/a", method = "GET"}.status == 200 end)
fleet.equal("runs of one request", g:most_runs("engine"), 1)
g:stop()
