-- demo.lua: starts a small fleet on loopback, sends the turns of one chat and a request that may run only
-- once, and shows where they were answered.
local fleet = require("fleet")

local f = fleet.new{entries = 2, engines = 3, services = 1, zones = 3}
print("starting 1 control instance, 2 entries, 3 agents with engines, 1 service")
f:start()
print((f:peatwell("get")))

local bad = 0
local function turn(i, entry, stream, history)
  local o = {entry = f.entries[entry], chat = "review-17", history = history, stream = stream,
    text = "clause " .. i .. " of the franchise agreement, " .. string.rep("as registered ", 30)}
  local r = f:ask(o)
  local ok = fleet.is_answer(r, o)
  if not ok then bad = bad + 1 end
  print(string.format("turn %d  entry-%d  %-10s %s by %-9s cached %4s of %4s prompt tokens", i, entry,
    stream and "streamed" or "complete", ok and "answered" or "BROKEN", r["Peatwell-Target"] or "-",
    r["Peatwell-Cached-Tokens"] or "-", r["Peatwell-Prompt-Tokens"] or "-"))
  return o.text
end

local history = {}
for i = 1, 6 do
  history[i] = turn(i, (i - 1) % 2 + 1, i % 3 ~= 0, {table.unpack(history)})
end
for i = 1, 2 do
  local r = f:once{entry = f.entries[i], once = "filing-1", body = "file agreement 17"}
  print(string.format("a filing marked never to be repeated, sent %s: %d %s", i == 1 and "once" or "again",
    r.status, r.body))
end
local runs = f.engines[4]:stats().most
print("the service ran it " .. runs .. " time")
if runs ~= 1 then bad = bad + 1 end

print((f:peatwell("status")))
print("timeline (last 25 events):")
local lines = {}
for line in f:peatwell("timeline"):gmatch("[^\n]+") do lines[#lines + 1] = line end
for i = math.max(1, #lines - 24), #lines do print(lines[i]) end

if run.keep and bad == 0 then
  print(string.format([[

left running in %s; try:
  curl -N http://%s/v1/chat/completions \
    -H 'Authorization: Bearer %s' -H 'Peatwell-Chat: mine' \
    -d '{"model": "register", "stream": true, "messages": [{"role": "user", "content": "hello"}]}'
  curl http://%s/metrics
  build/peatwell status --server %s
stop it with: kill %s]], f.dir, f.entries[1].health, f.KEYS.kett, f.entries[1].health,
    f.control[1].health, (function()
      local pids = {}
      for _, p in ipairs(f.all) do pids[#pids + 1] = p.pid end
      return table.concat(pids, " ")
    end)()))
  return
end
f:stop()
if bad > 0 then error(bad .. " answers were not complete") end
print("demo: every answer was complete and its own; everything stopped cleanly")
