-- Guards against a restarted target that is taken for its earlier incarnation, and against foreign writers of
-- heartbeats. A target that starts again under its id is a new incarnation: its heartbeat numbers start again
-- and are accepted at once, late messages of the earlier incarnation change nothing, and malformed heartbeats
-- of other writers are ignored.
local fleet = require("fleet")
local gateways = require("gateways")
local g = gateways.new{control = 3, gateways = 2, engines = 2, portals = 2}
g:start()
local engine, portal = g["engine-1"], g["portal-1"]

local function put(id, body, control)
  return run.http{url = "http://" .. (control or g.control[1]).health, method = "PUT", path = "/replicas/" .. id,
    body = body, headers = {["Content-Type"] = "application/json"}, timeout = 3}.status
end
local function heartbeat(t, o)
  return string.format('{"service":%q,"address":%q,"zone":"az-1","version":"v1","slots":8,"state":%q,' ..
    '"coldLeftMs":%d,"born":%d,"seq":%d}', t.service, o.address or t.health, o.state or "ready", o.cold or 0, o.born, o.seq)
end
local function serves(t, path)
  fleet.eventually(t.name .. " serves at each gateway", function()
    local before = t:stats().total
    for i = 1, 12 do
      g:ask{path = path, events = path == "/chat/a" and 2, body = "x" .. i, gateway = g.gateways[i % 2 + 1]}
    end
    return t:stats().total > before + 1
  end)
end

-- The heartbeat numbers of the first incarnation are high; those of the next one start at the beginning.
for _, t in ipairs{engine, portal} do t:fault("skip=1000000") end
serves(engine, "/chat/a")
serves(portal, "/once/a")
for _, t in ipairs{engine, portal} do
  fleet.eventually("the target has sent its high numbers", function() return t:stats().seq > 1000001 end)
end
local old = os.time() * 1000 - 60000
for _, t in ipairs{engine, portal} do
  t:kill()
  t:start()
end
for _, p in ipairs(g.gateways) do
  fleet.eventually(p.name .. " learns of both restarts", function()
    return fleet.lines(p, "ev=target%-restarted target=i%-engine%-1") == 1 and fleet.lines(p, "ev=target%-restarted target=i%-portal%-1") == 1
  end)
  fleet.expect("restarts are counted", p:counter("target_restarts_total") >= 2)
end
serves(engine, "/chat/a")
serves(portal, "/once/a")

-- Late heartbeats of the earlier incarnation, to any control instance, that report it as leaving, at another
-- address or cold, with high numbers.
for i, o in ipairs{{state = "draining"}, {address = "127.0.0.1:9"}, {cold = 60000}} do
  o.born, o.seq = old, 2000000 + i
  fleet.equal("status of a late heartbeat", put("i-portal-1", heartbeat(portal, o), g.control[i]), 200)
end
-- A heartbeat without a start time, for a target that gives one, is from another writer.
put("i-portal-1", (heartbeat(portal, {born = 7, seq = 3000000, state = "draining"}):gsub('"born":7,', "")))
serves(portal, "/once/a")
for _, p in ipairs(g.gateways) do
  fleet.equal(p.name .. ": leaving targets", fleet.lines(p, "ev=target%-leaving"), 0)
  fleet.equal(p.name .. ": restarts", fleet.lines(p, "ev=target%-restarted"), 2)
end

-- Malformed heartbeats of other writers: each is refused with a code, and the target stays known by its own
-- heartbeats.
local good = heartbeat(portal, {born = os.time() * 1000 + 60000, seq = 1})
local bad = {good:gsub('"service":"portal",', ""), good:gsub('"service":"portal"', '"service":7'),
  good:gsub('"slots":8', '"slots":"8"'), good:gsub('"slots":8', '"slots":8.5'), good:gsub('"ready"', '"asleep"'),
  good:gsub('"state":"ready",', ""), good:gsub('"born":%d+', '"born":1.5'), good:gsub('"born":%d+', '"born":"1"'),
  good:gsub('"seq":1', '"seq":-1'), good:gsub('"zone":"az%-1"', '"zone":null'), "", "{", "\255\254", ("["):rep(20000),
  '{"a":' .. ("9"):rep(5000) .. "}"}
local ignored = 0
for i, body in ipairs(bad) do
  if type(body) == "string" then
    local status = put("i-portal-1", body, g.control[i % 3 + 1])
    fleet.expect("refused: " .. status .. " " .. body:sub(1, 60), status == 400 or status == 422)
    ignored = ignored + 1
  end
end
local counted = 0
for _, c in ipairs(g.control) do
  counted = counted + c:counter("heartbeats_set_aside_total") + c:counter("heartbeats_unreadable_total")
end
fleet.equal("ignored heartbeats counted", counted, ignored)
serves(portal, "/once/a")
for _, p in ipairs(g.gateways) do fleet.equal(p.name .. ": restarts", fleet.lines(p, "ev=target%-restarted"), 2) end

-- The target leaves; late heartbeats of that incarnation do not bring it back, the next incarnation does.
fleet.equal("status of the target's leaving", run.http{url = "http://" .. g.control[2].health, method = "DELETE", path = "/replicas/i-portal-1",
  timeout = 3}.status, 200)
for _, p in ipairs(g.gateways) do
  fleet.eventually(p.name .. " knows that the target has gone", function() return fleet.lines(p, "ev=target%-gone target=i%-portal%-1") == 1 end)
end
portal:kill()
portal:start()
serves(portal, "/once/a")
g:stop()
