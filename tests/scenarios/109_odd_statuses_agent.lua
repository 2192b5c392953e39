-- Guards against the same answers as 107_odd_statuses on the way over agents and entries, which read them with another
-- library: an answer with status 000 is none.
local fleet = require("fleet")
local f = fleet.new{entries = 1, engines = 1, services = 1}
f:start()
local service = f.engines[2]
local n = 0

-- Calls until the service has run a call with this first line; returns the answer.
local function answer(line)
  service:get("/status_line?" .. line:gsub(" ", "+"))
  return fleet.eventually("a call meets " .. line, function()
    n = n + 1
    local ran = service:stats().total
    local r = run.http{url = f.entries[1]:base(), method = "POST", path = "/v1/services/portal/charge", body = "odd " .. n,
      headers = {["Authorization"] = "Bearer " .. f.KEYS.kett, ["Peatwell-Repeat"] = "never", ["Idempotency-Key"] = "odd-" .. n}, timeout = 20}
    if service:stats().total > ran then return r end
    fleet.equal("status of a call that did not run: " .. r.body, r.status, 503)
  end)
end

for _, line in ipairs{"HTTP/1.1 000 X", "HTTP/1.1 000", "HTTP/1.1 020 X", "HTTP/1.1 099 X", "HTTP/1.1 600 X", "HTTP/1.1 999 X",
  "HTTP/1.1 0200 X", "HTTP/1.1 2000 X", "HTTP/0.9 200 X", "HTTP/2.0 200 X", "ICY 200 X"} do
  local r = answer(line)
  fleet.expect(line .. ": status " .. r.status .. ": " .. r.body, r.status >= 500 and r.status <= 504)
  fleet.expect(line .. ": the service's body is not passed on: " .. r.body, not r.body:find("receipt", 1, true))
  fleet.expect(line .. ": it may have run: " .. tostring(r["Peatwell-Outcome"]), r["Peatwell-Outcome"] == "unknown")
end
local r = answer("HTTP/1.1 200 X")
fleet.expect("a sound answer: " .. r.status .. " " .. r.body, r.status == 200 and r.body:find("receipt", 1, true))
f:stop()
