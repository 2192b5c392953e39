-- Guards against the fault of 43_crashing_request on the way over agents: entries forgot a request that
-- crashes each engine or service that runs it as soon as it was answered. One chat crashed three engines in
-- one try (PW_ATTEMPTS_MAX), and three more each time it was sent again.
--
-- Here it crashes three targets, and no agent gets it after that, at whichever entry it arrives.
local fleet = require("fleet")
local MAX_CRASHES, REQUESTS = 3, 6
local f = fleet.new{control = 1, entries = 2, engines = 7, services = 5}
f:start()

local count_crashed = fleet.end_counter(f.engines)

local wait_ends_counted = fleet.wait_ends_counted

local function is_refused(r)
  local doc = r.status == 503 and run.json(r.body)
  return doc and doc.error.name == "quarantined"
end

local function charge(body, entry)
  return run.http{url = "http://" .. entry.health, method = "POST", path = "/v1/services/portal/charge", body = body,
    headers = {Authorization = "Bearer " .. fleet.KEYS.kett}, timeout = 20}
end

local function chat(o, entry)
  o.entry = entry
  return run.http(f:chat(o))
end

local KINDS = {
  {what = "a chat", ask = function(e) return chat({text = "crash-engine whole"}, e) end,
    other = function(e) return chat({text = "well"}, e) end},
  {what = "a stream", ask = function(e) return chat({text = "crash-engine stream", stream = true}, e) end,
    other = function(e) return chat({text = "well", stream = true}, e) end},
  {what = "a call of a service", ask = function(e) return charge("crash", e) end,
    other = function(e) return charge("well", e) end}}
local before = 0
for _, kind in ipairs(KINDS) do
  local refused = 0
  for i = 1, REQUESTS do
    local r = kind.ask(f.entries[i % 2 + 1])
    fleet.eventually("the target that ran it has crashed", function() return count_crashed() > before or is_refused(r) end)
    local crashed = count_crashed()
    fleet.expect(kind.what .. " crashes " .. MAX_CRASHES .. " targets, not " .. crashed - before, crashed - before <= MAX_CRASHES)
    for _, e in ipairs(f.entries) do wait_ends_counted(e, crashed) end
    if is_refused(r) then
      refused = refused + 1
      fleet.equal(kind.what .. ": outcome of a refusal", r["Peatwell-Outcome"], "not-run")
    end
  end
  fleet.equal(kind.what .. ": crashed targets", count_crashed() - before, MAX_CRASHES)
  fleet.expect(kind.what .. " is refused at each entry: " .. refused, refused >= REQUESTS - MAX_CRASHES)
  before = count_crashed()
  for _, e in ipairs(f.entries) do
    local r
    fleet.eventually(kind.what .. ": others are served", function()
      r = kind.other(e)
      return r.status == 200
    end)
  end
end
f:stop()
