-- Promise: a request that may have run is never answered by a status that says it did not (503, 429, 408),
-- also when its last attempt found no connection.
local fleet = require("fleet")
local f = fleet.new{control = 1, entries = 1, engines = 2}
f:start()
local r = run.http(f:chat({text = "crash-engine"}))
fleet.equal("it may have run", r["Peatwell-Outcome"], "unknown")
fleet.expect("and its status says so: " .. r.status, r.status ~= 503 and r.status ~= 429 and r.status ~= 408)
f:stop()
