-- Promise: retries are paid from successes. Half of the targets fail for a
-- while; attempts stay below 1.1 times the requests, and nobody waits for what
-- was given up: the answer comes at once and says when to come back.
local fleet = require("fleet")
local f = fleet.new{entries = 2, engines = 4, engine_args = {1, 50}}
f:start()

local function wave(n, make)
  local calls, whole, errors = {}, 0, {}
  for i = 1, n do
    local o = make(i)
    calls[i] = {o = o, h = run.http_start(f:chat(o))}
    if i % 20 == 0 then run.pause(20) end
  end
  for _, c in ipairs(calls) do
    local r = run.http_wait(c.h)
    if fleet.is_answer(r, c.o) then whole = whole + 1 else errors[#errors + 1] = r end
  end
  return whole, errors
end
local function total(name)
  return f.entries[1]:counter(name) + f.entries[2]:counter(name)
end
local function question(prefix)
  return function(i)
    return {entry = f.entries[i % 2 + 1], chat = prefix .. i, text = prefix .. " " .. i, max_tokens = 4}
  end
end

fleet.equal("whole when all is well", (wave(200, question("calm"))), 200)
local requests, attempts = total("requests_total"), total("attempts_total")
for i = 1, 2 do f.engines[i]:fault("fail=100000") end
local whole, errors = wave(600, question("storm"))
requests, attempts = total("requests_total") - requests, total("attempts_total") - attempts
print(string.format("storm: %d whole, %d errors, %d attempts for %d requests, %d retries, %d denied",
  whole, #errors, attempts, requests, total("retries_total"), total("retries_denied_total")))
fleet.expect("attempts below 1.1 times the requests", attempts < 1.1 * requests)
fleet.expect("most are answered all the same", whole > 540)
for _, r in ipairs(errors) do
  fleet.expect("an error carries its outcome and code", r["Peatwell-Outcome"] and r["Peatwell-Code"])
end
for i = 1, 2 do f.engines[i]:fault("fail=0") end
fleet.eventually("all targets serve again", function()
  local before = {f.engines[1]:stats().started, f.engines[2]:stats().started}
  wave(60, question("after" .. run.now()))
  return f.engines[1]:stats().started > before[1] and f.engines[2]:stats().started > before[2]
end, 40000)
f:stop()
