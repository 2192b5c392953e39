-- Guards against a restore that loses declared resources or runs a request again. All control instances lose
-- their disks; the backup is restored on the new group. A request that is not repeatable must not run again
-- although the ledger is lost, and a file that is no backup changes nothing.
local fleet = require("fleet")
local f = fleet.new{control = 3, entries = 1, engines = 1, services = 1, entry = "stale_ms = 1500"}
f:start()
-- Two changes of leader raise the term of the old group's orders above the term at which a new group starts
-- counting.
for _ = 1, 2 do
  local first = f:wait_leader()
  first:kill()
  f:wait_leader()
  first:start()
end
-- What the leader writes itself is not part of a backup and is created again after the restore.
f:apply('[[resource]]\nkind = "version"\nname = "v1"\n[resource.spec]\nmodel = "register"\nstep_s = 0\nmin_requests = 0\n' ..
  '[[resource]]\nkind = "model"\nname = "register"\n[resource.spec]\nversion = "v1"\n', "")
local rolled, why = f:peatwell("status --wait")
fleet.equal("rolled out: " .. rolled, why, 0)
-- A resource of another kind may have the name of the policy that the restore creates.
f:apply('[[resource]]\nkind = "model"\nname = "once-hold"\n', "")
local portal = f.engines[2]
local function charge() return f:once{once = "charge-1", body = "a fee"} end
fleet.equal("the charge", charge().status, 200)
local file = f.dir .. "/backup.json"
local text, code = f:peatwell("backup " .. file)
fleet.equal("backup: " .. text, code, 0)
local before = f:peatwell("get")

-- All three disks are lost.
for _, c in ipairs(f.control) do c:kill() end
for _, c in ipairs(f.control) do os.execute("rm -rf " .. c.data_dir) end
for _, c in ipairs(f.control) do c:start() end
f:wait_leader()
fleet.expect("no resources are left", not f:peatwell("get"):find("workspace"))
-- The entry followed the lost group and does not accept another one until it is restarted.
fleet.eventually("the entry is cut off", function()
  return f.entries[1]:get("/health/ready").status == 503
end)
text, code = f:peatwell("restore " .. file)
fleet.equal("restore: " .. text, code, 0)
local function names(t)
  t = t:gsub("rollout[^\n]*\n", ""):gsub("assignment[^\n]*\n", "")
  t = t:gsub("policy%s+once%-hold[^\n]*\n", "")
  return (t:gsub("%s+%d+%s+%d+%s+{", " {"))
end
fleet.equal("resources after the restore", names(f:peatwell("get")), names(before))

for _, p in ipairs{f.entries[1], f.agents[1], f.agents[2]} do
  p:kill()
  p:start()
end
f:wait_ready(f.entries[1])
f:wait_ready(f.agents[1])
f:wait_ready(f.agents[2])
rolled, why = f:peatwell("status --wait")
fleet.equal("in force again: " .. rolled, why, 0)
local o = {text = "under the new group"}
local answer = f:ask(o)
fleet.expect("answered under the new group: " .. answer.body, fleet.is_answer(answer, o))

-- It is not known whether the charge ran: it is refused until the operator allows it.
local again = charge()
fleet.equal("the charge's resend", again["Peatwell-Code"], "4012")
fleet.equal("outcome of the charge's resend", again["Peatwell-Outcome"], "not-run")
fleet.expect("Retry-After is set", tonumber(again["Retry-After"]))
fleet.equal("runs of the charge", portal:stats().total, 1)
text, code = f:peatwell("restore " .. file)
fleet.expect("the backup is still of another group: " .. text, text:find("4012"))
text, code = f:peatwell("delete policy once-hold")
fleet.equal("exit code of delete policy: " .. text, code, 0)
fleet.equal("status of the charge without the policy", charge().status, 200)
f:peatwell("backup " .. file)
text, code = f:peatwell("restore " .. file)
fleet.expect("a backup of the same group refuses no resends: " .. text, not text:find("4012"))

-- Orders of the new group must be newer to an engine that remembers the orders of the old one.
f:apply('[[resource]]\nkind = "version"\nname = "v2"\n[resource.spec]\nmodel = "register"\nstep_s = 0\nmin_requests = 0\n' ..
  '[[resource]]\nkind = "model"\nname = "register"\n[resource.spec]\nversion = "v2"\n', "")
rolled, why = f:peatwell("status --wait")
fleet.equal("an order of the new group: " .. rolled, why, 0)
fleet.equal("orders refused as old", f.engines[1]:stats().models.stale, 0)
f:peatwell("backup " .. file)
before = f:peatwell("get")

-- Files that are not backups.
fleet.write(f.dir .. "/other.json", '{"resources": []}')
text, code = f:peatwell("restore " .. f.dir .. "/other.json")
fleet.equal("exit code for a file that is no backup: " .. text, code, 3)
fleet.write(f.dir .. "/cut.json", fleet.read(file):sub(1, -40))
text, code = f:peatwell("restore " .. f.dir .. "/cut.json")
fleet.equal("exit code for a truncated backup: " .. text, code, 3)
fleet.equal("resources after refused backups", names(f:peatwell("get")), names(before))
f:stop()
