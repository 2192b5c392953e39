-- Guards against a status that promises no run (503, 429, 408) for a request that may have run. The request
-- crashes the target that runs it, so that its last attempt finds no connection.
local fleet = require("fleet")
local f = fleet.new{control = 1, entries = 1, engines = 2}
f:start()
local r = run.http(f:chat({text = "crash-engine"}))
fleet.equal("outcome of a request that may have run", r["Peatwell-Outcome"], "unknown")
fleet.expect("the status does not promise that the request has not run: " .. r.status, r.status ~= 503 and r.status ~= 429 and r.status ~= 408)
f:stop()
