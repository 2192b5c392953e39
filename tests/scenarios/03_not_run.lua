-- Guards against a caller being told "not-run" for a request that did run. Targets refuse connections, agents
-- die, links freeze, a service closes without an answer and an agent is suspended past the deadline. Without
-- proof the outcome has to be "unknown", and the request must not run a second time.
local fleet = require("fleet")
local f = fleet.new{entries = 1, engines = 2, services = 1, relays = "agents"}
f:start()
local portal, agent = f.engines[3], f.agents[3]

local function runs() return portal:stats().total end
local function charge(key, o)
  o = o or {}
  o.once, o.body = key, "charge " .. key
  return f:once(o)
end

-- The target refuses connections: this proves that nothing ran, and the claim of the key is released.
portal:kill()
local r = charge("refused")
fleet.equal("outcome, target down", r["Peatwell-Outcome"], "not-run")
fleet.expect("the refusal says when to retry", tonumber(r["Retry-After"] or 0) >= 1)
portal:start()
fleet.eventually("a resend under the same key runs", function()
  return charge("refused")["Peatwell-Outcome"] == "done"
end)
fleet.equal("runs", runs(), 1)

-- The agent is dead and its entry knows it, so nothing is sent. The scenario waits for "link-down": a request
-- that is sent on the link while it breaks ("link-down" two ticks after its claim) has the outcome unknown.
agent:kill()
fleet.eventually("the entry knows that the link is down", function()
  return f.entries[1]:get("/v1/events").body:find('"link-down"', 1, true)
end)
r = charge("agent-dead")
fleet.equal("outcome, agent dead", r["Peatwell-Outcome"], "not-run")
agent:start()
f:wait_ready(agent)
fleet.eventually("the charge runs after the restart of the agent", function() return charge("agent-dead")["Peatwell-Outcome"] == "done" end)
fleet.equal("runs", runs(), 2)

-- The service runs the request and closes without an answer: the outcome is unknown and it never runs a
-- second time.
portal:fault("close_next=1")
r = charge("closed")
fleet.equal("outcome, closed", r["Peatwell-Outcome"], "unknown")
fleet.equal("outcome of a resend", charge("closed")["Peatwell-Outcome"], "unknown")
fleet.equal("runs", runs(), 3)

-- The link freezes after the request was sent: silence proves nothing.
portal:fault("delay_ms=1500")
local h = run.http_start(f:call{body = "charge frozen", headers = {["Peatwell-Repeat"] = "never",
  ["Idempotency-Key"] = "frozen"}})
fleet.eventually("it runs", function() return runs() == 4 end)
run.relay_set(agent.relay, "freeze")
r = run.http_wait(h)
fleet.equal("outcome, frozen link", r["Peatwell-Outcome"], "unknown")
run.relay_set(agent.relay, "pass")
portal:fault("delay_ms=0")
fleet.equal("resend", charge("frozen")["Peatwell-Outcome"], "unknown")
fleet.equal("runs", runs(), 4)

-- A deadline too short to be met is refused before the start; this is proof that nothing ran.
local before = f.engines[1]:stats().started + f.engines[2]:stats().started
r = f:ask{text = "too late", headers = {["Peatwell-Deadline-Ms"] = "1"}}
fleet.equal("outcome, no time", r["Peatwell-Outcome"], "not-run")
fleet.equal("engine starts", f.engines[1]:stats().started + f.engines[2]:stats().started, before)

-- A suspended agent that continues must not start a request that was given up meanwhile.
agent:pause()
h = run.http_start(f:call{body = "charge paused", headers = {["Peatwell-Repeat"] = "never",
  ["Idempotency-Key"] = "paused", ["Peatwell-Deadline-Ms"] = "1500"}})
r = run.http_wait(h)
local outcome = r["Peatwell-Outcome"]
agent:continue()
f:wait_ready(agent)
run.pause(300)
if outcome == "not-run" then
  fleet.equal("runs after not-run", runs(), 4)
else
  fleet.equal("outcome", outcome, "unknown")
  fleet.equal("runs after its deadline", runs(), 4)
end
f:stop()
