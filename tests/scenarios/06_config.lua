-- Guards against an accepted change that is lost, reverted or not applied everywhere within seconds.
-- Operators change the same resource at once and resend; the leader is suspended; an entry is cut off; an
-- entry and an agent are down during hundreds of changes.
local fleet = require("fleet")
local f = fleet.new{control = 3, entries = 2, engines = 2, entry = "stale_ms = 1500", agent = "stale_ms = 3000"}
f:start()

local function put(server, name, spec, version, key)
  local r = run.http{url = "http://" .. server, method = "PUT", path = "/v1/resources/model/" .. name, timeout = 15,
    headers = {["Idempotency-Key"] = key}, body = string.format('{"spec": %s%s}', spec,
    version and ', "version": ' .. version or "")}
  return r, run.json(r.body)
end
local function get(name)
  local l = f:wait_leader()
  return run.json(run.http{url = "http://" .. l.health, path = "/v1/resources/model/" .. name}.body)
end

-- Operators change a resource at once with equal versions: exactly one succeeds, the others are told the new
-- version.
for round = 1, 5 do
  local version, calls, wins = round == 1 and 0 or get("raced").version, {}, 0
  for i = 1, 8 do
    calls[i] = run.http_start{url = "http://" .. f.entries[i % 2 + 1].health, method = "PUT",
      path = "/v1/resources/model/raced", timeout = 15,
      body = string.format('{"spec": {"context_tokens": %d}, "version": %d}', round * 100 + i, version)}
  end
  local winner
  for i = 1, 8 do
    local r = run.http_wait(calls[i])
    if r.status == 200 then
      wins, winner = wins + 1, round * 100 + i
    else
      fleet.equal("loser's code " .. r.body, r["Peatwell-Code"], "4001")
      fleet.expect("the refusal shows the stored resource", #run.json(r.body).resources == 1)
    end
  end
  fleet.equal("winners of round " .. round, wins, 1)
  fleet.equal("the stored value", get("raced").spec.context_tokens, winner)
end

-- A resend gets the first result, across a change of leader and a restart.
local leader = f:wait_leader()
local r1, first = put(leader.health, "resent", '{"context_tokens": 1}', nil, "resend-key")
fleet.equal("first put", r1.status, 200)
put(leader.health, "resent", '{"context_tokens": 2}', nil, "other-key")
leader:kill()
fleet.eventually("another leader", function() local l = f:leader() return l and l ~= leader end)
leader:start()
local r2, again = put(f:wait_leader().health, "resent", '{"context_tokens": 1}', nil, "resend-key")
fleet.equal("resend status", r2.status, 200)
fleet.equal("resend's revision", again.revision, first.revision)
fleet.equal("the later change is kept", get("resent").spec.context_tokens, 2)
local r3 = put(f:wait_leader().health, "resent", '{"context_tokens": 9}', nil, "resend-key")
fleet.equal("same key, other body", r3["Peatwell-Code"], "4006")

-- A suspended leader continues: it gives no stale answer, and its changes do not count.
leader = f:wait_leader()
leader:pause()
local fresh = fleet.eventually("another leader", function()
  local l = f:leader()
  return l and l ~= leader and l
end)
fleet.equal("change under the new leader", (put(fresh.health, "raced", '{"context_tokens": 4242}')).status, 200)
leader:continue()
for _ = 1, 20 do
  local r = run.http{url = "http://" .. leader.health, path = "/v1/resources/model/raced", timeout = 5}
  if r.status == 200 then
    fleet.equal("read from the resumed leader", run.json(r.body).spec.context_tokens, 4242)
  end
end

-- An entry that is cut off stops accepting work and catches up after it reconnects. The suspended leader has
-- already cut off entries and agents: all must have contact again before the check, or the refusal comes from
-- an agent that has none yet.
for _, p in ipairs{f.entries[1], f.entries[2], f.agents[1], f.agents[2]} do f:wait_ready(p) end
for _, c in ipairs(f.control) do c:pause() end
fleet.eventually("entries refuse", function()
  local r = f:ask{text = "cut off"}
  return r["Peatwell-Code"] == "2006" and r["Peatwell-Outcome"] == "not-run"
end, 8000)
fleet.equal("ready", f.entries[1]:get("/health/ready").status, 503)
for _, c in ipairs(f.control) do c:continue() end
for _, e in ipairs(f.entries) do f:wait_ready(e) end

-- An entry and an agent are down during 500 changes. They accept no work before they have caught up, and what
-- was withdrawn meanwhile stays withdrawn.
f.entries[1]:kill()
f.agents[1]:kill()
local text, code = f:peatwell("drain engine-1")
fleet.equal("drain: " .. text, code, 0)
local started = f.engines[1]:stats().started
for batch = 1, 5 do
  local list = {}
  for i = 1, 100 do
    list[i] = string.format('{"kind": "model", "name": "bulk-%d", "spec": {"context_tokens": %d}}', i, batch)
  end
  local r = run.http{url = "http://" .. f:wait_leader().health, method = "POST", path = "/v1/resources",
    body = '{"resources": [' .. table.concat(list, ",") .. ']}'}
  fleet.equal("bulk change", r.status, 200)
end
f.entries[1]:start()
f.agents[1]:start()
f:wait_ready(f.entries[1])
f:wait_ready(f.agents[2]) -- it lost its parent with the entry, and is the only target left
for i = 1, 10 do
  local o = {entry = f.entries[1], text = "after restart " .. i}
  fleet.expect("answered after the restart", fleet.is_answer(f:ask(o), o))
end
fleet.equal("work at the target drained meanwhile", f.engines[1]:stats().started, started)
text, code = f:peatwell("status --wait")
fleet.equal("in force everywhere: " .. text, code, 0)
local revision = select(2, f:leader()).revision
for _, p in ipairs{f.entries[1], f.entries[2], f.agents[1], f.agents[2]} do
  fleet.eventually(p.name .. " has the newest revision", function() return p:counter("revision") == revision end)
end

-- Changes that touch no target must not rebuild placement tables.
local tables = f.entries[1]:counter("tables_built_total")
for i = 1, 50 do put(f:wait_leader().health, "busy", '{"context_tokens": ' .. i .. '}') end
revision = select(2, f:leader()).revision
fleet.eventually("the entry has them", function() return f.entries[1]:counter("revision") == revision end)
fleet.equal("tables built meanwhile", f.entries[1]:counter("tables_built_total"), tables)

-- Invalid changes get a clear error, and nothing is lost.
local function refused(what, code_want, path, body)
  local r = run.http{url = "http://" .. f:wait_leader().health, method = "PUT", path = "/v1/resources/" .. path, body = body}
  fleet.equal(what, r["Peatwell-Code"], tostring(code_want))
end
refused("unknown field", 4002, "model/x", '{"spec": {"colour": 1}}')
refused("missing reference", 4005, "target/x", '{"spec": {"agent": "tcp://127.0.0.1:1", "models": ["nothing"]}}')
refused("unknown kind", 1005, "zebra/x", '{"spec": {}}')
refused("no spec", 1001, "model/x", '{}')
fleet.equal("revision after bad changes", select(2, f:leader()).revision, revision + 1) -- the missing reference took one

-- apply is declarative: a second run changes nothing, and --dry-run only shows the changes.
local toml = f:resources_toml()
text = f:apply(toml)
text = f:apply(toml)
fleet.expect("no change: " .. text, text:find("no change"))
text = f:apply(toml:gsub("weight = 1", "weight = 7"), "--dry-run")
fleet.expect("dry run shows: " .. text, text:find("+ weight = 7"))
fleet.expect("dry run changes nothing", f:apply(toml):find("no change"))
f:stop()
