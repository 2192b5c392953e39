-- Promise: a target that asks to be left alone for some seconds gets nothing from who it has asked, and
-- is used again when they are over. Who asks meanwhile is served by the others, or told at once when to
-- come back.
--
-- What happened: five of 18 targets refused by proof (503, X-Not-Executed) and asked for 3 s without
-- requests. Nobody read that, and a refusal left no trace: a target that refuses has little to do, so it
-- drew the most. Of one gateway's lines:
--   ev=retried target=i-3165 why="not run there"      21 times in 3 s
--   ev=placed target=i-3165 load=2+0 n=1              while the others had load=3+4
-- 19 requests reached it from that gateway in the time that it had asked for; 53 callers were told
-- "the target refused it" in the lines kept, while 13 targets were free.
local fleet = require("fleet")
local gateways = require("gateways")
local LONG = "600" -- s: longer than this takes
local g = gateways.new{control = 1, gateways = 2, engines = 2, portals = 3}
g:start()
local one, two = g.gateways[1], g.gateways[2]
local portals = {g["portal-1"], g["portal-2"], g["portal-3"]}
local shy = portals[1]

local function hold_off(t, text, n, fault)
  t:get("/hold_off?" .. text)
  t:fault((fault or "shed") .. "=" .. (n or 1))
end
local function call(gateway, path)
  if path == "/again/x" then return {path = path, events = 3, body = "q", gateway = gateway} end
  return {path = path or "/once/a", body = "x", gateway = gateway}
end
local function ask(gateway, path) return g:ask(call(gateway, path)) end
-- Asked all at once, and each takes a while, so that one target is not enough: one after the other
-- may all go to the one that answers a little faster. Gives the answers.
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
-- Asks until the target has turned one away; gives how many requests it had by then.
local function until_shed(gateway, t, path)
  local line = "ev=turned%-away [^\n]*target=i%-" .. t.name:gsub("%-", "%%-")
  local before = fleet.lines(gateway, line)
  fleet.eventually(t.name .. " turns one away", function()
    for _, r in ipairs(ask_at_once(gateway, t, path)) do
      fleet.equal("it is served by another", r.status, 200)
    end
    return fleet.lines(gateway, line) > before
  end)
  return t:stats().arrivals
end
-- A target's next start knows nothing of before, nor is anything of before held against it.
local function again(t)
  t:kill()
  t:start()
  for _, p in ipairs(g.gateways) do serves(p, t, t.service == "llm" and "/again/x" or nil) end
end

-- It is left alone by the one that it has asked, also by calls that may be repeated.
hold_off(shy, LONG)
local had = until_shed(one, shy)
for i = 1, 60 do
  fleet.equal("served by the others " .. i, ask(one, i % 2 == 0 and "/safe/a" or nil).status, 200)
end
fleet.equal("requests that reached it", shy:stats().arrivals, had)
serves(two, shy) -- it has asked nothing of this one
again(shy)

-- The same of a stream.
hold_off(g["engine-1"], LONG)
had = until_shed(one, g["engine-1"], "/again/x")
for i = 1, 30 do
  fleet.expect("a whole stream " .. i, gateways.is_stream(ask(one, "/again/x"), 3))
end
fleet.equal("streams that reached it", g["engine-1"]:stats().arrivals, had)
again(g["engine-1"])

-- When its time is over it is used again, fractions included.
hold_off(shy, "0.2")
until_shed(one, shy)
serves(one, shy)

-- A wish stands also beside a run, and beside one that came before it and was longer.
hold_off(shy, LONG, 1, "shed_ran")
fleet.eventually("one has run", function()
  local ran = false
  for _, r in ipairs(ask_at_once(one, shy)) do
    if r.status ~= 200 then fleet.equal("it has run: no promise that it has not", r.status, 502) end
    ran = ran or r.status ~= 200
  end
  return ran
end)
had = shy:stats().arrivals
for _ = 1, 40 do fleet.equal("served by the others", ask(one).status, 200) end
fleet.equal("requests that reached it", shy:stats().arrivals, had)
again(shy)

-- What is no number of seconds asks for nothing, nor does an answer of success.
for _, text in ipairs{"0", "-5", "soon", "Wed,+21+Oct+2026+07:28:00+GMT"} do
  hold_off(shy, text)
  until_shed(one, shy)
  serves(one, shy)
end
hold_off(shy, LONG, 1000, "hint")
serves(one, shy)
serves(one, shy)
shy:fault("hint=0")

-- All ask for it: callers are told at once, with a promise that is true, when the first may be asked again.
for _, t in ipairs(portals) do hold_off(t, t == portals[2] and "300" or LONG, 1000) end
local told
fleet.eventually("nobody is left to ask", function()
  local r = ask(one)
  fleet.equal("refused", r.status, 503)
  told = run.json(r.body).error.name == "held-off" and tonumber(r["Retry-After"])
  return told
end)
fleet.expect("told when to come back: " .. told, told > 200 and told <= 301)
had = g:sum("portal", "arrivals")
for _ = 1, 10 do
  fleet.equal("refused", ask(one).status, 503)
end
fleet.equal("requests that reached any", g:sum("portal", "arrivals"), had)
for _, t in ipairs(portals) do again(t) end
fleet.expect("counted", one:counter("target_hold_offs_total") >= 5)
g:stop()
