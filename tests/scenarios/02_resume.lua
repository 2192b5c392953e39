-- Guards against answers that stay incomplete when a link or an engine's answer breaks off midway. Engines
-- cut answers, links are cut and frozen, agents are killed: each stream has to be resumed at its offset, and
-- every answer must be complete.
local fleet = require("fleet")
local f = fleet.new{entries = 1, engines = 2, relays = "all", engine_args = {20, 50}}
f:start()

local function ask_many(n, stream)
  local calls = {}
  for i = 1, n do
    local o = {chat = "r" .. i, text = "resume " .. i, stream = stream, max_tokens = 40}
    calls[i] = {o = o, h = run.http_start(f:chat(o))}
  end
  return calls
end
local all_complete = fleet.all_complete
local function active()
  local n = 0
  for _, e in ipairs(f.engines) do n = n + e:stats().active end
  return n
end
local function sum(list, name)
  local n = 0
  for _, e in ipairs(list) do n = n + e:stats()[name] end
  return n
end

-- The engines cut answers halfway.
for _, e in ipairs(f.engines) do e:fault("cut=3") end
all_complete("cut by the engine", ask_many(8, true))
fleet.expect("answers were cut", sum(f.engines, "cut") >= 3)
fleet.expect("streams were resumed", f.entries[1]:counter("resumes_total") >= 3)

-- The link between agent and engine is cut during the streams.
local calls = ask_many(6, true)
fleet.eventually("streams run", function() return active() == 6 end)
for _, e in ipairs(f.engines) do run.relay_set(e.relay, "cut") end
run.pause(100)
for _, e in ipairs(f.engines) do run.relay_set(e.relay, "pass") end
all_complete("engine link cut", calls)

-- The link between entry and agent is cut during the streams.
calls = ask_many(6, true)
fleet.eventually("streams run", function() return active() == 6 end)
for _, a in ipairs(f.agents) do run.relay_set(a.relay, "cut") end
run.pause(100)
for _, a in ipairs(f.agents) do run.relay_set(a.relay, "pass") end
all_complete("entry link cut", calls)

-- The link is frozen for a second: nothing may be lost or delivered twice.
calls = ask_many(6, true)
fleet.eventually("streams run", function() return active() == 6 end)
for _, a in ipairs(f.agents) do run.relay_set(a.relay, "freeze") end
run.pause(1000)
for _, a in ipairs(f.agents) do run.relay_set(a.relay, "pass") end
all_complete("entry link frozen", calls)

-- The agents are killed during the streams; the restarted ones resume them from the engine.
calls = ask_many(6, true)
fleet.eventually("streams run", function() return active() == 6 end)
for _, a in ipairs(f.agents) do a:kill() end
for _, a in ipairs(f.agents) do a:start() end
all_complete("agents restarted", calls)

-- An answer that is not streamed may be started again at another target and, when every target has failed it
-- once, a third time.
for _ = 1, 3 do
  for _, e in ipairs(f.engines) do e:fault("fail=1") end
  all_complete("engine fails", ask_many(1, false))
end
for _, e in ipairs(f.engines) do e:fault("fail=1") end
all_complete("engine fails", ask_many(6, false))
fleet.equal("most runs of one attempt", math.max(f.engines[1]:stats().most_runs, f.engines[2]:stats().most_runs), 1)
f:stop()
