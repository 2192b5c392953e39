-- Guards against answers that are mixed up, incomplete or given to another caller when messages are late:
-- 1,200 requests run through links that slow down, freeze and break at random. Every byte of every answer is
-- checked.
local fleet = require("fleet")
local seed = tonumber(os.getenv("PW_SEED") or 31)
print("seed " .. seed)
math.randomseed(seed)
local f = fleet.new{entries = 2, engines = 4, relays = "all", engine_args = {1, 1000}, agent = "slots = 128",
  policy = "floor_tokens = 1000000"}
f:start()

local calls, bad, done = {}, {}, 0
local function disturb()
  local a = f.agents[math.random(#f.agents)]
  local relay = math.random(2) == 1 and a.relay or a.engine.relay
  local what = math.random(10)
  if what <= 6 then run.relay_set(relay, "pass", math.random(0, 6))
  elseif what <= 8 then run.relay_set(relay, "freeze") run.pause(30) run.relay_set(relay, "pass")
  else run.relay_set(relay, "cut") run.pause(20) run.relay_set(relay, "pass") end
end
local function collect(keep)
  while #calls > keep do
    local c = table.remove(calls, 1)
    local r = run.http_wait(c.h)
    if fleet.is_answer(r, c.o) then done = done + 1
    else
      fleet.expect("a wrong answer looks complete: " .. r.body:sub(1, 300), not (r.whole and r.status == 200))
      bad[#bad + 1] = r
    end
  end
end
for i = 1, 1200 do
  local o = {entry = f.entries[i % 2 + 1], chat = "s" .. i % 90, text = "scrambled " .. i .. string.rep("x", math.random(40)),
    stream = math.random(2) == 1, max_tokens = math.random(1, 40)}
  calls[#calls + 1] = {o = o, h = run.http_start(f:chat(o))}
  if i % 12 == 0 then disturb() end
  collect(100)
end
for _, a in ipairs(f.agents) do
  run.relay_set(a.relay, "pass")
  run.relay_set(a.engine.relay, "pass")
end
collect(0)
print(string.format("%d complete and their own, %d got an error; %d late messages dropped, %d streams resumed", done, #bad,
  f.entries[1]:counter("late_answers_total") + f.entries[2]:counter("late_answers_total"),
  f.entries[1]:counter("resumes_total") + f.entries[2]:counter("resumes_total")))
local kinds = {}
for _, r in ipairs(bad) do
  local k = (r["Peatwell-Code"] or "broken off") .. " " .. (r["Peatwell-Outcome"] or "")
  kinds[k] = (kinds[k] or 0) + 1
end
for k, count in pairs(kinds) do print("errors: " .. k .. " x" .. count) end
for _, r in ipairs(bad) do
  fleet.expect("an error without a code: " .. r.status .. " " .. r.body, r["Peatwell-Code"] or r.code ~= 0)
end
fleet.expect("nearly all are answered: " .. done, done >= 1180)
f:stop()
