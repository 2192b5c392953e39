-- Guards against a refused caller that costs a process a core: after the refusal all that the caller went on to send was
-- read and thrown away for a second, whatever its rate.
-- Runs alone: see tools/run-tests.
local fleet = require("fleet")
local gateways = require("gateways")
local CALLERS, BLOCK_BYTES, SENT_MB, READ_MB = 4, 1024 * 1024, 256, 32
local GIVE_UP_MS = 5000
local g = gateways.new{control = 1, gateways = 1, portals = 1}
g:start()
local head = " HTTP/1.1\r\nHost: a.example\r\nApi-Key: kett-key\r\nX-Request-Id: goes-on\r\nContent-Length: 4294967296\r\n\r\n"

-- What the callers sent after their heads before their connections took no more, MB.
local function play(address, line)
  local conns, sent, done = {}, {}, {}
  for i = 1, CALLERS do
    conns[i], sent[i] = run.raw_open(address), 0
    run.raw_send(conns[i], line .. head)
  end
  local block = ("x"):rep(BLOCK_BYTES)
  for _ = 1, SENT_MB do
    for i, c in ipairs(conns) do
      if not done[i] then
        local whole, n = run.raw_send(c, block, GIVE_UP_MS)
        sent[i], done[i] = sent[i] + n, not whole
      end
    end
  end
  for i, c in ipairs(conns) do
    run.raw_close(c)
    local mb = sent[i] // BLOCK_BYTES
    fleet.expect("a refused caller at " .. line .. " could send " .. mb .. " MB", mb <= READ_MB)
  end
end
play(g.gateways[1].http, "POST /once/a")
play(g.control[1].health, "PUT /config")

-- The refusal reaches a caller that sends a body over the limit whole before it reads.
local c = run.raw_open(g.gateways[1].http)
run.raw_send(c, "POST /once/a HTTP/1.1\r\nHost: a.example\r\nApi-Key: kett-key\r\nX-Request-Id: reads-late\r\nContent-Length: 4000000\r\n\r\n")
run.raw_send(c, ("y"):rep(4000000), GIVE_UP_MS)
local text = run.raw_read(c, 5000, '"message"')
run.raw_close(c)
fleet.expect("the refusal: " .. text, text:find("^HTTP/1.1 413"))
fleet.equal("an ordinary request", g:ask{path = "/safe/a", body = "x"}.status, 200)
g:stop()
