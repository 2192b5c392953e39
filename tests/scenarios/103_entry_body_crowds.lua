-- Guards against an entry that exceeds its memory, and is killed, because many callers send long bodies at once: its
-- connections had no common limit.
-- Runs alone: see tools/run-tests.
local fleet = require("fleet")
local crowds = require("crowds")
local CALLERS, BODY_BYTES, TINY_BYTES, MEMORY_MB, DESCRIPTORS = 400, 1024 * 1024, 64 * 1024, 256, 1000
local f = fleet.new{entries = 1, engines = 1, services = 1}
f:start()
local entry = f.entries[1]
crowds.play{process = entry, address = entry.health, callers = CALLERS, answer = "401", body = BODY_BYTES, tiny_body = TINY_BYTES,
  head = "POST /v1/services/portal/charge HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer none\r\n",
  memory_mb = MEMORY_MB, descriptors = DESCRIPTORS,
  is_served = function() return run.http(f:call{body = "x"}).status == 200 end}
f:stop()
