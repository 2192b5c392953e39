-- Guards against a failed answer that is not retried because the request had waited in a queue. Three
-- requests fill two slots and one queue; the engine with the queued request fails once: all three must be
-- answered.
local fleet = require("fleet")
local f = fleet.new{control = 1, entries = 1, engines = 2, agent = "slots = 1", engine_args = {40, 1}}
f:start()

local function long(name)
  local o = {chat = (name:gsub(" ", "-")), text = name, max_tokens = 60}
  return o, run.http_start(f:chat(o))
end

for round = 1, 3 do
  local first, a = long("first " .. round)
  local second, b = long("second " .. round)
  fleet.eventually("both slots are taken", function()
    return f.agents[1]:counter("active_requests") > 0 and f.agents[2]:counter("active_requests") > 0
  end)
  local third, c = long("third " .. round)
  local at
  fleet.eventually("the third is queued", function()
    for i = 1, 2 do
      if f.agents[i]:counter("queue_requests") == 1 then at = i end
    end
    return at
  end)
  f.engines[at]:fault("fail=1")
  for _, x in ipairs{{first, a}, {second, b}, {third, c}} do
    local r = run.http_wait(x[2])
    fleet.expect(x[1].text .. " is answered: " .. r.status .. " " .. r.body, fleet.is_answer(r, x[1]))
  end
  f.engines[at]:fault("fail=0")
end
f:stop()
