-- Guards against hanging requests that cannot be located: `peatwell requests` has to name, from a request's
-- id and over all gateways, the target at which it hangs.
local fleet = require("fleet")
local gateways = require("gateways")
local g = gateways.new{control = 1, gateways = 3, engines = 2, portals = 0}
g:start()
for _, t in ipairs(g.targets) do t:fault("gap=60000") end
local id
for i, p in ipairs(g.gateways) do
  local c, one = g:call{path = "/chat/a", events = 2, gateway = p, deadline = 60000, id = "hung-" .. i}
  run.http_start(c)
  if i == 2 then id = one end
end
local addresses = {}
for i, p in ipairs(g.gateways) do addresses[i] = p.metrics end
local function requests(words)
  local f = io.popen(run.bin .. "/peatwell requests " .. words .. " 2>&1; echo rc=$?")
  local text = f:read("a")
  f:close()
  return text, tonumber(text:match("rc=(%d+)"))
end
local all = table.concat(addresses, " ")
fleet.eventually("all three requests are at a target", function()
  local text = requests(all)
  local _, n = text:gsub(" hung%-%d", "")
  return n == 3 and not text:find("connecting")
end)
local text, code = requests("--request " .. id .. " " .. all)
fleet.equal("found: " .. text, code, 0)
local target, gateway = text:match("hung%-2 +(i%-%S+) +%S+ +(%S+)")
fleet.equal("the gateway", gateway, g.gateways[2].metrics)
local runs = 0
for _, t in ipairs(g.targets) do runs = runs + (target == "i-" .. t.name and t:stats().most or 0) end
fleet.expect("that target has the request: " .. tostring(target), runs > 0)
fleet.expect("no other request is shown: " .. text, not text:find("hung%-1"))
text, code = requests("-o json --target " .. target .. " " .. all)
fleet.equal("exit code with JSON output", code, 0)
fleet.equal("gateways in the JSON output", #run.json((text:gsub("rc=.*", ""))), 3)
text, code = requests("--request nobody " .. all)
fleet.equal("exit code for an unknown id", code, 1)
text, code = requests("127.0.0.1:1")
fleet.equal("exit code when no gateway answers: " .. text, code, 1)
_, code = requests("")
fleet.equal("exit code without a gateway", code, 2)
g:stop()
