-- Guards against recomputing a cached prefix that could be moved, and against wrong answers after a move. The
-- target of a chat is busy during the chat's second turn: another target takes over the cached prefix when
-- that is cheaper than waiting or computing. With engines that export nothing, the prompt is computed.
local fleet = require("fleet")
local f = fleet.new{entries = 2, engines = 3, agent = 'slots = 1\nkv_cache = "moves"', engine_args = {20, 5},
  policy = "reuse_worth = 0\nfloor_tokens = 1000000"}
f:start()

local long = string.rep("a long agreement ", 60)
local function sum(field)
  local n = 0
  for _, e in ipairs(f.engines) do n = n + (e:stats()[field] or 0) end
  return n
end
-- Runs a chat of two turns, the second while the target of the first one is busy; returns the cached tokens
-- of the second turn.
local function second_turn(chat)
  local first = {text = long .. chat, chat = chat, max_tokens = 2}
  local r = f:ask(first)
  fleet.expect("the first turn", fleet.is_answer(r, first))
  local busy = {text = "busy", chat = chat, history = {first.text}, stream = true, max_tokens = 60}
  local h = run.http_start(f:chat(busy))
  fleet.eventually("the target of the chat is busy", function() return sum("active") == 1 end)
  local o = {text = "and then", chat = chat, history = {first.text}, max_tokens = 2, entry = f.entries[2]}
  local second = f:ask(o)
  fleet.expect("the second turn", fleet.is_answer(second, o))
  fleet.expect("the stream", fleet.is_answer(run.http_wait(h), busy))
  fleet.expect("the second turn runs at another target", second["Peatwell-Target"] ~= r["Peatwell-Target"])
  return tonumber(second["Peatwell-Cached-Tokens"]) or 0
end

fleet.expect("most of the prompt was moved", second_turn("c1") > 200)
fleet.equal("prefixes taken over", sum("imports"), 1)
fleet.expect("the moved tokens are counted", f.agents[1]:counter("kv_moved_tokens_total") +
  f.agents[2]:counter("kv_moved_tokens_total") + f.agents[3]:counter("kv_moved_tokens_total") > 200)

-- Engines that export nothing: the prompt is computed.
for _, e in ipairs(f.engines) do e:fault("no_export=1") end
fleet.equal("tokens cached without exports", second_turn("c2"), 0)
fleet.equal("prefixes taken over without exports", sum("imports"), 1)
f:stop()
