-- A new configuration takes the last tenant away, with its keys. Requests with a key that no configuration ever held, with
-- the key that was taken away and without a key must not run any more. Without the disruption the tenant stays.
package.path = package.path .. ";review/?.lua"
local platform = require("platform-2")
local TROUBLE = os.getenv("TROUBLE") ~= "0"
local IN_FORCE_MS = 5000 -- configMs is 2,000, contactMs 3,000
local NEVER_HELD = "zz0000000000000never"
local REQUESTS = 20
local p = platform.new(os.getenv("RECORD"))

p:add_site(2)
for _, m in ipairs(p.machines) do p:start(m, true) end
local replicas = {p:start_replica(81, p.core), p:start_replica(82, p.core)}
if not p:put(1, 20000) then
  p:finish("no-run", "the first configuration was not acknowledged")
  return
end
run.pause(IN_FORCE_MS)
local served = p:ask(REQUESTS)
local _, before = p:ask(REQUESTS, NEVER_HELD)
if served == 0 or p:count_runs(before, replicas) > 0 then
  p:finish("no-run", "the first configuration is not in force")
  return
end

if not p:put(2, 20000, TROUBLE and "" or nil) then
  p:finish("no-run", "the second configuration was not acknowledged")
  return
end
run.pause(IN_FORCE_MS)
p:get(5000)
local _, unknown = p:ask(REQUESTS, NEVER_HELD)
local _, taken = p:ask(REQUESTS)
local _, none = p:ask(REQUESTS, false)
local ran_unknown, ran_taken, ran_none =
  p:count_runs(unknown, replicas), p:count_runs(taken, replicas), p:count_runs(none, replicas)
p:note("replicas  ran %d requests with a key that no configuration ever held, %d with the first key, %d without a key",
  ran_unknown, ran_taken, ran_none)
if ran_unknown > 0 then
  p:finish("broken", ran_unknown .. " requests ran with a key that no configuration ever held")
elseif TROUBLE and ran_taken + ran_none > 0 then
  p:finish("broken", "requests ran with a dropped key, or without one")
else
  p:finish("held", "no request ran with a key that no configuration ever held")
end
