-- Guards against part of an answer that a caller gets as a complete one: a target answers a long upload at once with a 200
-- without a length, sends a part of its body and ends the connection while the upload is still being written.
local fleet = require("fleet")
local gateways = require("gateways")
local BODY_BYTES, RESET_MS, PLAYS = 12 * 1024 * 1024, 1000, 5
local g = gateways.new{control = 1, gateways = 1, engines = 1, portals = 1}
g:start(function(s)
  for _, r in ipairs(s.routes) do r.timeout = 20000 end
end)
local config = gateways.config_text(g:config(function(s)
  for _, r in ipairs(s.routes) do r.timeout = 20000 end
end))
g:wait_in_force(g:publish((config:gsub('"maxBodyBytes":%d+', '"maxBodyBytes":' .. 2 * BODY_BYTES))))
g:fault("", "ends_early=" .. RESET_MS)
local body = ("u"):rep(BODY_BYTES)
for _, path in ipairs{"/once/a", "/safe/a", "/chat/x"} do
  local met = 0
  for i = 1, PLAYS do
    local r = g:ask{path = path, body = body, deadline = 20000}
    local what = path .. ", play " .. i .. ": " .. r.status .. " " .. r.body
    fleet.expect(what, r.status == 502 or r.status == 503)
    fleet.expect("no part of the answer: " .. what, not r.body:find("^part"))
    if r.status == 502 then met = met + 1 end
  end
  fleet.expect("a request met it at " .. path, met > 0)
end
g:fault("", "ends_early=0")
fleet.eventually("served again", function()
  local r = g:ask{path = "/once/a", body = body, deadline = 20000}
  return r.status == 200 and r.body == "POST /once/a " .. r.id .. " " .. BODY_BYTES
end)
g:stop()
