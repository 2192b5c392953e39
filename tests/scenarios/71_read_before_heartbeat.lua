-- Guards against a read that waits for the leader's next heartbeat although its confirmation is there. The heartbeat
-- interval is longer than the limit of a read, as if the leader were suspended after each confirmation: an instance
-- that learned only from heartbeats what is committed would redirect reads.
local fleet = require("fleet")
local gateways = require("gateways")
local VERSIONS = 12
local g = gateways.new{control = 3, gateways = 1, engines = 0, portals = 1,
  control_text = "heartbeat_ms = 2000\nretry_ms = 500\nlease_ms = 6000"}
g:start()
local answered = 0
for _ = 1, VERSIONS do
  local version = g:publish(g:config())
  local reads = {}
  for i, c in ipairs(g.control) do reads[i] = gateways.start_read(c) end
  for i, h in ipairs(reads) do
    local r = run.http_wait(h)
    if r.status == 200 then
      answered = answered + 1
      fleet.equal(g.control[i].name .. " returns the acknowledged version", run.json(r.body).version, version)
    end
  end
end
fleet.equal("reads answered by the instance that was asked", answered, VERSIONS * #g.control)
g:stop()
