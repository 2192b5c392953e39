-- Guards against the loss of accepted changes with a disk. One control instance loses its disk, a second one
-- loses its own right after the repair, all are killed, an empty instance starts alone, and a disk is full. A
-- full disk must give an error code, not a crash.
local fleet = require("fleet")
local f = fleet.new{control = 3, entries = 1, engines = 1}
f:start()

local function put(name, value)
  local l = f:leader()
  if not l then return {status = 0} end
  return run.http{url = "http://" .. l.health, method = "PUT", path = "/v1/resources/model/" .. name, timeout = 15,
    body = string.format('{"spec": {"context_tokens": %d}}', value)}
end
local accepted = {}
local function accept(name, value)
  local r
  local ok = pcall(fleet.eventually, "accepted", function()
    r = put(name, value)
    return r.status == 200
  end)
  fleet.expect("accepted " .. name .. ": " .. r.status .. " " .. (r.body or ""), ok)
  accepted[name] = value
end
local function check(what)
  local l = f:wait_leader()
  for name, value in pairs(accepted) do
    local r = run.http{url = "http://" .. l.health, path = "/v1/resources/model/" .. name}
    fleet.equal(what .. ": " .. name, r.status == 200 and run.json(r.body).spec.context_tokens, value)
  end
end
-- Waits until the instance whose disk was lost is repaired: three voters, all caught up.
local function repaired()
  fleet.eventually("three voters, all caught up", function()
    local _, st = f:leader()
    local n = 0
    for _, m in ipairs(st and st.members or {}) do
      if m.role ~= "learner" and m.caught_up then n = n + 1 end
    end
    return n == 3 and #st.members == 3
  end, 30000)
end

for i = 1, 20 do accept("before-" .. i, i) end

-- One disk is lost: the instance starts empty, joins as a learner and becomes a voter.
local lost = f.control[1]
lost:kill()
os.execute("rm -rf " .. lost.data_dir)
lost:start()
fleet.eventually("the instance with the empty disk joins", function() return fleet.read(lost.log):find("group%-joined.*start.*group%-joined") end)
repaired()
accept("repaired", 100)

-- Right after the repair a second instance is lost with its disk.
local second = f.control[2]
second:kill()
os.execute("rm -rf " .. second.data_dir)
fleet.eventually("a leader of the two remaining instances", function() return f:leader() end)
check("after the second loss")
accept("with-two", 200)
second:start()
fleet.eventually("the instance with the empty disk joins", function() return fleet.read(second.log):find("group%-joined.*start.*group%-joined") end)
repaired()

-- All are killed at once and started again.
for _, c in ipairs(f.control) do c:kill() end
for _, c in ipairs(f.control) do c:start() end
f:wait_leader()
check("after all were killed")

-- An instance whose disk was emptied must not found a new group while the others are down.
for _, c in ipairs(f.control) do c:kill() end
os.execute("rm -rf " .. f.control[3].data_dir)
f.control[3]:start()
run.pause(1500)
fleet.equal("leader of an empty instance alone", f:leader(), nil)
f.control[1]:start()
f.control[2]:start()
f:wait_leader()
check("after an empty disk was alone")

-- The disk is full: changes are refused with a code, reads still work.
f:stop()
local g = fleet.new{control = 1, entries = 1, engines = 1, control_text = "snapshot_every = 1000000"}
g.control[1].file_limit = 600 * 1024
g:start()
local blob, refused = string.rep("x", 40000), nil
for i = 1, 60 do
  local r = run.http{url = "http://" .. g.control[1].health, method = "PUT", path = "/v1/resources/workspace/big-" .. i,
    timeout = 10, body = '{"spec": {"key_hashes": ["' .. blob .. '"]}}'}
  if r.status ~= 200 then refused = r break end
end
fleet.expect("a change is refused when the disk is full", refused ~= nil)
fleet.equal("code of a change with a full disk", refused["Peatwell-Code"], "5003")
fleet.equal("status of a read with a full disk", run.http{url = "http://" .. g.control[1].health, path = "/v1/resources"}.status, 200)
local o = {text = "still served"}
fleet.expect("a chat is answered with a full disk", fleet.is_answer(g:ask(o), o))
g.control[1]:kill()
g.control[1].file_limit = nil
g.control[1]:start()
fleet.eventually("changes are accepted again when the disk has space", function()
  return run.http{url = "http://" .. g.control[1].health, method = "PUT", path = "/v1/resources/model/roomy",
    body = '{"spec": {}}'}.status == 200
end)
g:stop()
