-- Promise: a service moves to targets of another version by an operator's order. A good version has
-- all requests by then and no caller sees a failure; a bad one is seen by all gateways together, goes
-- back, and has had no more of the requests than the operator allows.
--
-- POST /rollouts was answered 404: targets of a new version got requests like all others, bad or good.
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
-- New targets of a version, of which so many in a hundred answers are failures.
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
-- A round of requests to all gateways at once; gives how many were served.
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
  local lost = 0
  fleet.eventually(what, function()
    lost = lost + 12 - round()
    return select(2, state()) == wanted
  end, 40000)
  return lost
end
local function told(version, stage)
  for _, p in ipairs(g.gateways) do
    fleet.eventually(p.name .. " is told", function()
      return fleet.read(p.log):find("ev=service%-rollout service=portal version=" .. version .. " state=" .. stage)
    end)
  end
end
local old = {}
for i = 1, OLD do old[i] = g["portal-" .. i] end

-- What is no order.
fleet.equal("an unknown service", order("nothing", "v2", "5"), 422)
fleet.equal("no time for it", order("portal", "v2", "0"), 422)
fleet.equal("no number", order("portal", "v2", '"x"'), 422)
fleet.equal("no version", order("portal", "", "5"), 422)
fleet.equal("no object", g:control_call(g.control[1], "POST", "/rollouts", "[]").status, 400)
fleet.equal("none is known", g:control_call(g.control[1], "GET", "/rollouts/portal").status, 404)

-- A good version: taken at any control instance, again as well; another one is not taken beside it.
fleet.equal("taken", order("portal", "v2", "5", g.control[2]), 200)
local v2 = add(2)
fleet.equal("the same again", order("portal", "v2", "5", g.control[3]), 200)
fleet.equal("another beside it", order("portal", "v9", "5"), 409)
local r = g:control_call(g.control[1], "GET", "/rollouts/portal")
fleet.equal("it goes on: " .. r.body, r.body:match('"state":"running"') and r.body:match('"targetVersion":"v2"') and 1, 1)
fleet.equal("callers who saw a failure", ask_until("v2 is complete", "complete"), 0)
told("v2", "complete")
fleet.expect("v2 is used", arrivals(v2) > 0)
local before = arrivals(old)
for _ = 1, 5 do fleet.equal("all are served by it", round(), 12) end
fleet.equal("the old ones get nothing more", arrivals(old), before)
for _, t in ipairs(old) do
  t:kill()
  t.gone = true
end
fleet.equal("the platform is told", g:control_call(g.control[1], "GET", "/rollouts/portal").body:match('"state":"(%a+)"'), "complete")

-- A bad one, by the command line; the leader ends in the middle of it.
local text, code = peatwell("rollout portal v3 8")
fleet.equal("taken: " .. text, code, 0)
local v3 = add(3, 40)
fleet.eventually("it gets some", function()
  round()
  return arrivals(v3) > 0
end)
local from = asked
for _, c in ipairs(g.control) do
  if fleet.read(c.log):find("ev=leader") and not fleet.read(c.log):find("ev=follower") then
    c:kill()
    c:start()
    break
  end
end
ask_until("v3 goes back", "reverted")
told("v3", "reverted")
local got = arrivals(v3)
fleet.expect(string.format("%d of %d went there", got, asked), got <= 0.1 * asked + 50)
for _ = 1, 5 do fleet.equal("all are served", round(), 12) end
fleet.equal("it gets nothing more", arrivals(v3), got)
fleet.expect("status tells", peatwell("status"):find("portal +v3 +reverted"))

-- All control instances end at once: it stays so.
for _, c in ipairs(g.control) do c:kill() end
for _, c in ipairs(g.control) do c:start() end
fleet.eventually("known again", function() return select(2, state()) == "reverted" end)
g:wait_ready()
for _ = 1, 5 do fleet.equal("all are served", round(), 12) end
fleet.equal("it gets nothing more", arrivals(v3), got)
g:stop()
