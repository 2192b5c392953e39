-- Guards against streams joined from two software versions at a gateway that has just continued after a standstill: it took
-- its record of the versions for current although targets of another one had joined meanwhile.
local fleet = require("fleet")
local FORGOTTEN_MS = 2500 -- longer than control instances send notices to a gateway that is silent
local CONTINUE_AFTER_MS = 200
local ROUNDS, ROUND_MS = 20, 10
local r = require("resumed").new()
local g = r.g
local still, running = g.gateways[1], {g.gateways[2], g.gateways[3]}

still:signal("STOP")
run.pause(FORGOTTEN_MS)
for i = 1, 3 do g:add_target("engine-new-" .. i, "llm", nil, "v1.1"):start() end
for _, p in ipairs(running) do
  fleet.eventually(p.name .. " knows the new targets", function() return p:counter("gateway_targets") >= #g.targets end)
end
run.pause(r.TOLD_MS)
local begun = r:begin{gateways = running, version = "v1.1"}
local unnamed, named = {}, {}
for i, s in ipairs(begun) do table.insert(i % 2 == 0 and named or unnamed, s) end
fleet.expect("streams begin at the new version", #unnamed > 0 and #named > 0)

-- They are resumed there at once: before it continues, so that the requests wait in its sockets, and right after that.
local first, rounds = r:start_resuming(named, {gateway = still, names_attempt = true}), {}
rounds[1] = r:start_resuming(unnamed, {gateway = still})
run.pause(CONTINUE_AFTER_MS)
still:signal("CONT")
for i = 2, ROUNDS do
  rounds[i] = r:start_resuming(unnamed, {gateway = still})
  run.pause(ROUND_MS)
end
for i, resumed in ipairs(rounds) do r:expect_refused_or_own("resumed without a name, round " .. i, resumed) end
local went_on = r:expect_refused_or_own("resumed by name", first)
fleet.expect("named streams go on: " .. went_on .. " of " .. #named, went_on >= 0.9 * #named)
g:stop()
