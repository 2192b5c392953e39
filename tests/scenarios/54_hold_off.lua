-- Guards against requests sent to a target that asked for a pause (hold-off). The gateway that got the
-- refusal sends it nothing until the pause is over, and then uses it again. Requests in the meantime are
-- served by other targets, or refused at once with the time to retry.
--
-- Five of 18 targets refused requests with proof that nothing ran (503, X-Not-Executed) and asked for 3 s
-- without requests. Gateways did not read that; since a target that refuses has little load, it got the most
-- requests:
--   ev=retried target=i-3165 why="not run there" (21 times in 3 s)
--   ev=placed target=i-3165 load=2+0 n=1 (while the others had load=3+4)
-- 19 requests reached this target from one gateway during its pause; 53 callers were told "the target refused
-- it" while 13 targets were free.
local fleet = require("fleet")
local gateways = require("gateways")
local LONG = "600" -- seconds; longer than the scenario runs
local g = gateways.new{control = 1, gateways = 2, engines = 2, portals = 3}
g:start()
g:wait_budgets()
local first_gateway, second_gateway = g.gateways[1], g.gateways[2]
local portals = {g["portal-1"], g["portal-2"], g["portal-3"]}
local pausing = portals[1]

local function hold_off(t, text, n, fault)
  t:get("/hold_off?" .. text)
  t:fault((fault or "shed") .. "=" .. (n or 1))
end
local function call(gateway, path)
  if path == "/again/x" then return {path = path, events = 3, body = "q", gateway = gateway} end
  return {path = path or "/once/a", body = "x", gateway = gateway}
end
local function ask(gateway, path) return g:ask(call(gateway, path)) end
-- Sends 12 requests at once and returns the answers. Each takes a while, so that one target is not enough:
-- requests in sequence may all go to the target that answers a little faster.
local function ask_at_once(gateway, t, path)
  for _, other in ipairs(g.targets) do
    if other.service == t.service then
      other:fault("delay=20")
      other:fault("gap=20")
    end
  end
  local calls, answers = {}, {}
  for i = 1, 12 do calls[i] = run.http_start((g:call(call(gateway, path)))) end
  for i, c in ipairs(calls) do answers[i] = run.http_wait(c) end
  return answers
end
local function serves(gateway, t, path)
  fleet.eventually(t.name .. " is used by " .. gateway.name, function()
    local before = t:stats().total
    ask_at_once(gateway, t, path)
    return t:stats().total > before
  end)
end
-- Sends requests until the target has refused one; returns how many requests it had received by then.
local function until_refused(gateway, t, path)
  local line = "ev=turned%-away [^\n]*target=i%-" .. t.name:gsub("%-", "%%-")
  local before = fleet.lines(gateway, line)
  fleet.eventually(t.name .. " refuses one", function()
    for _, r in ipairs(ask_at_once(gateway, t, path)) do
      fleet.equal("status at another target", r.status, 200)
    end
    return fleet.lines(gateway, line) > before
  end)
  return t:stats().arrivals
end
-- Restarts a target. The new incarnation has asked for nothing, and no hold-off of the earlier one applies to
-- it.
local function restart(t)
  t:kill()
  t:start()
  for _, p in ipairs(g.gateways) do serves(p, t, t.service == "llm" and "/again/x" or nil) end
end

-- The gateway that the target asked sends it nothing, also no calls that may be repeated.
hold_off(pausing, LONG)
local received = until_refused(first_gateway, pausing)
for i = 1, 60 do
  fleet.equal("status at the other targets " .. i, ask(first_gateway, i % 2 == 0 and "/safe/a" or nil).status, 200)
end
fleet.equal("requests that reached the target", pausing:stats().arrivals, received)
serves(second_gateway, pausing) -- the target has asked this gateway for nothing
restart(pausing)

-- The same for streams.
hold_off(g["engine-1"], LONG)
received = until_refused(first_gateway, g["engine-1"], "/again/x")
for i = 1, 30 do
  fleet.expect("a complete stream " .. i, gateways.is_stream(ask(first_gateway, "/again/x"), 3))
end
fleet.equal("streams that reached the target", g["engine-1"]:stats().arrivals, received)
restart(g["engine-1"])

-- When the hold-off is over the target is used again; fractions of a second count.
hold_off(pausing, "0.2")
until_refused(first_gateway, pausing)
serves(first_gateway, pausing)

-- A hold-off is also accepted from an answer of a request that has run, and is not shortened by a later one.
hold_off(pausing, LONG, 1, "shed_ran")
fleet.eventually("one request has run at the target", function()
  local ran = false
  for _, r in ipairs(ask_at_once(first_gateway, pausing)) do
    if r.status ~= 200 then fleet.equal("status of a request that has run", r.status, 502) end
    ran = ran or r.status ~= 200
  end
  return ran
end)
received = pausing:stats().arrivals
for _ = 1, 40 do fleet.equal("status at the other targets", ask(first_gateway).status, 200) end
fleet.equal("requests that reached the target", pausing:stats().arrivals, received)
restart(pausing)

-- A value that is no number of seconds is no hold-off, nor is a Retry-After in a successful answer.
for _, text in ipairs{"0", "-5", "soon", "Wed,+21+Oct+2026+07:28:00+GMT"} do
  hold_off(pausing, text)
  until_refused(first_gateway, pausing)
  serves(first_gateway, pausing)
end
hold_off(pausing, LONG, 1000, "hint")
serves(first_gateway, pausing)
serves(first_gateway, pausing)
pausing:fault("hint=0")

-- All targets ask for a hold-off: callers are refused at once and told when the first one may be used again.
for _, t in ipairs(portals) do hold_off(t, t == portals[2] and "300" or LONG, 1000) end
local retry_after
fleet.eventually("no target is left", function()
  local r = ask(first_gateway)
  fleet.equal("refused", r.status, 503)
  retry_after = run.json(r.body).error.name == "held-off" and tonumber(r["Retry-After"])
  return retry_after
end)
fleet.expect("told when to retry: " .. retry_after, retry_after > 200 and retry_after <= 301)
received = g:sum("portal", "arrivals")
for _ = 1, 10 do
  fleet.equal("refused", ask(first_gateway).status, 503)
end
fleet.equal("requests that reached any target", g:sum("portal", "arrivals"), received)
for _, t in ipairs(portals) do restart(t) end
fleet.expect("hold-offs are counted", first_gateway:counter("target_hold_offs_total") >= 5)
g:stop()
