-- Guards against callers and targets that take resources without end. A slow caller must slow the engine down
-- and not fill memory; a caller that disconnects must cancel its stream; a target that never answers must
-- cost no more than the caller's deadline, with the outcome unknown.
local fleet = require("fleet")
local f = fleet.new{entries = 1, engines = 1, engine_args = {0, 10000, 200000, 1500}}
f:start()
local entry, engine = f.entries[1], f.engines[1]

local function rss(p)
  return tonumber(fleet.read("/proc/" .. p.pid .. "/status"):match("VmRSS:%s+(%d+)"))
end

-- The caller of an answer of about 14 MB stops reading for three seconds: the answer is complete, and is not
-- buffered in memory meanwhile.
f:ask{text = "warm up", stream = true, max_tokens = 200}
local before = rss(entry) + rss(f.agents[1])
local o = {text = "slow reader", stream = true, max_tokens = 9000, stop_reading = 3000}
local h = run.http_start(f:chat(o))
run.pause(2500)
local used = rss(entry) + rss(f.agents[1]) - before
fleet.equal("still being read", entry:counter("active_requests"), 1)
fleet.expect("memory used for a slow caller: " .. used .. " KB", used < 4000)
fleet.expect("the slow reader's answer is complete", fleet.is_answer(run.http_wait(h), o))

-- A caller disconnects during its stream.
engine:fault("slow=1")
local cancels = engine:stats().cancels
run.http(f:chat{text = "goes away", stream = true, max_tokens = 9000, give_up = 20000})
fleet.eventually("the stream of the disconnected caller is cancelled", function() return engine:stats().cancels > cancels end)
fleet.eventually("nothing is in progress", function()
  return entry:counter("active_requests") == 0 and f.agents[1]:counter("active_requests") == 0
end)

-- A target never answers: at the deadline the caller gets the outcome unknown.
engine:fault("hang=1")
local r = f:ask{text = "never answered", headers = {["Peatwell-Deadline-Ms"] = "1200"}}
fleet.equal("code", r["Peatwell-Code"], "3003")
fleet.equal("outcome", r["Peatwell-Outcome"], "unknown")

-- Refusals are sent at once and say when to retry.
f:peatwell("drain engine-1 --wait")
local at = run.now()
r = f:ask{text = "drained", headers = {["Peatwell-Deadline-Ms"] = "60000"}}
fleet.equal("outcome", r["Peatwell-Outcome"], "not-run")
fleet.expect("told when to retry", tonumber(r["Retry-After"]) >= 1)
fleet.expect("at once, not near its deadline", run.now() - at < 30000)
f:stop()
