-- Guards against the fault of 85_broken_off_parts on the way over agents: engines that break off answers, and run on, are
-- taken for crashed ones, and conversations that share a message are refused for it.
--
-- Here: each answer to conversations that share a message is broken off once and resumed at its engine, which shows that
-- the engine runs; none is refused.
local fleet = require("fleet")
local ROUNDS = 8 -- more than the crashes for which a message is refused
local f = fleet.new{control = 1, entries = 2, engines = 3}
f:start()

local function ask(history, i)
  return f:ask{entry = f.entries[i % 2 + 1], history = history, text = "question " .. i}
end
local function broken_off()
  local sum = 0
  for _, t in ipairs(f.engines) do sum = sum + t:stats().cut end
  return sum
end

for i = 1, ROUNDS do
  for _, t in ipairs(f.engines) do t:fault("cut=1") end
  fleet.equal("a conversation whose answer is broken off", ask({"preamble", "shared document"}, i).status, 200)
  for _, t in ipairs(f.engines) do t:fault("cut=0") end
  fleet.equal("a conversation with another message", ask({"preamble", "other document"}, i).status, 200)
end
fleet.expect("answers were broken off: " .. broken_off(), broken_off() >= ROUNDS)
for _, e in ipairs(f.entries) do
  fleet.equal("refused for a message", e:counter("part_quarantine_refused_total"), 0)
end
f:stop()
