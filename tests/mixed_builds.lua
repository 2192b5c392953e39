-- mixed_builds.lua: two builds of the daemon side by side, run by hand:
--   OTHER_BIN=DIR pwscenario --bin build tests/mixed_builds.lua
-- Guards against a change of stored data, settings or messages between builds: the build under test starts on the
-- data and settings that the other one wrote, then processes of both serve calls together, each in turn as the leader.
local fleet = require("fleet")
local gateways = require("gateways")
local other = assert(os.getenv("OTHER_BIN"), "OTHER_BIN: folder of the other build's programs")

local function use(p, dir) p.argv[1] = dir .. "/peatwelld" end
local function use_all(lists, dir)
  for _, list in ipairs(lists) do
    for _, p in ipairs(list) do use(p, dir) end
  end
end
local function stop_all(lists)
  for _, list in ipairs(lists) do
    for _, p in ipairs(list) do fleet.equal(p.name .. " exit code", p:stop(), 0) end
  end
end
local function start_all(lists)
  for _, list in ipairs(lists) do
    for _, p in ipairs(list) do p:start() end
  end
end
local function roll_out(f, version)
  f:apply(string.format('[[resource]]\nkind = "version"\nname = %q\n[resource.spec]\nmodel = "register"\nstep_s = 0\nmin_requests = 0\n' ..
    '[[resource]]\nkind = "model"\nname = "register"\n[resource.spec]\nversion = %q\n', version, version), "")
  local text, code = f:peatwell("status --wait")
  fleet.equal("rolled out " .. version .. ": " .. text, code, 0)
end

-- Entries, agents and a control group.
local f = fleet.new{control = 3, entries = 2, engines = 2, services = 1, control_text = "snapshot_every = 20"}
local daemons = {f.entries, f.agents, f.control}
use_all(daemons, other)
f:start()
local function charge(i, body)
  return f:once{once = "charge-" .. i, body = body or "fee " .. i, entry = f.entries[i % 2 + 1]}
end
local function ask_both(what)
  for i, e in ipairs(f.entries) do
    for n = 1, 4 do
      local o = {entry = e, chat = "chat-" .. n, text = what .. i .. n, max_tokens = 5, stream = n % 2 == 0}
      fleet.expect(what .. " at " .. e.name, fleet.is_answer(f:ask(o), o))
    end
  end
end
local function check_charges(what, n)
  local portal = f.engines[3]
  local ran = portal:stats().total
  for i = 1, n do
    fleet.equal(what .. ": charge " .. i .. " again", charge(i).status, 200)
    fleet.equal(what .. ": charge " .. i .. " with another body", charge(i, "other")["Peatwell-Code"], "4006")
  end
  fleet.equal(what .. ": charges that ran again", portal:stats().total, ran)
end
for i = 1, 12 do fleet.equal("charge " .. i, charge(i).status, 200) end
roll_out(f, "v1")
for i = 1, 30 do
  f:apply(string.format('[[resource]]\nkind = "policy"\nname = "p%d"\n[resource.spec]\nonce_keep_s = %d\n', i % 3, 3600 + i), "")
end
ask_both("other build")
local function snapshots()
  local p = io.popen("ls " .. f.control[1].data_dir)
  local names = p:read("a")
  p:close()
  return names
end
fleet.expect("a snapshot was written: " .. snapshots(), snapshots():find("snapshot"))
local before = f:peatwell("get")
stop_all(daemons)

use_all(daemons, run.bin)
start_all(daemons)
f:wait_leader()
for _, p in ipairs(f.entries) do f:wait_ready(p) end
for _, p in ipairs(f.agents) do f:wait_ready(p) end
local function specs(text) return (text:gsub("rollout[^\n]*\n", ""):gsub("assignment[^\n]*\n", "")) end
fleet.equal("resources that the other build wrote", specs(f:peatwell("get")), specs(before))
check_charges("on the other build's data", 12)
ask_both("this build")
print("old data and settings of control, entry and agent: read")

-- The first process of each role is of the other build, then of this one again, while a leader of each serves.
local function mixed(dirs, what)
  for _, list in ipairs(daemons) do
    for i, p in ipairs(list) do
      local dir = dirs[(i - 1) % #dirs + 1]
      if p.argv[1] ~= dir .. "/peatwelld" then
        fleet.equal(p.name .. " exit code", p:stop(), 0)
        use(p, dir)
        p:start()
        f:wait_leader()
      end
    end
  end
  for _, p in ipairs(f.entries) do f:wait_ready(p) end
  for _, p in ipairs(f.agents) do f:wait_ready(p) end
  ask_both(what)
end
mixed({other, run.bin, run.bin}, "one of the other build")
local led = {}
local changes = 0
for _ = 1, 40 do
  if led[other] and led[run.bin] then break end
  local leader = f:wait_leader()
  local dir = leader.argv[1]:match("^(.*)/peatwelld$")
  led[dir] = true
  changes = changes + 1
  fleet.equal("charge under " .. leader.name, charge(100 + changes).status, 200)
  check_charges("under " .. leader.name, 12)
  local text, code = f:apply(string.format('[[resource]]\nkind = "policy"\nname = "p0"\n[resource.spec]\nonce_keep_s = %d\n', 7200 + changes))
  fleet.equal("in force everywhere: " .. text, code, 0)
  ask_both("led by " .. leader.name)
  leader:kill()
  f:wait_leader()
  leader:start()
end
fleet.expect("a leader of each build", led[other] and led[run.bin])
roll_out(f, "v2")
mixed({run.bin, other, other}, "two of the other build")
roll_out(f, "v3")
check_charges("two of the other build", 12)
print("control, entries and agents of both builds served together; each build led; changes of leader: " .. changes)
stop_all(daemons)
for _, p in ipairs(f.engines) do p:kill() end

-- Gateways and their control group.
local g = gateways.new{control = 3, gateways = 2, engines = 2, portals = 2, zones = {["portal-2"] = "az-2", ["engine-2"] = "az-2"}}
use_all({g.control, g.gateways}, other)
g:start()
local function serve(what)
  for i, p in ipairs(g.gateways) do
    fleet.equal(what .. ": safe call at " .. p.name, g:ask{path = "/safe/a", method = "GET", gateway = p}.status, 200)
    fleet.equal(what .. ": charge at " .. p.name, g:ask{path = "/once/a", body = "fee", gateway = p}.status, 200)
    local r = g:ask{path = "/chat/a", events = 5, body = "q" .. i, gateway = p}
    fleet.expect(what .. ": stream at " .. p.name .. ": " .. r.status, gateways.is_stream(r, 5))
  end
end
serve("other build")
local version = g:publish(g:config())
g:wait_in_force(version)
stop_all({g.gateways, g.control})
use_all({g.control, g.gateways}, run.bin)
start_all({g.control, g.gateways})
fleet.equal("configuration of the other build", fleet.eventually("a read", function() return g:stored_config() end).version, version)
g:wait_in_force(version)
g:wait_ready()
serve("on the other build's data")
print("old data and settings of gateways' control: read")

local function knows_streams(what)
  local handles = {}
  for _, t in ipairs(g.targets) do t:fault("gap=300") end
  for i = 1, 4 do handles[i] = run.http_start((g:call{path = "/chat/s", events = 8, body = what .. i, gateway = g.gateways[1]})) end
  fleet.eventually(what .. ": the other gateway knows of 4 streams", function()
    return g.gateways[2]:counter("gateway_others") == 4
  end)
  for _, h in ipairs(handles) do run.http_wait(h) end
  for _, t in ipairs(g.targets) do t:fault("gap=0") end
end
for round, dirs in ipairs{{other, run.bin, run.bin}, {run.bin, other, other}} do
  local what = round == 1 and "one of the other build" or "two of the other build"
  for _, list in ipairs{g.control, g.gateways} do
    for i, p in ipairs(list) do
      fleet.equal(p.name .. " exit code", p:stop(), 0)
      use(p, dirs[i])
      p:start()
    end
  end
  g:wait_in_force(version)
  g:wait_ready()
  for _, p in ipairs(g.gateways) do
    fleet.eventually(what .. ": " .. p.name .. " knows all targets", function() return p:counter("gateway_targets") >= #g.targets end)
  end
  version = g:publish(g:config())
  g:wait_in_force(version)
  serve(what)
  knows_streams(what)
end
print("gateways and control instances of both builds served together")
g:stop()
