-- Guards against a service rollout that fails callers. An operator orders that a service moves to targets of
-- another version. A good version gets all requests within the ordered time and no caller sees a failure. A
-- bad one is detected by all gateways together, is rolled back, and gets no more of the requests than the
-- operator allows.
--
-- Without rollouts (POST /rollouts was answered 404) targets of a new version got requests like all others,
-- good or bad.
local fleet = require("fleet")
local gateways = require("gateways")
local OLD, NEW = 3, 3
local g = gateways.new{control = 3, gateways = 2, portals = OLD, engines = 1}
g:start()
for _, t in ipairs(g.targets) do t:fault("delay=20") end

local function peatwell(words) return g:peatwell(words) end
local function order(service, version, over, c)
  return g:control_call(c or g.control[1], "POST", "/rollouts",
    string.format('{"service":%q,"targetVersion":%q,"overS":%s}', service, version, over)).status
end
local function state()
  local text = peatwell("rollout portal")
  return text:match("to (%S+), (%a+), ([%d.]+)%%")
end
-- Adds targets of a version that fail `bad` of a hundred requests.
local function add(version, bad)
  local list = {}
  for i = 1, NEW do
    local t = g:add_target("portal-v" .. version .. "-" .. i, "portal", nil, "v" .. version)
    t:start()
    t:fault("delay=20")
    t:fault("bad=" .. (bad or 0))
    list[i] = t
  end
  return list
end
local function arrivals(list)
  local n = 0
  for _, t in ipairs(list) do n = n + t:stats().arrivals end
  return n
end
-- Sends a round of requests to all gateways at once; returns how many were served.
local asked = 0
local function round()
  local calls, served = {}, 0
  for i = 1, 12 do
    local call = i % 3 == 0 and {path = "/once/a"} or {path = "/safe/a", method = "GET"}
    call.gateway = g.gateways[i % 2 + 1]
    calls[i] = run.http_start((g:call(call)))
  end
  for _, c in ipairs(calls) do
    asked = asked + 1
    if run.http_wait(c).status == 200 then served = served + 1 end
  end
  return served
end
local function ask_until(what, wanted)
  local failed = 0
  fleet.eventually(what, function()
    failed = failed + 12 - round()
    return select(2, state()) == wanted
  end, 40000)
  return failed
end
local function wait_logged(version, stage)
  for _, p in ipairs(g.gateways) do
    fleet.eventually(p.name .. " learns the state of the rollout", function()
      return fleet.read(p.log):find("ev=service%-rollout service=portal version=" .. version .. " state=" .. stage)
    end)
  end
end
local old = {}
for i = 1, OLD do old[i] = g["portal-" .. i] end

-- Invalid orders are refused.
fleet.equal("an unknown service", order("nothing", "v2", "5"), 422)
fleet.equal("a duration of 0", order("portal", "v2", "0"), 422)
fleet.equal("a duration that is no number", order("portal", "v2", '"x"'), 422)
fleet.equal("an order without a version", order("portal", "", "5"), 422)
fleet.equal("an order that is no JSON object", g:control_call(g.control[1], "POST", "/rollouts", "[]").status, 400)
fleet.equal("a rollout that does not exist", g:control_call(g.control[1], "GET", "/rollouts/portal").status, 404)

-- A good version: the order is accepted at any control instance and may be repeated; another version is not
-- accepted beside it.
fleet.equal("status of the order", order("portal", "v2", "5", g.control[2]), 200)
local v2 = add(2)
fleet.equal("the same order again", order("portal", "v2", "5", g.control[3]), 200)
fleet.equal("an order of another version", order("portal", "v9", "5"), 409)
local r = g:control_call(g.control[1], "GET", "/rollouts/portal")
fleet.equal("the rollout is still running: " .. r.body, r.body:match('"state":"running"') and r.body:match('"targetVersion":"v2"') and 1, 1)
fleet.equal("callers who saw a failure", ask_until("v2 is complete", "complete"), 0)
wait_logged("v2", "complete")
fleet.expect("v2 is used", arrivals(v2) > 0)
local before = arrivals(old)
for _ = 1, 5 do fleet.equal("served requests", round(), 12) end
fleet.equal("requests at the old targets", arrivals(old), before)
for _, t in ipairs(old) do
  t:kill()
  t.gone = true
end
fleet.equal("state for the platform", g:control_call(g.control[1], "GET", "/rollouts/portal").body:match('"state":"(%a+)"'), "complete")

-- A bad version, ordered by the command line; the leader is killed and restarted during the rollout.
local from = asked
local text, code = peatwell("rollout portal v3 8")
fleet.equal("exit code of the order: " .. text, code, 0)
local v3 = add(3, 40)
fleet.eventually("the bad version gets requests", function()
  round()
  return arrivals(v3) > 0
end)
for _, c in ipairs(g.control) do
  if fleet.read(c.log):find("ev=leader") and not fleet.read(c.log):find("ev=follower") then
    c:kill()
    c:start()
    break
  end
end
ask_until("v3 is rolled back", "reverted")
wait_logged("v3", "reverted")
local got = arrivals(v3)
local sent = asked - from
fleet.expect(string.format("%d of %d requests of its rollout went to the bad version", got, sent), got <= 0.1 * sent + 50)
for _ = 1, 5 do fleet.equal("served requests", round(), 12) end
fleet.equal("requests at the bad version", arrivals(v3), got)
fleet.expect("status shows the rollback", peatwell("status"):find("portal +v3 +reverted"))

-- All control instances are killed at once and restarted: the version stays rolled back.
for _, c in ipairs(g.control) do c:kill() end
for _, c in ipairs(g.control) do c:start() end
fleet.eventually("the state is known again", function() return select(2, state()) == "reverted" end)
g:wait_ready()
for _ = 1, 5 do fleet.equal("served requests", round(), 12) end
fleet.equal("requests at the bad version", arrivals(v3), got)
g:stop()
