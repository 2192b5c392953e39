-- Guards against the fault of 81_crashing_part on the way over agents: a message early in a conversation crashes each
-- engine that answers it, whatever follows. Conversations with it differ in their last message, so each was new to the
-- entries and crashed three engines.
--
-- Here: it crashes at most five engines, over both entries; conversations that share its other messages are served.
local fleet = require("fleet")
local MAX_CRASHES, REQUESTS = 5, 10
local f = fleet.new{control = 1, entries = 2, engines = 8}
f:start()
local count_crashed = fleet.end_counter(f.engines)

local function ask(history, i, stream)
  return f:ask{entry = f.entries[i % 2 + 1], history = history, text = "question " .. i, stream = stream}
end
local function is_refused(r)
  local doc = r.status == 503 and run.json(r.body)
  return doc and doc.error.name == "part-quarantined"
end

for i = 1, 4 do fleet.equal("a sound conversation before", ask({"preamble", "document"}, i).status, 200) end
local refused = 0
for i = 1, REQUESTS do
  local before = count_crashed()
  local r = ask({"preamble", "crash-engine document"}, i, i % 3 == 0)
  fleet.eventually("the engine that ran it has crashed", function() return count_crashed() > before or is_refused(r) end)
  local crashed = count_crashed()
  fleet.expect("the message crashes " .. MAX_CRASHES .. " engines, not " .. crashed, crashed <= MAX_CRASHES)
  for _, e in ipairs(f.entries) do fleet.wait_ends_counted(e, crashed) end
  if is_refused(r) then
    refused = refused + 1
    fleet.equal("outcome of a refusal", r["Peatwell-Outcome"], "not-run")
  end
end
fleet.expect("conversations with the message are refused: " .. refused, refused >= REQUESTS - MAX_CRASHES)
for i = 1, 4 do
  fleet.eventually("a conversation without it is served", function() return ask({"preamble", "document"}, i).status == 200 end)
end
f:stop()
