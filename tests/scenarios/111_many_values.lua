-- Guards against a control instance or an entry that exceeds its memory because of a body within its limit that holds millions of
-- JSON values: read, each takes up to eighty times its bytes.
-- Runs alone: see tools/run-tests.
local fleet = require("fleet")
local gateways = require("gateways")
local crowds = require("crowds")
local CONTROL_BYTES, ENTRY_BYTES, CALLERS, MEMORY_MB = 15 * 1000 * 1000, 1000 * 1000, 40, 256

local g = gateways.new{control = 1, gateways = 1, portals = 1}
g:start()
local control = g.control[1]
local config = gateways.config_text(g:config()):sub(1, -2)
local order = '{"version":"v2","steps":[1]'
for _, values in ipairs{"{},", "[],", "1,", '{"a":1},', '"",'} do
  local list = ',"x":[' .. values:rep(CONTROL_BYTES // #values) .. values:sub(1, -2) .. "]}"
  for path, start in pairs{["/config"] = config, ["/v1/rollouts/portal"] = order} do
    local what = path .. " with " .. values
    crowds.reset_peak(control)
    local r = run.http{url = "http://" .. control.health, method = "PUT", path = path, body = start .. list, timeout = 60}
    fleet.expect(what .. " is refused: " .. r.status .. " " .. r.body, r.status >= 400 and r.status < 500)
    fleet.equal(what .. ": a read afterwards", g:control_call(control, "GET", "/config").status, 200)
    crowds.check_kept(what, control, MEMORY_MB)
  end
end
g:publish(g:config())
g:stop()

local f = fleet.new{entries = 1, engines = 1}
f:start()
local entry = f.entries[1]
for _, values in ipairs{"{},", "1,"} do
  local what = "a chat with " .. values
  crowds.reset_peak(entry)
  local body = '{"model":"m","x":[' .. values:rep(ENTRY_BYTES // #values) .. values:sub(1, -2) .. "]}"
  local calls = {}
  for i = 1, CALLERS do
    calls[i] = run.http_start{url = entry:base(), method = "POST", path = "/v1/chat/completions", body = body, timeout = 60,
      headers = {Authorization = "Bearer " .. f.KEYS.kett, ["Content-Type"] = "application/json"}}
  end
  for _, c in ipairs(calls) do
    local r = run.http_wait(c)
    fleet.expect(what .. " is refused: " .. r.status .. " " .. r.body, r.status >= 400 and r.status <= 503 and r.status ~= 500)
  end
  fleet.eventually(what .. ": an ordinary chat afterwards", function()
    return run.http(f:chat{chat = "c", text = "hello", max_tokens = 4}).status == 200
  end)
  crowds.check_kept(what, entry, MEMORY_MB)
end
f:stop()
