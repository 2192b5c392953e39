-- Guards against a model rollout that cuts or refuses requests or does not reach the declared state. Versions
-- are loaded one after the other, take over in steps, and are rolled back when errors rise or loads fail. A
-- suspended leader that continues must not change anything: its orders are fenced.
local fleet = require("fleet")
local f = fleet.new{control = 3, entries = 2, engines = 4, control_text = ""}
f:start()

local VERSION = '[[resource]]\nkind = "version"\nname = "%s"\n[resource.spec]\nmodel = "register"\n' ..
  'size_bytes = 1000\nsteps = [25, 50]\nstep_s = 0.3\nmin_requests = 3\nmax_error_share = 0.1\n'
local MODEL = '[[resource]]\nkind = "model"\nname = "register"\n[resource.spec]\n%s\n'

local function rollout()
  local _, st = f:leader()
  for _, r in ipairs(st and st.rollouts or {}) do
    if r.model == "register" then return r end
  end
end
local count = 0
-- Sends a chat; each answer must be complete.
local function send_chat()
  count = count + 1
  local o = {text = "question " .. count, chat = "chat-" .. count % 40, entry = f.entries[count % 2 + 1], max_tokens = 2}
  local r = f:ask(o)
  fleet.expect("a complete answer during a rollout, not " .. tostring(r.status) .. " " .. tostring(r.body),
    fleet.is_answer(r, o))
end
local function until_state(what, check)
  fleet.eventually(what, function()
    send_chat()
    local r = rollout()
    return r and check(r)
  end, 60000)
end
local function served(version)
  local n = 0
  for _, e in ipairs(f.engines) do n = n + (e:stats().models.served[version] or 0) end
  return n
end

for _ = 1, 8 do send_chat() end
fleet.equal("nobody was ordered anything", served(""), 8)

-- The first version takes over from the models that the engines started with.
local text, code = f:apply(VERSION:format("v1") .. MODEL:format('version = "v1"'))
fleet.equal("applied: " .. text, code, 0)
until_state("v1 everywhere", function(r) return r.settled and r.to == "v1" and r.serving_to == 4 end)
for _, e in ipairs(f.engines) do fleet.equal("requests refused because the model is not loaded", e:stats().models.unloaded, 0) end

-- A leader is suspended during the rollout and the next one finishes it; when the old one continues it
-- changes nothing.
text, code = f:apply(VERSION:format("v2") .. MODEL:format('version = "v2"'))
fleet.equal("applied: " .. text, code, 0)
until_state("v2 is rolling out", function(r) return r.state == "rolling" and r.serving_to >= 1 end)
local old = f:wait_leader()
old:pause()
fleet.eventually("another leader", function()
  for _, c in ipairs(f.control) do
    if c ~= old and run.http{url = "http://" .. c.health, path = "/v1/status", timeout = 2}.status == 200 then return true end
  end
end)
old:continue()
until_state("v2 everywhere", function(r) return r.settled and r.to == "v2" and r.serving_to == 4 end)

-- A version whose requests fail gets a few chats and is rolled back.
for _, e in ipairs(f.engines) do e:fault("bad=v3") end
text, code = f:apply(VERSION:format("v3") .. MODEL:format('version = "v3"'), "")
fleet.equal("applied: " .. text, code, 0)
local failed = 0
fleet.eventually("rolled back", function()
  count = count + 1
  local o = {text = "q" .. count, chat = "chat-" .. count, entry = f.entries[count % 2 + 1], max_tokens = 2}
  if not fleet.is_answer(f:ask(o), o) then failed = failed + 1 end
  local r = rollout()
  return r and r.state == "rolled-back" and r.why == "errors"
end, 60000)
fleet.equal("requests that failed for a bad version, while another served", failed, 0)
until_state("v2 serves everywhere again", function(r) return r.settled and r.serving_from == 4 end)
text, code = f:peatwell("status --wait")
fleet.equal("exit code of status --wait after the rollback: " .. text, code, 1)
fleet.expect("the output contains the code", text:find("4010", 1, true))

-- Failed loads are retried; the version is rolled back when they fail at too many targets.
for _, e in ipairs(f.engines) do e:fault("bad=&fail_loads=9") end
text, code = f:apply(VERSION:format("v4") .. MODEL:format('version = "v4"'), "")
fleet.equal("applied: " .. text, code, 0)
until_state("rolled back because loads failed", function(r) return r.state == "rolled-back" and r.why == "loads-failed" end)
for _, e in ipairs(f.engines) do e:fault("fail_loads=0") end
until_state("v2 serves everywhere after the second rollback", function(r) return r.settled and r.serving_from == 4 end)

-- Fewer replicas: the other targets unload the version. An engine that loses all its models loads them again.
text, code = f:apply(MODEL:format('version = "v2"\nreplicas = 2'))
fleet.equal("applied: " .. text, code, 0)
until_state("two replicas", function(r) return r.settled and r.to == "v2" and r.targets == 2 and r.serving_to == 2 end)
for _, e in ipairs(f.engines) do e:fault("forget=1") end
fleet.eventually("the loss is detected", function() local r = rollout() return r and not r.settled end)
fleet.eventually("loaded again", function()
  local r = rollout()
  return r and r.settled and r.serving_to == 2
end)
send_chat()
for _, e in ipairs(f.engines) do fleet.equal("old orders", e:stats().models.stale, 0) end
local r = run.http{url = "http://" .. f:wait_leader().health, method = "PUT", path = "/v1/resources/rollout/register",
  body = '{"spec": {}}'}
fleet.equal("code for an operator's change of a rollout", r["Peatwell-Code"], "1007")
f:stop()
