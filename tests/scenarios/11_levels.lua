-- Guards against configuration that does not reach the lower level of the distribution tree. Two entries get
-- it through two other entries; a parent is killed, the leader changes, and control is suspended.
local fleet = require("fleet")
local function parents(f) return {f.entry_wires[1], f.entry_wires[2]} end
local f = fleet.new{control = 3, entries = 4, engines = 2, services = 1, entry = "stale_ms = 2500",
  relays_of = {[3] = parents, [4] = parents}}
f:start()

local _, st = f:leader()
fleet.equal("children of the leader", #st.children, 2)
fleet.equal("processes below the leader", st.in_force.processes, 8)
fleet.equal("entries counted", st.in_force.entries, 4)

-- The deduplication ledger and the resource API are reachable from the lower level.
local r = f:once{entry = f.entries[3], once = "low", body = "claim from below"}
fleet.equal("once from below: " .. r.body, r.status, 200)
r = run.http{url = "http://" .. f.entries[4].health, method = "PUT", path = "/v1/resources/model/below", body = '{"spec": {}}'}
fleet.equal("change from below", r.status, 200)
local text, code = f:peatwell("status --wait")
fleet.equal("in force everywhere: " .. text, code, 0)

-- A parent is killed: its children connect to the other one.
f.entries[1]:kill()
text, code = f:peatwell("drain engine-1")
fleet.equal("drain: " .. text, code, 0)
local _, now = f:leader()
for i = 2, 4 do
  fleet.eventually("the drain arrives at entry " .. i, function() return f.entries[i]:counter("revision") >= now.revision end)
end
for i = 3, 4 do
  local o = {entry = f.entries[i], text = "through the other parent " .. i}
  fleet.expect("answered", fleet.is_answer(f:ask(o), o))
end
f.entries[1]:start()
f:wait_ready(f.entries[1])

-- The leader changes: the lower level learns the new one.
local leader = f:wait_leader()
leader:kill()
fleet.eventually("another leader", function() local l = f:leader() return l and l ~= leader end)
fleet.eventually("once under the new leader", function()
  return f:once{entry = f.entries[3], once = "after", body = "after"}.status == 200
end)
leader:start()

-- Control is suspended: the lower level stops accepting work, too.
for _, c in ipairs(f.control) do c:pause() end
fleet.eventually("the lower level refuses", function()
  return f:ask{entry = f.entries[3], text = "cut off"}["Peatwell-Code"] == "2006"
end, 15000)
for _, c in ipairs(f.control) do c:continue() end
f:wait_ready(f.entries[3])
f:stop()
