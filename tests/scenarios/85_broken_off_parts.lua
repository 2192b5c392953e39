-- Guards against a part of prompts that is taken to crash targets because these break off answers, or reset connections,
-- and run on: of some 2,200 requests whose connections ended so, 13 and 61 sound ones were refused in a day of that.
--
-- Here: the targets break off every second answer, and no request is refused for a part of its prompt.
local fleet = require("fleet")
local parts = require("parts")
local STEPS, EACH = 600, 2 -- an answer is broken off each so many steps, of which each sends one request
local g = parts.fleet{gateways = 3, engines = 6}

local kind = {path = "/chat/a", subjects = 60}
local _, sent, why = parts.play(g, kind, STEPS, false, function(step)
  local t = g.targets[step // EACH % #g.targets + 1]
  if step % EACH == 0 then t:fault(step % 4 == 0 and "cut=1" or "reset=1") end
end)
print(sent .. " sent, not served: " .. why)
local ended, refused = 0, 0
for _, p in ipairs(g.gateways) do
  ended = ended + p:counter("ended_under_total")
  refused = refused + p:counter("part_quarantine_refused_total")
end
fleet.expect("targets broke off answers: " .. ended, ended > 0)
fleet.equal("requests refused for a part of their prompt", refused, 0)
fleet.equal("refused by name", why:find("part%-quarantined"), nil)
g:stop()
