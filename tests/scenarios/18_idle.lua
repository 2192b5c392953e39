-- Promise: chats that slept are served when they arrive all at once: a link that
-- was merely idle is asked, and not taken for lost before the answer can be there.
local fleet = require("fleet")
local f = fleet.new{entries = 1, engines = 3, relays = true}
f:start()

local function ask_all(round)
  local list = {}
  for i = 1, 12 do
    local o = {text = round .. " " .. i, chat = "c" .. i}
    list[i] = {o = o, h = run.http_start(f:chat(o))}
  end
  for _, c in ipairs(list) do fleet.expect("a whole answer", fleet.is_answer(run.http_wait(c.h), c.o)) end
end

ask_all("first")
local hops = f.entries[1]:counter("refused_hops_total")
-- Longer than an asked link may be silent, and an answer takes longer than the
-- entry's tick.
for _, a in ipairs(f.agents) do run.relay_set(a.relay, "pass", 80) end
run.pause(3500)
ask_all("after a sleep")
fleet.equal("hops for links taken for lost", f.entries[1]:counter("refused_hops_total"), hops)
for _, a in ipairs(f.agents) do run.relay_set(a.relay, "pass", 0) end
f:stop()
