-- Promise: a backup makes the declared resources so again on a group that lost
-- everything; a file that is no backup changes nothing.
local fleet = require("fleet")
local f = fleet.new{control = 3, entries = 1, engines = 1, entry = "stale_ms = 1500"}
f:start()
local file = f.dir .. "/backup.json"
local text, code = f:peatwell("backup " .. file)
fleet.equal("backup: " .. text, code, 0)
local before = f:peatwell("get")

-- All three disks are lost.
for _, c in ipairs(f.control) do c:kill() end
for _, c in ipairs(f.control) do os.execute("rm -rf " .. c.data_dir) end
for _, c in ipairs(f.control) do c:start() end
f:wait_leader()
fleet.expect("nothing is left", not f:peatwell("get"):find("workspace"))
-- The entry followed the group that was lost: it hears no other in this life.
fleet.eventually("the entry is cut off", function()
  return f.entries[1]:get("/health/ready").status == 503
end)
text, code = f:peatwell("restore " .. file)
fleet.equal("restore: " .. text, code, 0)
local function names(t) return (t:gsub("%s+%d+%s+%d+%s+{", " {")) end
fleet.equal("resources after the restore", names(f:peatwell("get")), names(before))

for _, p in ipairs{f.entries[1], f.agents[1]} do
  p:kill()
  p:start()
end
f:wait_ready(f.entries[1])
f:wait_ready(f.agents[1])
local o = {text = "under the new group"}
fleet.expect("answered under the new group", fleet.is_answer(f:ask(o), o))

-- Files that are no backups.
fleet.write(f.dir .. "/other.json", '{"resources": []}')
text, code = f:peatwell("restore " .. f.dir .. "/other.json")
fleet.equal("no backup: " .. text, code, 3)
fleet.write(f.dir .. "/cut.json", fleet.read(file):sub(1, -40))
text, code = f:peatwell("restore " .. f.dir .. "/cut.json")
fleet.equal("cut backup: " .. text, code, 3)
fleet.equal("nothing changed", names(f:peatwell("get")), names(before))
f:stop()
