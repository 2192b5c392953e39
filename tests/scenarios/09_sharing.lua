-- Promise: a surge of one workspace leaves the others' answers as they were; a
-- workspace's token limit holds over all entries.
local fleet = require("fleet")
local f = fleet.new{entries = 2, engines = 2, engine_args = {4, 200}, agent = "slots = 8\nqueue = 64",
  policy = "floor_tokens = 100000", workspaces = {exams = "tokens_per_s = 400"}}
f:start()

local function wave(key, n, tokens, tag)
  local calls = {}
  for i = 1, n do
    local o = {entry = f.entries[i % 2 + 1], key = f.KEYS[key], chat = tag .. i, text = tag .. " " .. i, max_tokens = tokens,
      headers = {["Peatwell-Deadline-Ms"] = "20000"}}
    calls[i] = {o = o, h = run.http_start(f:chat(o))}
  end
  return calls
end
local function collect(calls)
  local whole, worst, refused = 0, 0, 0
  for _, c in ipairs(calls) do
    local r = run.http_wait(c.h)
    if fleet.is_answer(r, c.o) then
      whole, worst = whole + 1, math.max(worst, r.us / 1000)
    else
      fleet.equal("outcome of what was refused", r["Peatwell-Outcome"], "not-run")
      fleet.expect("told when to come back", r["Retry-After"])
      refused = refused + 1
    end
  end
  return whole, worst, refused
end

local quiet_alone, worst_alone = collect(wave("quiet", 12, 20, "alone"))
fleet.equal("quiet alone: whole", quiet_alone, 12)
local surge = wave("kett", 240, 20, "surge")
run.pause(100)
local quiet, worst = collect(wave("quiet", 12, 20, "beside"))
local surge_whole, surge_worst, surge_refused = collect(surge)
print(string.format("quiet: worst %.0f ms alone, %.0f ms beside a surge; the surge: %d whole, worst %.0f ms, %d refused",
  worst_alone, worst, surge_whole, surge_worst, surge_refused))
fleet.equal("quiet beside a surge: whole", quiet, 12)
fleet.expect("the surge waits, not the quiet ones", worst < surge_worst)

-- 400 tokens a second over both entries, a burst of two seconds: of 100 requests
-- of some 40 tokens at once most are refused, with 2003.
local limited, over = 0, 0
for _, c in ipairs(wave("exams", 100, 32, "limit")) do
  local r = run.http_wait(c.h)
  if r.status == 200 then limited = limited + 1 else
    fleet.equal("code over the limit", r["Peatwell-Code"], "2003")
    fleet.equal("outcome over the limit", r["Peatwell-Outcome"], "not-run")
    over = over + 1
  end
end
fleet.expect("the limit holds: " .. limited .. " of 100 ran", limited >= 20 and limited <= 60)
fleet.expect("later there is room again", fleet.eventually("room", function()
  return f:ask{key = f.KEYS.exams, text = "again", max_tokens = 4}.status == 200
end))
f:stop()
