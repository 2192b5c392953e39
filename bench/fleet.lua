-- fleet.lua: a fleet of up to 300 processes under load: all are restarted in turn, a
-- tenth of the targets is killed at once, and all control instances freeze and continue.
-- The environment variables PW_ENTRIES and PW_ENGINES set the size of the fleet.
local fleet = require("fleet")
local entries, engines = tonumber(os.getenv("PW_ENTRIES") or 8), tonumber(os.getenv("PW_ENGINES") or 140)
local f = fleet.new{control = 3, entries = entries, engines = engines, agent = "slots = 16", engine_args = {4, 200},
  entry = "stale_ms = 3000"}
local t0 = run.now()
f:start()
print(string.format("%d processes of peatwell and %d stand-ins, up and configured in %.1f s",
  3 + entries + engines, engines, (run.now() - t0) / 1000))

local n, down = 0, {}
local tally
local function reset_tally() tally = {complete = 0, refused = 0, broken = 0, unknown = 0, slow = 0} end
local function send_request()
  n = n + 1
  local entry
  repeat
    entry = f.entries[math.random(#f.entries)]
  until not down[entry]
  local o = {entry = entry, chat = "c" .. n % 5000, text = "turn " .. n, stream = n % 2 == 0, max_tokens = 20}
  return {request = o, handle = run.http_start(f:chat(o))}
end
local function record_result(c)
  local r = run.http_wait(c.handle)
  if fleet.is_answer(r, c.request) then tally.complete = tally.complete + 1
  elseif r["Peatwell-Outcome"] == "not-run" then tally.refused = tally.refused + 1
  elseif r["Peatwell-Outcome"] == "unknown" then tally.unknown = tally.unknown + 1
  else
    assert(not (r.whole and r.status == 200), "a wrong answer looks complete")
    tally.broken = tally.broken + 1
  end
end
-- Keeps `width` requests in flight and runs `step` in each of `steps` rounds.
local function under_load(width, steps, step)
  local calls = {}
  for i = 1, steps do
    while #calls < width do calls[#calls + 1] = send_request() end
    if step then step(i) end
    for _ = 1, math.floor(width / 2) do record_result(table.remove(calls, 1)) end
  end
  while #calls > 0 do record_result(table.remove(calls, 1)) end
end
local function show(what, at)
  print(string.format("| %s | %.1f | %d | %d | %d | %d |", what, (run.now() - at) / 1000, tally.complete, tally.refused,
    tally.unknown, tally.broken))
end
local function restart(list)
  for _, p in ipairs(list) do down[p] = true end
  for _, p in ipairs(list) do p:signal("TERM") end
  for _, p in ipairs(list) do fleet.equal(p.name .. " exit code", run.wait(p.pid, 30000), 0) end
  for _, p in ipairs(list) do p:start() end
  for _, p in ipairs(list) do f:wait_ready(p) down[p] = nil end
end
local function batch(list, i, size)
  local out = {}
  for k = (i - 1) * size + 1, math.min(i * size, #list) do out[#out + 1] = list[k] end
  return out
end

print("| what | s | whole | refused, not-run | unknown | broken off |")
print("| --- | --- | --- | --- | --- | --- |")
local at = run.now()
reset_tally()
under_load(48, 20)
show("quiet", at)
at = run.now()
reset_tally()
local size = math.ceil(engines / 20)
under_load(48, math.ceil(engines / size), function(i) restart(batch(f.agents, i, size)) end)
show("all agents restarted, 5 % at a time", at)
at = run.now()
reset_tally()
under_load(48, entries, function(i) restart{f.entries[i]} end)
show("all entries restarted in turn", at)
at = run.now()
reset_tally()
under_load(48, 3, function(i)
  f.control[i]:stop()
  f.control[i]:start()
  f:wait_leader()
end)
show("all control instances restarted in turn", at)

at = run.now()
reset_tally()
local killed = math.ceil(engines / 10)
under_load(48, 20, function(i)
  if i ~= 2 then return end
  for k = 1, killed do
    f.engines[k]:kill()
    f.agents[k]:kill()
  end
end)
show("a tenth of the targets killed at once", at)
at = run.now()
reset_tally()
under_load(48, 10)
show("after it", at)
for k = 1, killed do
  f.engines[k]:start()
  f.agents[k]:start()
end
for k = 1, killed do f:wait_ready(f.agents[k]) end
at = run.now()
reset_tally()
under_load(48, 10)
show("the tenth back again", at)

-- While no control instance answers, entries refuse requests after stale_ms, with proof that
-- they were not run; afterwards they serve again.
for _, c in ipairs(f.control) do c:pause() end
fleet.eventually("entries refuse", function() return f.entries[1]:get("/health/ready").status == 503 end)
at = run.now()
reset_tally()
under_load(48, 4)
show("all control instances frozen", at)
for _, c in ipairs(f.control) do c:continue() end
for _, e in ipairs(f.entries) do f:wait_ready(e) end
for _, a in ipairs(f.agents) do f:wait_ready(a) end
at = run.now()
reset_tally()
under_load(48, 20)
show("and back", at)
f:stop()
