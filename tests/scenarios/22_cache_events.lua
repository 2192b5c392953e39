-- Guards against chats that lose their cached prefix because an agent restarts, and against chats sent to a
-- target that has evicted the prefix. Agents learn from the engine's cache events what is cached; events that
-- are late, repeated or lost must make no answer wrong.
local fleet = require("fleet")
local f = fleet.new{entries = 2, engines = 3, engine_args = {1, 50}, agent = "cache_events_ms = 50",
  policy = "floor_tokens = 1000000"}
f:start()

local long = string.rep("a long agreement ", 60)
local count = 0
local function ask(chat)
  count = count + 1
  local o = {text = "turn " .. count, chat = chat, history = {long .. chat}, max_tokens = 2, entry = f.entries[count % 2 + 1]}
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
  fleet.eventually("the agent has received the event", function() return a:counter("cache_events_total") > before end)
end
local function sum(name)
  local n = 0
  for _, a in ipairs(f.agents) do n = n + a:counter(name) end
  return n
end

-- Chats served at a target other than their home target leave a pointer there. The agent of that target is
-- killed; after its restart it knows only what its engine reports.
local home, cached = ask("c1")
drain(home, "")
local away = ask("c1")
fleet.expect("the chat runs at another target", away ~= home)
_, cached = ask("c1")
fleet.expect("cached there", cached > 200)
evict(home)
drain(home, " off")
local a = agent(away)
a:kill()
a:start()
f:wait_ready(a)
fleet.eventually("the agent has received its engine's events", function() return a:counter("cache_events_total") > 0 end)
local target
target, cached = ask("c1")
fleet.equal("the chat is found where its cache is", target, away)
fleet.expect("still cached there", cached > 200)

-- The engine evicts the prefix and reports it: no request waits for the prefix there, and the chat returns to
-- its home target.
evict(away)
local wrong = sum("cache_wrong_total")
target = ask("c1")
fleet.equal("the chat's target after the eviction", target, home)
fleet.equal("prefixes wrongly believed cached", sum("cache_wrong_total"), wrong)

-- The engine evicts prefixes without reporting it: the answers are still right, and the gap is detected at
-- the next event.
for _, e in ipairs(f.engines) do e:fault("events_late_ms=60000") end
for i = 1, 6 do ask("late-" .. i) end
for _, e in ipairs(f.engines) do e:fault("evict=1") end
for i = 1, 6 do ask("late-" .. i) end
fleet.expect("some prefixes were wrongly believed cached", sum("cache_wrong_total") > wrong)
local gaps = sum("cache_gaps_total")
for _, e in ipairs(f.engines) do e:fault("events_late_ms=0&events_lose=2") end
for i = 1, 6 do ask("gap-" .. i) end
for i = 1, 6 do ask("gap-" .. i) end
fleet.eventually("gaps are detected", function() return sum("cache_gaps_total") > gaps end)

-- An engine without cache events is served as before.
for _, e in ipairs(f.engines) do e:fault("events_off=1") end
for i = 1, 6 do ask("gap-" .. i) end
f:stop()
