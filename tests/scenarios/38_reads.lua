-- Guards against reads of an outdated configuration. A read at any control instance must not return a version
-- older than the one acknowledged before the read. Each instance answers reads itself, so that they do not
-- load the leader's link.
local fleet = require("fleet")
local gateways = require("gateways")
local VERSIONS = 40
local g = gateways.new{control = 3, gateways = 1, engines = 0, portals = 1}
g:start()
local function read(c)
  return run.http{url = "http://" .. c.health, method = "GET", path = "/config", timeout = 3}
end
local answered = 0
for _ = 1, VERSIONS do
  local version = g:publish(g:config())
  for _, c in ipairs(g.control) do
    local r = read(c)
    if r.status == 200 then
      answered = answered + 1
      fleet.equal(c.name .. " returns the acknowledged version", run.json(r.body).version, version)
    end
  end
end
fleet.equal("reads answered by the instance that was asked", answered, VERSIONS * #g.control)

-- Without a quorum no instance can confirm that its version is the newest: no outdated answer may be given.
local version = g:publish(g:config())
g.control[1]:signal("STOP")
g.control[2]:signal("STOP")
for _ = 1, 3 do
  local r = read(g.control[3])
  fleet.expect("cut off: status " .. r.status, r.status ~= 200 or run.json(r.body).version == version)
end
g.control[1]:signal("CONT")
g.control[2]:signal("CONT")
version = g:publish(g:config())
fleet.eventually("each instance returns the newest version", function()
  for _, c in ipairs(g.control) do
    local r = read(c)
    if r.status ~= 200 or run.json(r.body).version ~= version then return false end
  end
  return true
end)
g:stop()
