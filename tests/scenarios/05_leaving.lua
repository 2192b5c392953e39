-- Guards against new work at a target that is leaving, and against requests cut by a planned stop. Under load
-- an operator drains a target, then an agent, an entry and the control leader are stopped: a few seconds
-- after the drain the target gets nothing new, and every answer is complete.
local fleet = require("fleet")
local f = fleet.new{control = 3, entries = 2, engines = 3, engine_args = {15, 50}}
f:start()

local calls, n = {}, 0
local function ask(entry, tokens)
  n = n + 1
  local o = {entry = entry, chat = "l" .. n, text = "leaving " .. n, stream = n % 2 == 0, max_tokens = tokens or 40}
  calls[#calls + 1] = {o = o, h = run.http_start(f:chat(o))}
end
local function expect_complete(what)
  for i, c in ipairs(calls) do
    local r = run.http_wait(c.h)
    fleet.expect(what .. " " .. i .. ": " .. r.status .. " " .. r.body:sub(-160), fleet.is_answer(r, c.o))
  end
  calls = {}
end
local function started(i) return f.engines[i]:stats().started end

-- An operator drains a target under load.
for i = 1, 24 do ask(f.entries[i % 2 + 1]) end
local text, code = f:peatwell("drain engine-1 --wait")
fleet.equal("drain exit code: " .. text, code, 0)
local before = started(1)
for i = 1, 24 do ask(f.entries[i % 2 + 1]) end
expect_complete("drain")
fleet.equal("work given to the drained target", started(1), before)
text, code = f:peatwell("drain engine-1 off --wait")
fleet.equal("drain off exit code", code, 0)

-- An agent is stopped under load: requests in flight get complete answers, and the exit code is 0.
for i = 1, 24 do ask(f.entries[i % 2 + 1]) end
fleet.eventually("work at engine-2", function() return f.engines[2]:stats().active > 0 end)
fleet.equal("agent exit code", f.agents[2]:stop(), 0)
for i = 1, 12 do ask(f.entries[i % 2 + 1]) end
expect_complete("agent stops")
f.agents[2]:start()
f:wait_ready(f.agents[2])

-- An entry is stopped under load: its readiness check fails first, and its streams end complete.
for i = 1, 16 do ask(f.entries[1], 60) end
fleet.eventually("streams run", function() return f.entries[1]:counter("active_requests") == 16 end)
f.entries[1]:signal("TERM")
fleet.eventually("ready fails first", function() return f.entries[1]:get("/health/ready").status == 503 end, 2000)
fleet.equal("entry exit code", run.wait(f.entries[1].pid, 20000), 0)
expect_complete("entry stops")
f.entries[1]:start()
f:wait_ready(f.entries[1])

-- The control leader is stopped: it transfers leadership, and changes are still accepted.
for i = 1, 16 do ask(f.entries[i % 2 + 1]) end
local leader = f:wait_leader()
fleet.equal("leader exit code", leader:stop(), 0)
fleet.eventually("another leader", function()
  local l = f:leader()
  return l and l ~= leader
end)
expect_complete("control leader stops")
leader:start()

-- A second signal shortens the stop.
f.agents[3]:signal("TERM")
f.agents[3]:signal("TERM")
fleet.equal("exit code after two signals", run.wait(f.agents[3].pid, 10000), 0)
f.agents[3].gone = true
f:stop()
