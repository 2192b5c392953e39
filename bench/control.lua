-- control.lua: measures the control group: changes, claims, failover, restart,
-- and traffic, memory and processor time of each role. The environment variables
-- PW_ENTRIES and PW_ENGINES set the size of the fleet.
local fleet = require("fleet")
local entries, engines = tonumber(os.getenv("PW_ENTRIES") or 2), tonumber(os.getenv("PW_ENGINES") or 4)
local f = fleet.new{control = 3, entries = entries, engines = engines, services = 1,
  agent = engines > 50 and "slots = 8" or ""}
local t0 = run.now()
f:start()
local processes = 3 + entries + engines + 1
print(string.format("%d processes of peatwell up and configured in %.1f s", processes, (run.now() - t0) / 1000))

local function sorted(t, q) table.sort(t) return t[math.max(1, math.ceil(#t * q))] end
local function change(i)
  return run.http{url = "http://" .. f:wait_leader().health, method = "PUT", path = "/v1/resources/model/m" .. i % 50,
    body = '{"spec": {"context_tokens": ' .. i .. '}}', timeout = 20}
end
local function usage(p)
  local stat = fleet.read("/proc/" .. p.pid .. "/stat"):match("%) (.*)")
  local n = {}
  for w in stat:gmatch("%S+") do n[#n + 1] = w end
  local rss = fleet.read("/proc/" .. p.pid .. "/status"):match("VmRSS:%s+(%d+)")
  return {cpu = (n[12] + n[13]) / 100, rss = tonumber(rss) / 1024, out = p:counter("control_sent_bytes_total"),
    inn = p:counter("control_received_bytes_total")}
end
local function measure(what, seconds, work)
  local before, at = {}, run.now()
  for _, p in ipairs(f.all) do if p.settings then before[p] = usage(p) end end
  work(seconds)
  local s = (run.now() - at) / 1000
  local roles = {}
  for p, b in pairs(before) do
    local a, role = usage(p), p.name:match("^%a+")
    if p == f:leader() then role = "leader" end
    local r = roles[role] or {n = 0, cpu = 0, rss = 0, out = 0, inn = 0}
    roles[role] = r
    r.n, r.cpu = r.n + 1, math.max(r.cpu, (a.cpu - b.cpu) / s * 100)
    r.rss, r.out, r.inn = math.max(r.rss, a.rss), math.max(r.out, (a.out - b.out) / s), math.max(r.inn, (a.inn - b.inn) / s)
  end
  for _, role in ipairs{"leader", "control", "entry", "agent"} do
    local r = roles[role]
    if r then
      print(string.format("| %s | %s | %d | %.2f | %.1f | %.0f | %.0f |", what, role, r.n, r.cpu, r.rss, r.out, r.inn))
    end
  end
end

-- Times changes, one after another, until accepted and until in force in a sample of the entries.
local accepted, everywhere = {}, {}
for i = 1, 40 do
  local at = run.now()
  local r = change(i)
  accepted[i] = r.us / 1000
  local revision = run.json(r.body).revision
  fleet.eventually("in force", function()
    for _, list in ipairs{f.entries} do
      for k, p in ipairs(list) do
        if k % math.ceil(#list / 4) == 0 and p:counter("revision") < revision then return false end
      end
    end
    return true
  end)
  everywhere[i] = run.now() - at
end
print(string.format("a change: accepted p50 %.1f ms, p99 %.1f ms; in force in a sample of the entries p50 %d ms, p99 %d ms",
  sorted(accepted, 0.5), sorted(accepted, 0.99), sorted(everywhere, 0.5), sorted(everywhere, 0.99)))

for _, width in ipairs{1, 64, 256} do
  local at, n, calls, lat = run.now(), width == 1 and 40 or width * 3, {}, {}
  for i = 1, n do
    calls[#calls + 1] = run.http_start{url = "http://" .. f:wait_leader().health, method = "PUT",
      path = "/v1/resources/model/m" .. i % 50, body = '{"spec": {"context_tokens": ' .. i .. '}}', timeout = 20}
    if #calls >= width then
      for _, h in ipairs(calls) do lat[#lat + 1] = run.http_wait(h).us / 1000 end
      calls = {}
    end
  end
  print(string.format("changes, %d at once: %.0f a second, p50 %.1f ms, p99 %.1f ms", width, n * 1000 / (run.now() - at),
    sorted(lat, 0.5), sorted(lat, 0.99)))
end
for _, width in ipairs{1, 64, 512} do
  local calls, lat, n = {}, {}, width == 1 and 40 or width * 2
  local at = run.now()
  for i = 1, n do
    calls[#calls + 1] = run.http_start(f:call{entry = f.entries[i % #f.entries + 1], body = "c" .. i,
      headers = {["Peatwell-Repeat"] = "never", ["Idempotency-Key"] = width .. "-" .. i}})
    if #calls >= width then
      for _, h in ipairs(calls) do lat[#lat + 1] = run.http_wait(h).us / 1000 end
      calls = {}
    end
  end
  local took, plain = run.now() - at, {}
  for i = 1, 40 do plain[i] = run.http(f:call{method = "GET"}).us / 1000 end
  print(string.format("once-requests, %d at once: %.0f a second, p50 %.1f ms, p99 %.1f ms (a plain call: p50 %.1f ms)",
    width, n * 1000 / took, sorted(lat, 0.5), sorted(lat, 0.99), sorted(plain, 0.5)))
end

print("| load | role | processes | most processor % | most MB | most B/s sent | most B/s received |")
print("| --- | --- | --- | --- | --- | --- | --- |")
measure("idle", 5, function(s) run.pause(s * 1000) end)
measure("0.72 changes/s (62,000 a day)", 10, function(s)
  for i = 1, math.floor(s * 0.72 + 0.5) do
    change(i)
    run.pause(1380)
  end
end)

local leader = f:wait_leader()
local at = run.now()
leader:kill()
fleet.eventually("another leader", function() local l = f:leader() return l and l ~= leader end)
print(string.format("failover: a new leader under its lease %.0f ms after the old one was killed", run.now() - at))
leader:start()

local victim = f.entries[1]
victim:kill()
for batch = 1, 10 do
  local list = {}
  for i = 1, 50 do list[i] = string.format('{"kind": "model", "name": "b%d-%d", "spec": {"context_tokens": %d}}', batch, i, batch) end
  run.http{url = "http://" .. f:wait_leader().health, method = "POST", path = "/v1/resources",
    body = '{"resources": [' .. table.concat(list, ",") .. ']}', timeout = 20}
end
at = run.now()
victim:start()
f:wait_ready(victim)
print(string.format("an entry that missed 500 changes is ready %.0f ms after its start", run.now() - at))
f:stop()
