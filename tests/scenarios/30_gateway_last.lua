-- Guards against a second answer on the connection of a stream that cannot go on. All targets are killed
-- during a stream: the connection is closed, and nothing else follows on it. A request that may have run must
-- not be answered as not run.
local fleet = require("fleet")
local gateways = require("gateways")
local ENGINES = 9 -- more than the connections that are tried for one request
local g = gateways.new{control = 3, gateways = 1, engines = ENGINES, portals = 2}
g:start()

for _, t in ipairs(g.targets) do t:fault("gap=100") end
local c = run.raw_open(g.gateways[1].http)
run.raw_send(c, "POST /again/x HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: lasting\r\nApi-Key: kett-key\r\n" ..
  "X-Token-Count: 10,100\r\nContent-Length: 1\r\n\r\nq")
local begun = run.raw_read(c, 10000, "id: 3\n")
fleet.expect("a stream begins: " .. begun, begun:find("id: 3\n"))
local serving
for i = 1, ENGINES do
  local t = g["engine-" .. i]
  if t:stats().total > 0 then serving = t end
end
for i = 1, ENGINES do
  local t = g["engine-" .. i]
  if t ~= serving then
    t:kill()
    t.gone = true
  end
end
serving:kill()
serving.gone = true
local rest, closed = run.raw_read(c, 10000)
fleet.expect("the connection ends", closed)
fleet.expect("no other answer follows: " .. rest, not rest:find("HTTP/1.1", 1, true))
fleet.expect("the stream does not look complete", not rest:find("\r\n0\r\n\r\n", 1, true))
run.raw_close(c)

-- A call that may be repeated ran at a target that then reset the connection, and so did the other one: the
-- caller must not be told that it did not run.
g["portal-1"]:fault("reset=100")
g["portal-2"]:fault("reset=100")
local r = g:ask{path = "/safe/a", method = "GET"}
fleet.equal("status of a request that may have run", r.status, 502)
g:stop()
