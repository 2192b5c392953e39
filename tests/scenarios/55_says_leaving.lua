-- Promise: a target that says in an answer that it leaves gets nothing more from the gateway that passed
-- that answer on, whatever its heartbeats say before or after; its next start is another target.
--
-- What happened: targets that leave say so in all their answers, up to seconds before control hears of
-- it, and some never say it to control. Gateways read heartbeats alone:
--   ev=placed target=i-portal-1 n=1      after an answer with the line "Server-Leaving: 1"
local fleet = require("fleet")
local gateways = require("gateways")
local g = gateways.new{control = 1, gateways = 2, engines = 2, portals = 2}
g:start()
local one, two = g.gateways[1], g.gateways[2]

local function ask(gateway, path)
  if path == "/again/x" then return g:ask{path = path, events = 3, body = "q", gateway = gateway} end
  return g:ask{path = path, body = "x", gateway = gateway}
end
local function serves(gateway, t, path)
  fleet.eventually(t.name .. " is used by " .. gateway.name, function()
    local before = t:stats().total
    for _ = 1, 12 do fleet.equal("served", ask(gateway, path).status, 200) end
    return t:stats().total > before
  end)
end
-- With `last` nobody is left then.
local function hears(gateway, t, path, last)
  local line = "ev=target%-says%-leaving target=i%-" .. t.name:gsub("%-", "%%-")
  local before = fleet.lines(gateway, line)
  fleet.eventually(gateway.name .. " hears it from " .. t.name, function()
    local status = ask(gateway, path).status
    fleet.expect("served: " .. status, status == 200 or last and status == 503)
    return fleet.lines(gateway, line) > before
  end)
end

for _, c in ipairs{{"portal-1", "/once/a"}, {"portal-2", "/safe/a"}, {"engine-1", "/again/x"}} do
  local t, path = g[c[1]], c[2]
  t:fault("says_leaving=1")
  hears(one, t, path)
  -- Its heartbeats go on saying that it is ready, and it takes it back: the start has said it once.
  t:fault("says_leaving=0")
  local had, beats = t:stats().arrivals, t:stats().acked
  fleet.eventually("more heartbeats", function() return t:stats().acked > beats + 3 end)
  for i = 1, 30 do fleet.equal("served by the other " .. i, ask(one, path).status, 200) end
  fleet.equal(t.name .. ": requests that reached it", t:stats().arrivals, had)
  serves(two, t, path) -- which it has told nothing
  t:kill()
  t:start()
  for _, p in ipairs(g.gateways) do serves(p, t, path) end
end

-- A target that turns requests away as it leaves: they go on elsewhere.
local t = g["portal-1"]
t:fault("refuse=1")
t:fault("says_leaving=1")
hears(one, t, "/once/a")
local had = t:stats().arrivals
for i = 1, 30 do fleet.equal("served by the other " .. i, ask(one, "/once/a").status, 200) end
fleet.equal("requests that reached it", t:stats().arrivals, had)

-- All leave: callers are told at once.
local other = g["portal-2"]
other:fault("says_leaving=1")
hears(one, other, "/once/a", true)
had = g:sum("portal", "arrivals")
for _ = 1, 5 do
  local r = ask(one, "/once/a")
  fleet.equal("refused", r.status, 503)
  fleet.equal("why", run.json(r.body).error.name, "no-target")
end
fleet.equal("requests that reached any", g:sum("portal", "arrivals"), had)
g:stop()
