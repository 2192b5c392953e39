-- Guards against the same as 108_ends_during_upload on the way over agents and entries: part of an answer that has no length, and
-- that ends with its connection before the service has read the request, passed on as a complete one.
local fleet = require("fleet")
local f = fleet.new{entries = 1, engines = 1, services = 1}
f:start()
local service = f.engines[2]
local PLAYS = 3
service:get("/fault?ends_early=1")
for _, bytes in ipairs{200000, 1000000} do
  for i = 1, PLAYS do
    local r = run.http(f:call{body = ("u"):rep(bytes)})
    local what = bytes .. " bytes, play " .. i .. ": " .. r.status .. " " .. r.body
    fleet.expect(what, r.status >= 500 and r.status <= 504 and not r.body:find("^part"))
    fleet.expect("it may have run: " .. what, r["Peatwell-Outcome"] == "unknown" or r.status == 503)
  end
end
service:get("/fault?ends_early=0&unframed=1")
fleet.eventually("an answer without a length to a short body is complete", function()
  local r = run.http(f:call{body = "short"})
  return r.status == 200 and r.body == "receipt for [short]"
end)
f:stop()
