-- Guards against gateways that judge a workspace by what each of them receives itself: a gateway that restarts
-- amid a surge has to know it for one by what the others report, and the other workspace is never taken for
-- one. The operator sees the surge in the log, the metrics and /v1/workspaces of each gateway.
local fleet = require("fleet")
local gateways = require("gateways")
local GATEWAYS, STEADY, SURGING = 4, "kett", "exams"
local g = gateways.new{control = 1, gateways = GATEWAYS, engines = 0, portals = 2}
g:start()

-- What a gateway knows of a workspace.
local function known(p, workspace)
  local list = run.json(run.http{url = "http://" .. p.metrics, method = "GET", path = "/v1/workspaces", timeout = 3}.body)
  for _, one in ipairs(list.workspaces) do
    if one.workspace == workspace and one.service == "portal" then return one end
  end
  return {rate = 0, surplus = 0}
end
-- Sends a few requests of the workspace through each gateway.
local function send(workspace, n)
  local calls = {}
  for _, p in ipairs(g.gateways) do
    for _ = 1, n do
      calls[#calls + 1] = run.http_start((g:call{path = "/safe/a", method = "GET", gateway = p, key = workspace .. "-key"}))
    end
  end
  for _, call in ipairs(calls) do run.http_wait(call) end
end
local function expect_steady()
  for _, p in ipairs(g.gateways) do
    fleet.equal(p.name .. ": surplus of the steady workspace", known(p, STEADY).surplus, 0)
  end
end
-- Sends requests until the condition holds at a gateway.
local function send_until(what, steady, surging, list, holds)
  for _, p in ipairs(list) do
    fleet.eventually(p.name .. ": " .. what, function()
      send(STEADY, steady)
      send(SURGING, surging)
      return holds(p)
    end)
  end
end

send_until("the rates are sums over gateways", 2, 1, g.gateways, function(p)
  local one = known(p, SURGING)
  return one.summed and one.rate > 2 * one.rate_here and known(p, STEADY).summed
end)
for _ = 1, 100 do
  send(STEADY, 2)
  send(SURGING, 1)
end
for _, p in ipairs(g.gateways) do
  fleet.equal(p.name .. ": workspaces that surge before the surge", p:counter("gateway_workspaces_surging"), 0)
end

local function is_surging(p)
  local one = known(p, SURGING)
  return one.surging and one.summed and one.why:find("twice its baseline") and p:counter("gateway_workspaces_surging") == 1 and
    p:counter("gateway_surplus_total") > 0
end
send_until("the surge is known", 1, 20, g.gateways, is_surging)
expect_steady()

g.gateways[1]:kill()
g.gateways[1]:start()
fleet.eventually("the gateway is ready again", function() return g.gateways[1]:get("/ready").status == 200 end)
send_until("the surge is known after a restart", 1, 20, {g.gateways[1]}, is_surging)
expect_steady()

-- Both workspaces send nothing more, so neither sends more than its share of all.
for _, p in ipairs(g.gateways) do
  fleet.eventually(p.name .. ": the end of the surge is known", function() return p:counter("gateway_workspaces_surging") == 0 end)
end
for _, p in ipairs(g.gateways) do
  local f = io.open(p.log)
  local text = f:read("a")
  f:close()
  fleet.expect(p.name .. ": a line for the begin and the end of the surge",
    text:find("ev=workspace%-surging workspace=exams service=portal") and text:find("ev=workspace%-calm workspace=exams"))
  fleet.expect(p.name .. ": no line for the steady workspace", not text:find("ev=workspace%-surging workspace=kett"))
end
g:stop()
