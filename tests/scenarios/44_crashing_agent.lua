-- The same fault as gateways had, on the way over agents: a request that ends each engine or service
-- that begins to run it came again, and entries remembered nothing of it once it was answered. A chat
-- alone ended three engines in one try (PW_ATTEMPTS_MAX), and three more each time that it came.
-- Here: it ends three targets, and no agent gets it after that, whichever entry it comes to.
local fleet = require("fleet")
local MOST, ASKS = 3, 6
local f = fleet.new{control = 1, entries = 2, engines = 7, services = 5}
f:start()

local count_ended = fleet.counter_of_ends(f.engines)

local knows = fleet.wait_told_ends

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
  for i = 1, ASKS do
    local r = kind.ask(f.entries[i % 2 + 1])
    fleet.eventually("the target has ended that had it", function() return count_ended() > before or is_refused(r) end)
    local ended = count_ended()
    fleet.expect(kind.what .. " ends " .. MOST .. " targets, not " .. ended - before, ended - before <= MOST)
    for _, e in ipairs(f.entries) do knows(e, ended) end
    if is_refused(r) then
      refused = refused + 1
      fleet.equal(kind.what .. ": it did not run", r["Peatwell-Outcome"], "not-run")
    end
  end
  fleet.equal(kind.what .. ": targets that ended", count_ended() - before, MOST)
  fleet.expect(kind.what .. " is refused at each entry: " .. refused, refused >= ASKS - MOST)
  before = count_ended()
  for _, e in ipairs(f.entries) do
    local r
    fleet.eventually(kind.what .. ": others are served", function()
      r = kind.other(e)
      return r.status == 200
    end)
  end
end
f:stop()
