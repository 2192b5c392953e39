-- Guards against requests cut by planned restarts, and against cut answers that look complete. Every agent,
-- control instance and entry is restarted under load: no request may be cut. Then a tenth of the targets is
-- killed: only requests in flight there may break off, and none of them may look complete.
local fleet = require("fleet")
local f = fleet.new{control = 3, entries = 3, engines = 10, engine_args = {4, 200}}
f:start()

local calls, n = {}, 0
local function send(count, avoid)
  for _ = 1, count do
    n = n + 1
    local entry = f.entries[n % 3 + 1]
    if entry == avoid then entry = f.entries[(n + 1) % 3 + 1] end
    local o = {entry = entry, chat = "r" .. n, text = "rolling " .. n, stream = n % 2 == 0, max_tokens = 30}
    calls[#calls + 1] = {o = o, h = run.http_start(f:chat(o))}
  end
end
local function collect(what, may_break)
  local complete, broken = 0, 0
  for i, c in ipairs(calls) do
    local r = run.http_wait(c.h)
    if fleet.is_answer(r, c.o) then
      complete = complete + 1
    else
      fleet.expect(what .. " " .. i .. ": " .. r.status .. r.body:sub(-120), may_break)
      fleet.expect("a cut answer looks complete", not (r.whole and r.status == 200))
      broken = broken + 1
    end
  end
  calls = {}
  return complete, broken
end

-- Each process is restarted once under load. Requests avoid the entry that is being restarted, as a load
-- balancer does for one that is not ready.
for _, list in ipairs{f.agents, f.control, f.entries} do
  for _, p in ipairs(list) do
    send(12, p)
    fleet.equal(p.name .. " exit code", p:stop(), 0)
    send(6, p)
    collect("restart of " .. p.name)
    p:start()
    if list ~= f.control then f:wait_ready(p) else f:wait_leader() end
  end
end
print(n .. " requests, none cut, through " .. (10 + 3 + 3) .. " planned restarts")

-- A tenth of the targets is killed at once, engine and agent.
send(60)
run.pause(60)
f.engines[4]:kill()
f.agents[4]:kill()
local complete, broken = collect("a tenth killed", true)
print(string.format("a tenth killed: %d complete, %d broken off", complete, broken))
fleet.expect("only requests in flight there are broken off", broken <= 20)
send(30)
collect("after it")
f.engines[4]:start()
f.agents[4]:start()
f:wait_ready(f.agents[4])
f:stop()
