-- Guards against a control instance that was suspended while it waited for the confirmation of a read, takes its
-- own stall for silence of the leader and sends the caller away, though the confirmation is in its socket.
local fleet = require("fleet")
local gateways = require("gateways")
local CONFIRM_MS = 700 -- limit of a control instance for a confirmation
local ROUNDS = 3
local g = gateways.new{control = 3, gateways = 1, engines = 0, portals = 1}
g:start()

-- The leader is suspended until the read has come, so that its confirmation arrives while the instance that was
-- asked is suspended: for a little less than the limit, a little more, and ten times as long.
for _, times in ipairs{0.8, 1.3, 10} do
  for round = 1, ROUNDS do
    local version = g:publish(g:config())
    local first = g:leader()
    local asked = g:followers(first)[1]
    first:pause()
    local read = gateways.start_read(asked)
    run.pause(30)
    asked:pause()
    first:continue()
    run.pause(math.floor(times * CONFIRM_MS))
    asked:continue()
    local r = run.http_wait(read)
    local what = string.format("suspended for %g times the limit, round %d: ", times, round)
    fleet.equal(what .. "status", r.status, 200)
    fleet.equal(what .. "version", run.json(r.body).version, version)
  end
end
g:stop()
