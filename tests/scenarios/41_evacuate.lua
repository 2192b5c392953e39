-- Guards against new requests in an evacuated availability zone, at any gateway and after a loss of all
-- control instances. Streams in flight there end complete, and the evacuation ends only by an order.
local fleet = require("fleet")
local gateways = require("gateways")
local zones = {["engine-1"] = "az-1", ["engine-2"] = "az-2", ["engine-3"] = "az-2", ["portal-1"] = "az-1", ["portal-2"] = "az-2"}
local g = gateways.new{control = 3, gateways = 2, engines = 3, portals = 2, zones = zones}
g:start()

local function peatwell(words) return g:peatwell(words) end
local function in_force(list)
  for _, p in ipairs(g.gateways) do
    fleet.eventually(p.name .. " knows the evacuated availability zones " .. list, function()
      return fleet.read(p.log):match(".*ev=evacuated availability_zones=(%S+)") == list
    end)
  end
end
local function arrivals(zone)
  local n = 0
  for _, t in ipairs(g.targets) do
    if zones[t.name] == zone then n = n + t:stats().arrivals end
  end
  return n
end
local function ask_many(n)
  local served = 0
  for i = 1, n do
    local path = i % 2 == 0 and "/chat/a" or "/safe/a"
    local gateway = g.gateways[i % #g.gateways + 1]
    local r = i % 2 == 0 and g:ask{path = path, events = 2, gateway = gateway} or
      g:ask{path = path, method = "GET", gateway = gateway}
    if r.status == 200 then served = served + 1 end
  end
  return served
end

-- Streams run in the availability zone when it is evacuated.
for _, t in ipairs(g.targets) do t:fault("gap=400") end
local streams = {}
for i = 1, 6 do
  local c, id = g:call{path = "/chat/long", events = 6, gateway = g.gateways[i % 2 + 1], deadline = 20000}
  streams[i] = {run.http_start(c), id}
end
fleet.eventually("streams run in az-2", function() return g["engine-2"]:stats().total + g["engine-3"]:stats().total > 0 end)

fleet.equal("the platform's order is taken", g:control_call(g.control[1], "POST", "/evacuate/az-2").status, 200)
fleet.equal("the same order at another control instance", g:control_call(g.control[2], "POST", "/evacuate/az-2").status, 200)
in_force("az-2")
for _, t in ipairs(g.targets) do t:fault("gap=0") end
local before = arrivals("az-2")
fleet.equal("served requests", ask_many(40), 40)
fleet.equal("arrivals in the evacuated availability zone", arrivals("az-2"), before)
for i, s in ipairs(streams) do
  local r = run.http_wait(s[1])
  r.id = s[2]
  fleet.expect("stream " .. i .. " is complete", gateways.is_stream(r, 6))
end
local text = peatwell("status")
fleet.expect("status shows the evacuation: " .. text, text:find("evacuated: az%-2"))

-- All control instances are killed at once and restarted.
for _, c in ipairs(g.control) do c:kill() end
for _, c in ipairs(g.control) do c:start() end
g:wait_ready()
local code
fleet.eventually("az-2 is still evacuated after the restart", function()
  text = peatwell("get evacuation")
  return text:find("az%-2")
end)
before = arrivals("az-2")
fleet.equal("served requests", ask_many(20), 20)
fleet.equal("arrivals in the evacuated availability zone", arrivals("az-2"), before)

-- A gateway that is restarted sends nothing there either.
g.gateways[1]:kill()
g.gateways[1]:start()
g:wait_ready()
fleet.equal("served requests", ask_many(20), 20)
fleet.equal("arrivals in the evacuated availability zone", arrivals("az-2"), before)

-- Both availability zones are evacuated: nothing can be sent anywhere, and callers are refused at once.
text, code = peatwell("evacuate az-1")
fleet.equal("exit code of evacuate: " .. text, code, 0)
in_force("az-2,az-1")
local r = g:ask{path = "/safe/a", method = "GET"}
fleet.equal("refused", r.status, 503)
fleet.equal("code while both availability zones are evacuated", r["Peatwell-Code"], "2005")

-- The evacuations are ended by the command line and by the platform, and once more.
text, code = peatwell("evacuate az-1 --end")
fleet.equal("exit code of evacuate --end: " .. text, code, 0)
fleet.equal("evacuation of the other one ended by the platform", g:control_call(g.control[3], "DELETE", "/evacuate/az-2").status, 200)
fleet.equal("ended again by the platform", g:control_call(g.control[3], "DELETE", "/evacuate/az-2").status, 200)
text, code = peatwell("evacuate az-2 --end")
fleet.equal("ended again by the command line: " .. text, code, 0)
in_force("-")
for _, t in ipairs(g.targets) do t:fault("gap=50") end
fleet.eventually("requests go there again", function()
  local calls = {}
  for i = 1, 12 do calls[i] = run.http_start((g:call{path = "/chat/b", events = 5, gateway = g.gateways[i % 2 + 1]})) end
  for _, c in ipairs(calls) do fleet.equal("served", run.http_wait(c).status, 200) end
  return arrivals("az-2") > before
end)

-- Names that are not known as availability zones are refused; known are those that the settings list and
-- those of targets.
for _, c in ipairs(g.control) do c:kill() end
for _, c in ipairs(g.control) do
  fleet.write(c.settings, (fleet.read(c.settings):gsub("%[control%]", '[control]\navailability_zones = ["az-9"]')))
  c:start()
end
fleet.eventually("an availability zone of the settings is accepted", function() return peatwell("evacuate az-9"):find("rc=0") end)
fleet.eventually("an availability zone of targets is accepted", function() return peatwell("evacuate az-1"):find("rc=0") end)
fleet.eventually("heartbeats arrive from az-2", function() return peatwell("status"):find("az%-2") end)
text, code = peatwell("evacuate nowhere")
fleet.expect("an unknown one is refused: " .. text, code == 1 and text:find("4013"))
fleet.equal("status for the platform", g:control_call(g.control[1], "POST", "/evacuate/nowhere").status, 422)
g:stop()
