-- Promises: a slow caller holds the engine up and costs no memory; one that goes
-- away cancels its stream; a target that never answers costs no more than the
-- caller's deadline, and the answer says what is known.
local fleet = require("fleet")
local f = fleet.new{entries = 1, engines = 1, engine_args = {0, 10000, 200000, 1500}}
f:start()
local entry, engine = f.entries[1], f.engines[1]

local function rss(p)
  return tonumber(fleet.read("/proc/" .. p.pid .. "/status"):match("VmRSS:%s+(%d+)"))
end

-- An answer of some 14 MB whose caller stops reading for three seconds: whole, and
-- not kept in memory meanwhile.
f:ask{text = "warm up", stream = true, max_tokens = 200}
local before = rss(entry) + rss(f.agents[1])
local o = {text = "slow reader", stream = true, max_tokens = 9000, stop_reading = 3000}
local h = run.http_start(f:chat(o))
run.pause(2500)
local held = rss(entry) + rss(f.agents[1]) - before
fleet.equal("still being read", entry:counter("active_requests"), 1)
fleet.expect("memory held for a slow caller: " .. held .. " KB", held < 4000)
fleet.expect("the slow reader's answer is whole", fleet.is_answer(run.http_wait(h), o))

-- A caller that goes away in the middle.
engine:fault("slow=1")
local cancels = engine:stats().cancels
run.http(f:chat{text = "goes away", stream = true, max_tokens = 9000, give_up = 20000})
fleet.eventually("its stream is cancelled", function() return engine:stats().cancels > cancels end)
fleet.eventually("nothing is in progress", function()
  return entry:counter("active_requests") == 0 and f.agents[1]:counter("active_requests") == 0
end)

-- A target that never answers: told at the deadline, as unknown.
engine:fault("hang=1")
local r = f:ask{text = "never answered", headers = {["Peatwell-Deadline-Ms"] = "1200"}}
fleet.equal("code", r["Peatwell-Code"], "3003")
fleet.equal("outcome", r["Peatwell-Outcome"], "unknown")

-- Refusals come at once and say when to come back.
f:peatwell("drain engine-1 --wait")
local at = run.now()
r = f:ask{text = "drained", headers = {["Peatwell-Deadline-Ms"] = "60000"}}
fleet.equal("outcome", r["Peatwell-Outcome"], "not-run")
fleet.expect("told when to come back", tonumber(r["Retry-After"]) >= 1)
fleet.expect("at once, not near its deadline", run.now() - at < 30000)
f:stop()
