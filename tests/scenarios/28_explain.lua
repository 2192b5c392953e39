-- Guards against failures that the log lines do not explain. Requests fail in several ways: for each one
-- `peatwell trace` must show, from the request's id and the logs alone, a line that names the cause.
local fleet = require("fleet")
local gateways = require("gateways")
local g = gateways.new{control = 3, gateways = 2, engines = 2, portals = 2, text = "log_bytes_per_s = 200000"}
g:start()
g:wait_budgets()

local function logs()
  local out = {}
  for _, list in ipairs{g.gateways, g.control} do
    for _, p in ipairs(list) do out[#out + 1] = p.log end
  end
  return table.concat(out, " ")
end
local function trace(id, files)
  local f = io.popen(run.bin .. "/peatwell trace " .. id .. " " .. (files or logs()) .. " 2>&1")
  local text = f:read("a")
  local _, _, code = f:close()
  return text, code
end
local function wait_explained(what, id, pattern)
  local text
  fleet.eventually(what .. " is explained", function()
    text = trace(id)
    return text:find(pattern)
  end, 5000)
  return text
end

-- An answer is cut because its target closes the connection.
for _, name in ipairs{"engine-1", "engine-2"} do g[name]:fault("cut=1") end
local r = g:ask{path = "/chat/x", events = 10, body = "q"}
fleet.expect("the answer is cut", not r.whole)
local cut = wait_explained("the cut", r.id, "broken%-off req=" .. r.id .. " .*target=i%-engine%-%d why=\"the target closed\" last=2")
fleet.expect("the trace shows where it was sent", cut:find("placed req=" .. r.id .. " .*target=i%-engine"))
for _, name in ipairs{"engine-1", "engine-2"} do g[name]:fault("cut=0") end

-- Time by route and stage, read at the address that serves metrics alone.
local stages = run.http{url = "http://" .. g.gateways[1].metrics, path = "/metrics", timeout = 5}.body
for _, stage in ipairs{"queue", "first"} do
  local series = '\npeatwell_gateway_stage_seconds_count{route="chat",stage="' .. stage .. '"} 1\n'
  fleet.expect("the stage " .. stage, stages:find(series, 1, true))
end
fleet.expect("this address serves metrics only", run.http{url = "http://" .. g.gateways[1].metrics, path = "/", timeout = 5}.status == 404)

-- Targets refuse a request under load.
for _, name in ipairs{"portal-1", "portal-2"} do g[name]:fault("refuse=10") end
r = g:ask{path = "/once/a", body = "x"}
fleet.equal("refused", r.status, 503)
fleet.expect("Retry-After is set", tonumber(r["Retry-After"]))
local busy = wait_explained("the refusal", r.id, "refused req=" .. r.id .. " .*code=2001 name=busy")
fleet.expect("both targets refused: " .. busy, select(2, busy:gsub("retried", "")) == 2)
for _, name in ipairs{"portal-1", "portal-2"} do g[name]:fault("refuse=0") end

-- A request after its route was removed: the trace shows the configuration in force.
g:wait_in_force(g:publish(g:config(function(s) table.remove(s.routes, 3) end)))
r = g:ask{path = "/once/a"}
fleet.equal("no route", r.status, 404)
local missing = wait_explained("the missing route", r.id, "refused req=" .. r.id .. " .*code=1012 name=no%-route")
fleet.expect("the configuration in force: " .. missing, missing:find("configuration version=2"))

-- Every failure of a run with several faults.
local failed = {}
for i = 1, 60 do
  local faults = {"cut=1", "reset=1", "error=1", "refuse=1"}
  g[i % 2 == 0 and "engine-1" or "portal-1"]:fault(faults[i % 4 + 1])
  local o = i % 2 == 0 and {path = "/chat/x", events = 5, body = "q"} or {path = "/safe/a", method = "GET"}
  r = g:ask(o)
  if not r.whole or r.status ~= 200 then failed[#failed + 1] = r.id end
end
fleet.expect("some failed", #failed > 0)
for _, id in ipairs(failed) do
  wait_explained("request " .. id, id, "\n?[^\n]*%* [^\n]*req=" .. id)
  local text = trace(id)
  fleet.expect("the trace names a cause: " .. text, text:find("why=") or text:find("status=500"))
end

local text, code = trace("nobody")
fleet.equal("an unknown id", code, 1)
fleet.expect("the output says that the id is unknown", text:find("no line of request nobody"))

-- The worked examples of docs/OPERATIONS.md.
for _, name in ipairs{"cut", "refused", "restart"} do
  local log = "tests/fixtures/trace-" .. name .. ".log"
  local want = fleet.read("tests/fixtures/trace-" .. name .. ".txt")
  local id = want:match("req=(%S+)")
  fleet.equal("worked example " .. name, (trace(id, log)), want)
end
g:stop()
