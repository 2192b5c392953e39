-- Guards against requests that a gateway forwards wrongly, streams that arrive incomplete, and bad requests
-- or configurations that are accepted. The control group forms from seed addresses.
local fleet = require("fleet")
local gateways = require("gateways")
local g = gateways.new{control = 3, gateways = 2, engines = 2, portals = 2}
g:start()

-- Plain calls: method, path, query and body arrive unchanged; the workspace header is set by the gateway and
-- not taken from the caller.
local r = g:ask{path = "/once/a?b=c", body = "12345", headers = {["X-Tenant"] = "forged"}}
fleet.equal("status", r.status, 200)
fleet.equal("body", r.body, "POST /once/a?b=c " .. r.id .. " 5")
fleet.expect("a signature", r["X-Replica-Seal"])
local seen = false
for _, t in ipairs(g.targets) do
  local s = t:stats()
  seen = seen or s.workspace == "kett"
  fleet.equal("key sent to the target", s.key, "")
  fleet.expect("a caller's workspace header is not forwarded", s.workspace ~= "forged")
end
fleet.expect("the workspace reaches the target", seen)
fleet.equal("a safe call", g:ask{path = "/safe/x", method = "GET"}.status, 200)
fleet.equal("a public route without a key", g:ask{path = "/safe/open/x", method = "GET", key = false}.status, 200)

-- Streams through both gateways.
for i = 1, 20 do
  r = g:ask{path = i % 2 == 0 and "/chat/x" or "/again/x", events = 10 + i, body = "q", gateway = g.gateways[i % 2 + 1]}
  fleet.expect("a complete stream " .. i .. ": " .. r.status .. " " .. r.body, gateways.is_stream(r, 10 + i))
end

-- Bad input gets an error code, and nothing runs.
local before = g:sum("", "total")
local function refused(what, status, code, o)
  local a = g:ask(o)
  fleet.equal(what, a.status, status)
  fleet.equal(what .. " code", a["Peatwell-Code"], tostring(code))
end
refused("unknown host", 404, 1012, {path = "/once/a", headers = {Host = "b.example"}})
refused("unknown path", 404, 1012, {path = "/nothing/", method = "GET"})
refused("no key", 401, 1003, {path = "/once/a", key = false})
refused("no key, beside a public route with a longer prefix", 401, 1003, {path = "/safe/x", method = "GET", key = false})
refused("unknown key", 401, 1003, {path = "/once/a", key = "nobody"})
refused("large body", 413, 1002, {path = "/once/a", body = string.rep("x", 100001)})
refused("large head", 431, 1010, {path = "/once/a", headers = {["X-Long"] = string.rep("y", 5000)}})
fleet.equal("runs after bad input", g:sum("", "total"), before)

-- A port in the Host header and the letter case of the host do not matter.
fleet.equal("host with a port", g:ask{path = "/once/a", headers = {Host = "A.example:80"}}.status, 200)

-- A second configuration takes effect; an older one changes nothing; a resend is acknowledged; an invalid one
-- is refused and changes nothing.
local config = g:config(function(s) table.remove(s.routes, 3) end)
local text = gateways.config_text(config)
g:wait_in_force(g:publish(text))
refused("a dropped route", 404, 1012, {path = "/once/a"})
g:publish(text)
local old = gateways.config_text(g:config(function(s) s.version = 1 end))
g:publish(old)
local stored, body = g:stored_config()
fleet.equal("the stored version is the newest", stored.version, config.version)
fleet.equal("the configuration is read as it was sent", body, text)
local function put(t)
  for _, c in ipairs(g.control) do
    local a = g:control_call(c, "PUT", "/config", t)
    if a.status ~= 503 then return a end
  end
end
fleet.equal("a truncated configuration", put(text:sub(1, -20)).status, 400)
local next_version = '"version":' .. config.version + 100
local newer = text:gsub('"version":%d+', next_version)
fleet.equal("unknown service", put((newer:gsub('"service":"llm"', '"service":"none"'))).status, 422)
fleet.equal("no timeout", put((newer:gsub('"timeoutMs":%d+', '"timeoutMs":0'))).status, 422)
fleet.equal("two routes with one prefix", put((newer:gsub('/again/', '/chat/'))).status, 422)
fleet.equal("a key of two workspaces", put((newer:gsub('"exams%-key"', '"kett-key"'))).status, 422)
fleet.equal("version after refused configurations", g:stored_config().version, config.version)

-- Two groups would each acknowledge configurations that the other one never gets: the instance that accepts a
-- configuration must be the one that all others redirect to.
local function accepting_instance(c)
  local a = run.http{url = "http://" .. c.health, method = "PUT", path = "/config", body = text, timeout = 3,
    headers = {["Content-Type"] = "application/json"}}
  if a.status == 200 then return c.health end
  return a.status == 307 and a.Location:match("^http://([^/]+)") or nil
end
fleet.eventually("exactly one group: all instances name the same leader", function()
  local leader = accepting_instance(g.control[1])
  for _, c in ipairs(g.control) do
    if not leader or accepting_instance(c) ~= leader then return false end
  end
  return true
end)
g:stop()
