-- Guards against streams joined from two software versions while the leader of the control group stands still: a stream
-- began at a version that was not recorded yet, and was resumed at a gateway that knew of one version only.
local fleet = require("fleet")
local ROUNDS, BEGIN_FOR_MS, FIRST_EVENT_BYTES = 4, 2500, 20
local r = require("resumed").new(ROUNDS) -- a service a round: from its second version on, no stream is resumed unnamed
local g = r.g
local resumed_in_all = 0
for round = 1, ROUNDS do
  local o = {path = "/again-" .. round .. "/x", version = "v1.1", may_be_none = true, bytes = FIRST_EVENT_BYTES}
  local leader = g:leader()
  local new = g:add_target("engine-" .. round .. "-new", "llm-" .. round, nil, o.version)
  leader:signal("STOP")
  new.argv[3] = g:followers(leader)[round % 2 + 1].health
  new:start()
  -- Streams begin there as soon as a gateway lets them, and are resumed everywhere at once: gateways learn of targets from
  -- different control instances, so that some do not know the new one yet.
  local ends, found = run.now() + BEGIN_FOR_MS, 0
  repeat
    local begun = r:begin(o)
    local resumed = {}
    for i, p in ipairs(g.gateways) do resumed[i] = r:start_resuming(begun, {gateway = p}) end
    for i, list in ipairs(resumed) do r:expect_refused_or_own("round " .. round .. ", gateway-" .. i, list) end
    found = found + #begun
  until found > 0 or run.now() > ends
  resumed_in_all = resumed_in_all + found
  leader:signal("CONT")
  fleet.eventually("streams begin at the new version", function() return #r:begin(o) > 0 end)
end
fleet.expect("streams of new versions are resumed while a leader stands still", resumed_in_all > 0)
g:stop()
