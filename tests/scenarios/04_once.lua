-- Guards against a second run of a request that is marked as not repeatable. The same key is sent through
-- both entries at once, resent after an entry, an agent or a caller has gone, and sent while control leaders
-- are killed. Each key runs at most once.
local fleet = require("fleet")
local f = fleet.new{control = 3, entries = 2, engines = 1, services = 2}
f:start()
local portals = {f.engines[2], f.engines[3]}

local function runs()
  local n, most = 0, 0
  for _, p in ipairs(portals) do
    if not p.gone then
      local s = p:stats()
      n, most = n + s.total, math.max(most, s.most)
    end
  end
  return n, most
end
local function start(key, entry, delay)
  return run.http_start(f:call{entry = entry, body = "mark " .. key,
    headers = {["Peatwell-Repeat"] = "never", ["Idempotency-Key"] = key}})
end

-- Each key is sent to both entries at once, for 20 keys.
local calls = {}
for i = 1, 20 do
  for e = 1, 2 do calls[#calls + 1] = start("race-" .. i, f.entries[e]) end
end
for _, h in ipairs(calls) do
  local r = run.http_wait(h)
  fleet.expect("sent twice at once: " .. r.status .. r.body, r.status == 200 or r["Peatwell-Code"] == "4007")
end
local total, most = runs()
fleet.equal("runs of 20 keys sent twice", total, 20)
fleet.equal("most runs of one", most, 1)

-- The same key with another body is refused.
local r = f:once{once = "race-1", body = "another body"}
fleet.equal("reused key", r["Peatwell-Code"], "4006")
fleet.equal("outcome for the reused key", r["Peatwell-Outcome"], "not-run")

-- The entry is killed while the service works: a resend through the other entry does not run the request
-- again.
for _, p in ipairs(portals) do p:fault("delay_ms=700") end
local h = start("entry-dies", f.entries[1])
fleet.eventually("it runs", function() return runs() == 21 end)
f.entries[1]:kill()
run.http_wait(h)
r = f:once{entry = f.entries[2], once = "entry-dies", body = "mark entry-dies"}
fleet.equal("resend after the entry died", r["Peatwell-Outcome"], "unknown")
fleet.equal("code of the resend after the entry died", r["Peatwell-Code"], "4007")
f.entries[1]:start()
f:wait_ready(f.entries[1])

-- The caller disconnects: a resend gets the answer.
h = run.http_start{url = "http://" .. f.entries[1].health, method = "POST", path = "/v1/services/portal/charge",
  body = "mark caller-gone", timeout = 1, headers = {["Authorization"] = "Bearer " .. f.KEYS.kett,
  ["Peatwell-Repeat"] = "never", ["Idempotency-Key"] = "caller-gone"}}
for _, p in ipairs(portals) do p:fault("delay_ms=1500") end
run.http_wait(h)
fleet.eventually("the resend gets the answer", function()
  local a = f:once{entry = f.entries[2], once = "caller-gone", body = "mark caller-gone"}
  return a.status == 200 and a.body == "receipt for [mark caller-gone]"
end)
for _, p in ipairs(portals) do p:fault("delay_ms=0") end

-- The control leader is killed three times while keys are sent.
calls = {}
for round = 1, 3 do
  for i = 1, 10 do calls[#calls + 1] = {key = "fail-" .. round .. "-" .. i, h = start("fail-" .. round .. "-" .. i, f.entries[i % 2 + 1])} end
  local leader = f:wait_leader()
  leader:kill()
  fleet.eventually("another leader", function()
    local l = f:leader()
    return l and l ~= leader
  end)
  leader:start()
end
local done = 0
for _, c in ipairs(calls) do
  if run.http_wait(c.h)["Peatwell-Outcome"] == "done" then done = done + 1 end
end
for _, c in ipairs(calls) do f:once{entry = f.entries[2], once = c.key, body = "mark " .. c.key} end
total, most = runs()
fleet.equal("most runs of one key after three leaders died", most, 1)
print(done .. " of " .. #calls .. " were answered while leaders died")

-- The agents are killed while the service works.
for _, p in ipairs(portals) do p:fault("delay_ms=800") end
local before = runs()
h = start("agent-dies", f.entries[1])
fleet.eventually("it runs", function() return runs() == before + 1 end)
for i = 2, 3 do f.agents[i]:kill() end
r = run.http_wait(h)
fleet.equal("outcome when the agent died", r["Peatwell-Outcome"], "unknown")
for i = 2, 3 do f.agents[i]:start() end
for i = 2, 3 do f:wait_ready(f.agents[i]) end
f:once{once = "agent-dies", body = "mark agent-dies"}
total, most = runs()
fleet.equal("most runs of one", most, 1)
f:stop()
