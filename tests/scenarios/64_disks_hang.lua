-- Guards against false answers while the disks of all control instances hang for seconds. What is answered as
-- not run or not changed must not happen later, chats are served meanwhile, and everything works again when
-- the disks do.
local fleet = require("fleet")
local RACES = 8
local f = fleet.new{control = 3, entries = 2, engines = 1, services = 1, daemon = "peatwelld-hanging"}
f:start()
local portal = f.engines[2]

local function change(i)
  return run.http_start{url = "http://" .. f.entries[i % 2 + 1].health, method = "PUT", path = "/v1/resources/model/raced",
    timeout = 60, body = string.format('{"spec": {"context_tokens": %d}, "version": 0}', 100 + i)}
end
local function charge(i)
  return run.http_start(f:call{entry = f.entries[i % 2 + 1], body = "mark " .. i, timeout = 60,
    headers = {["Peatwell-Repeat"] = "never", ["Idempotency-Key"] = "charge-" .. i}})
end
for _, c in ipairs(f.control) do c:signal("USR2") end
local changes, charges = {}, {}
for i = 1, RACES do changes[i], charges[i] = change(i), charge(i) end
for i = 1, 3 do
  local o = {text = "meanwhile " .. i, entry = f.entries[i % 2 + 1]}
  fleet.expect("a chat is served " .. i, fleet.is_answer(f:ask(o), o))
end

local accepted, unknown, refused = nil, {}, {}
for i, h in ipairs(changes) do
  local r = run.http_wait(h)
  print("change " .. i, r.status, r["Peatwell-Code"], r["Peatwell-Outcome"])
  if r.status == 200 then
    fleet.expect("only one change is accepted", not accepted)
    accepted = 100 + i
  elseif r["Peatwell-Outcome"] == "unknown" then
    unknown[100 + i] = true
  else
    refused[100 + i] = true
  end
end
local not_run = {}
for i, h in ipairs(charges) do
  local r = run.http_wait(h)
  print("charge " .. i, r.status, r["Peatwell-Code"], r["Peatwell-Outcome"])
  fleet.expect("a charge has an outcome: " .. r.status .. r.body, r.status == 200 or r["Peatwell-Outcome"])
  if r["Peatwell-Outcome"] == "not-run" then not_run[#not_run + 1] = i end
end
f:wait_leader()
run.pause(2000) -- for requests that were in flight when their callers were answered
fleet.equal("runs of charges that were not refused", portal:stats().total, RACES - #not_run)
local stored = fleet.eventually("the stored value can be read", function()
  local r = run.http{url = "http://" .. f:wait_leader().health, path = "/v1/resources/model/raced", timeout = 5}
  return r.status == 200 and (run.json(r.body).spec.context_tokens or 0) or r.status == 404 and -1
end)
fleet.expect("the stored value was not refused: " .. stored, not refused[stored])
if accepted then fleet.equal("the stored value", stored, accepted) end

-- All charges are sent again through the other entry: each has run once.
for i = 1, RACES do
  fleet.eventually("charge " .. i .. " is answered", function()
    local r = f:once{entry = f.entries[(i + 1) % 2 + 1], once = "charge-" .. i, body = "mark " .. i}
    if r.status ~= 200 then print("resend " .. i, r.status, r["Peatwell-Code"], r["Peatwell-Outcome"]) end
    return r.status == 200
  end)
end
local s = portal:stats()
fleet.equal("charges that ran", s.total, RACES)
fleet.equal("most runs of one charge", s.most, 1)
f:stop()
