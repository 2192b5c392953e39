-- Promise: a configuration may be read at any control instance, and is never older than what
-- was acknowledged before the read; the leader's link does not carry the others' reads.
local fleet = require("fleet")
local gateways = require("gateways")
local VERSIONS = 40
local g = gateways.new{control = 3, gateways = 1, engines = 0, portals = 1}
g:start()
local function read(c)
  return run.http{url = "http://" .. c.health, method = "GET", path = "/config", timeout = 3}
end
local here = 0
for _ = 1, VERSIONS do
  local version = g:publish(g:site())
  for _, c in ipairs(g.control) do
    local r = read(c)
    if r.status == 200 then
      here = here + 1
      fleet.equal(c.name .. " reads what was acknowledged", run.json(r.body).version, version)
    end
  end
end
fleet.equal("reads answered where they were asked", here, VERSIONS * #g.control)

-- Without a quorum nobody knows: no answer is old.
local version = g:publish(g:site())
g.control[1]:signal("STOP")
g.control[2]:signal("STOP")
for _ = 1, 3 do
  local r = read(g.control[3])
  fleet.expect("cut off: status " .. r.status, r.status ~= 200 or run.json(r.body).version == version)
end
g.control[1]:signal("CONT")
g.control[2]:signal("CONT")
version = g:publish(g:site())
fleet.eventually("each reads the newest", function()
  for _, c in ipairs(g.control) do
    local r = read(c)
    if r.status ~= 200 or run.json(r.body).version ~= version then return false end
  end
  return true
end)
g:stop()
