-- Guards against answers that are lost because an entry or an agent was suspended. A suspended entry delivers
-- the answers that arrived meanwhile, also after the caller's deadline and after the silence at which a link
-- to an agent is given up; a suspended agent loses no answer. Each limit is tested by three entries:
-- suspended for a little less, a little more, and ten times the limit.
local fleet = require("fleet")
local DEADLINE_MS, LINK_LOST_MS = 2000, 3000
local f = fleet.new{control = 1, entries = 6, engines = 2, engine_args = {40, 50}}
f:start()

-- Sends requests whose answers take 0.8 s, streamed and not.
local function ask(entry, deadline_ms)
  local headers = deadline_ms and {["Peatwell-Deadline-Ms"] = tostring(deadline_ms)} or nil
  local calls = {}
  for i = 1, 4 do
    local name = entry.name .. "-" .. i
    local o = {entry = entry, chat = name, text = name, stream = i % 2 == 0, max_tokens = 20, headers = headers}
    calls[i] = {o = o, h = run.http_start(f:chat(o))}
  end
  return calls
end

local suspended = {}
for i, e in ipairs(f.entries) do
  local limit = i <= 3 and DEADLINE_MS or LINK_LOST_MS
  local ms = math.floor(limit * ({0.8, 1.3, 10})[(i - 1) % 3 + 1])
  suspended[i] = {entry = e, ms = ms, calls = ask(e, i <= 3 and limit)}
end
run.pause(300)
for _, h in ipairs(suspended) do h.entry:pause() end
table.sort(suspended, function(a, b) return a.ms < b.ms end)
local began = run.now()
for _, h in ipairs(suspended) do
  run.pause(math.max(0, began + h.ms - run.now()))
  h.entry:continue()
end
for _, h in ipairs(suspended) do fleet.all_complete(h.entry.name .. " suspended for " .. h.ms .. " ms", h.calls) end

for _, times in ipairs{0.8, 1.3, 4} do
  local calls = ask(f.entries[1])
  run.pause(300)
  f.agents[1]:pause()
  run.pause(math.floor(LINK_LOST_MS * times))
  f.agents[1]:continue()
  fleet.all_complete("an agent suspended for " .. times .. " times the silence limit", calls)
end
f:stop()
