-- Promise: a returning chat finds its cached prefix although its agent was restarted,
-- and is not sent where it was evicted; events of the engine that come late, twice or
-- not at all make no answer wrong.
local fleet = require("fleet")
local f = fleet.new{entries = 2, engines = 3, engine_args = {1, 50}, agent = "cache_events_ms = 50",
  policy = "floor_tokens = 1000000"}
f:start()

local long = string.rep("a long agreement ", 60)
local turn = 0
local function ask(chat)
  turn = turn + 1
  local o = {text = "turn " .. turn, chat = chat, history = {long .. chat}, max_tokens = 2, entry = f.entries[turn % 2 + 1]}
  local r = f:ask(o)
  fleet.expect("an answer: " .. tostring(r.body), fleet.is_answer(r, o))
  return r["Peatwell-Target"], tonumber(r["Peatwell-Cached-Tokens"]) or 0
end
local function agent(target)
  for _, a in ipairs(f.agents) do
    if a.target == target then return a end
  end
end
local function drain(target, how) fleet.equal("drain", select(2, f:peatwell("drain " .. target .. how .. " --wait")), 0) end
local function evict(target)
  local a = agent(target)
  local before = a:counter("cache_events_total")
  a.engine:fault("evict=1")
  fleet.eventually("its agent knows", function() return a:counter("cache_events_total") > before end)
end
local function sum(name)
  local n = 0
  for _, a in ipairs(f.agents) do n = n + a:counter(name) end
  return n
end

-- Chats that are served away from home leave a pointer there. The agent that has them
-- is killed and knows nothing when it is back, but for what its engine tells.
local home, cached = ask("c1")
drain(home, "")
local away = ask("c1")
fleet.expect("elsewhere", away ~= home)
_, cached = ask("c1")
fleet.expect("cached there", cached > 200)
evict(home)
drain(home, " off")
local a = agent(away)
a:kill()
a:start()
f:wait_ready(a)
fleet.eventually("it has heard its engine", function() return a:counter("cache_events_total") > 0 end)
local where
where, cached = ask("c1")
fleet.equal("the chat is found where its cache is", where, away)
fleet.expect("cached there still", cached > 200)

-- Evicted, and told: nobody waits for the prefix there, the chat goes home.
evict(away)
local wrong = sum("cache_wrong_total")
where = ask("c1")
fleet.equal("it goes home", where, home)
fleet.equal("no prefix was believed cached that was not", sum("cache_wrong_total"), wrong)

-- Evicted, and not told: the answer is right all the same; the gap is seen at the next event.
for _, e in ipairs(f.engines) do e:fault("events_late_ms=60000") end
for i = 1, 6 do ask("late-" .. i) end
for _, e in ipairs(f.engines) do e:fault("evict=1") end
for i = 1, 6 do ask("late-" .. i) end
fleet.expect("some prefixes were believed cached", sum("cache_wrong_total") > wrong)
local gaps = sum("cache_gaps_total")
for _, e in ipairs(f.engines) do e:fault("events_late_ms=0&events_lose=2") end
for i = 1, 6 do ask("gap-" .. i) end
for i = 1, 6 do ask("gap-" .. i) end
fleet.eventually("gaps are seen", function() return sum("cache_gaps_total") > gaps end)

-- An engine that does not speak of events is as it was.
for _, e in ipairs(f.engines) do e:fault("events_off=1") end
for i = 1, 6 do ask("gap-" .. i) end
f:stop()
