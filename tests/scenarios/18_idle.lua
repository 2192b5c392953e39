-- Guards against links that are taken for lost because they were idle. After 3.5 s without requests, which is
-- longer than a probed link may stay silent, 12 chats arrive at once over links with a delay of 80 ms: all
-- must be answered without being refused at a link.
local fleet = require("fleet")
local f = fleet.new{entries = 1, engines = 3, relays = true}
f:start()

local function ask_all(round)
  local list = {}
  for i = 1, 12 do
    local o = {text = round .. " " .. i, chat = "c" .. i}
    list[i] = {o = o, h = run.http_start(f:chat(o))}
  end
  for _, c in ipairs(list) do fleet.expect("a complete answer", fleet.is_answer(run.http_wait(c.h), c.o)) end
end

ask_all("first")
local refused_hops = f.entries[1]:counter("refused_hops_total")
-- The pause is longer than a probed link may be silent, and with this delay an answer takes longer than the
-- entry's tick.
for _, a in ipairs(f.agents) do run.relay_set(a.relay, "pass", 80) end
run.pause(3500)
ask_all("after a sleep")
fleet.equal("requests refused because a link was taken for lost", f.entries[1]:counter("refused_hops_total"), refused_hops)
for _, a in ipairs(f.agents) do run.relay_set(a.relay, "pass", 0) end
f:stop()
