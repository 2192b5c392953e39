-- Guards against lost changes and interruptions while a control group grows from one instance to three and to
-- five.
local fleet = require("fleet")
local f = fleet.new{control = 1, entries = 1, engines = 1}
f:start()

local function voters()
  local _, st = f:leader()
  local n = 0
  for _, m in ipairs(st and st.members or {}) do
    if m.role ~= "learner" and m.caught_up then n = n + 1 end
  end
  return n
end
local function put(i)
  return run.http{url = "http://" .. f:wait_leader().health, method = "PUT", path = "/v1/resources/model/grown-" .. i,
    body = '{"spec": {"context_tokens": ' .. i .. '}}', timeout = 15}.status
end

local peers = {f.peers[1]}
local wires = {}
for id = 2, 5 do
  wires[id] = {wire = run.port(), http = run.port()}
  peers[id] = id .. "=tcp://127.0.0.1:" .. wires[id].wire
end
for id = 2, 5 do
  fleet.equal("a change while it grows", put(id), 200)
  f.control[id] = f:control_instance(id, wires[id].wire, wires[id].http, peers)
  f.control[id]:start()
  fleet.eventually(id .. " voters", function() return voters() == id end, 30000)
  local o = {text = "while it grows " .. id}
  fleet.expect("callers are served", fleet.is_answer(f:ask(o), o))
end

-- The first instance and then a second one are killed: three of five go on.
for id = 1, 2 do
  f.control[id]:kill()
  f.control[id].gone = true
  fleet.eventually("a leader among the remaining instances", function() return f:leader() end)
end
for id = 2, 5 do
  local r = run.http{url = "http://" .. f:wait_leader().health, path = "/v1/resources/model/grown-" .. id}
  fleet.equal("an accepted change", run.json(r.body).spec.context_tokens, id)
end
fleet.equal("status of a change with three of five", put(9), 200)
f:stop()
