-- Guards against requests sent to a target that has said in an answer that it is leaving. The gateway that
-- forwarded this answer sends it nothing more, whatever its heartbeats say before or after; a new start of
-- the target is another incarnation.
--
-- Targets that are leaving say so in all their answers, up to seconds before control learns it, and some
-- never tell control. Gateways read heartbeats alone:
--   ev=placed target=i-portal-1 n=1 (after an answer with the line "Server-Leaving: 1")
local fleet = require("fleet")
local gateways = require("gateways")
local g = gateways.new{control = 1, gateways = 2, engines = 2, portals = 2}
g:start()
local first_gateway, second_gateway = g.gateways[1], g.gateways[2]

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
-- With `last` no target is left after this one, and requests may be refused.
local function wait_learned(gateway, t, path, last)
  local line = "ev=target%-says%-leaving target=i%-" .. t.name:gsub("%-", "%%-")
  local before = fleet.lines(gateway, line)
  fleet.eventually(gateway.name .. " learns that it is leaving: " .. t.name, function()
    local status = ask(gateway, path).status
    fleet.expect("served: " .. status, status == 200 or last and status == 503)
    return fleet.lines(gateway, line) > before
  end)
end

for _, c in ipairs{{"portal-1", "/once/a"}, {"portal-2", "/safe/a"}, {"engine-1", "/again/x"}} do
  local t, path = g[c[1]], c[2]
  t:fault("says_leaving=1")
  wait_learned(first_gateway, t, path)
  -- The target's heartbeats still report it as ready, and its answers no longer say that it is leaving: one
  -- answer of this incarnation is enough.
  t:fault("says_leaving=0")
  local received, beats = t:stats().arrivals, t:stats().acked
  fleet.eventually("the target has sent more heartbeats", function() return t:stats().acked > beats + 3 end)
  for i = 1, 30 do fleet.equal("status at the other target " .. i, ask(first_gateway, path).status, 200) end
  fleet.equal(t.name .. ": requests that reached the target", t:stats().arrivals, received)
  serves(second_gateway, t, path) -- the target has told this gateway nothing
  t:kill()
  t:start()
  for _, p in ipairs(g.gateways) do serves(p, t, path) end
end

-- A target that refuses requests while it leaves: they are served by another one.
local t = g["portal-1"]
t:fault("refuse=1")
t:fault("says_leaving=1")
wait_learned(first_gateway, t, "/once/a")
local received = t:stats().arrivals
for i = 1, 30 do fleet.equal("status at the other target " .. i, ask(first_gateway, "/once/a").status, 200) end
fleet.equal("requests that reached the target", t:stats().arrivals, received)

-- All targets are leaving: callers are refused at once.
local other = g["portal-2"]
other:fault("says_leaving=1")
wait_learned(first_gateway, other, "/once/a", true)
received = g:sum("portal", "arrivals")
for _ = 1, 5 do
  local r = ask(first_gateway, "/once/a")
  fleet.equal("refused", r.status, 503)
  fleet.equal("error name", run.json(r.body).error.name, "no-target")
end
fleet.equal("requests that reached any target", g:sum("portal", "arrivals"), received)
g:stop()
