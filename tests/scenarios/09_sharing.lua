-- Guards against a load spike of one workspace that delays or fails the requests of others: 12 requests of a
-- workspace have to complete beside 240 of another one. A workspace's token limit is then checked over both
-- entries together.
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
  local complete, worst, refused = 0, 0, 0
  for _, c in ipairs(calls) do
    local r = run.http_wait(c.h)
    if fleet.is_answer(r, c.o) then
      complete, worst = complete + 1, math.max(worst, r.us / 1000)
    else
      fleet.equal("outcome of what was refused", r["Peatwell-Outcome"], "not-run")
      fleet.expect("told when to retry", r["Retry-After"])
      refused = refused + 1
    end
  end
  return complete, worst, refused
end

local quiet_alone, worst_alone = collect(wave("quiet", 12, 20, "alone"))
fleet.equal("quiet alone: complete", quiet_alone, 12)
local spike = wave("kett", 240, 20, "surge")
run.pause(100)
local quiet, worst = collect(wave("quiet", 12, 20, "beside"))
local spike_complete, spike_worst, spike_refused = collect(spike)
print(string.format("quiet: worst %.0f ms alone, %.0f ms beside a load spike; the spike: %d complete, worst %.0f ms, %d refused",
  worst_alone, worst, spike_complete, spike_worst, spike_refused))
fleet.equal("quiet beside a load spike: complete", quiet, 12)
fleet.expect("the workspace with the load spike waits longest", worst < spike_worst)

-- The limit is 400 tokens a second over both entries, with a burst of two seconds: of 100 requests of about
-- 40 tokens sent at once most are refused, with code 2003.
-- The burst is there two seconds after the start of the entries, which begin without any.
run.pause(2000)
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
fleet.expect("requests are accepted again later", fleet.eventually("a request within the limit is answered", function()
  return f:ask{key = f.KEYS.exams, text = "again", max_tokens = 4}.status == 200
end))
f:stop()
