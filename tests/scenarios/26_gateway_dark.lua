-- Guards against requests sent to targets that are silent, leaving or gone, and against streams that wait for
-- them. A target leaves, one is killed, one is suspended during streams, and the control instance that
-- receives the heartbeats is suspended.
local fleet = require("fleet")
local gateways = require("gateways")
local g = gateways.new{control = 3, gateways = 2, engines = 3, portals = 2}
g:start()

-- A target leaves: after its leaving is acknowledged, no gateway sends it new work.
local leaving = g["engine-1"]
leaving:fault("leaving=1")
fleet.eventually("the leaving of the target is acknowledged", function() return leaving:stats().leaving_acked > 0 end)
local function expect_no_new_work(t, path, o)
  local before
  fleet.eventually("no new work for " .. t.name, function()
    before = t:stats().arrivals
    for i = 1, 12 do
      o.gateway, o.prefix = g.gateways[i % 2 + 1], nil
      o.path = path
      fleet.equal("served by another target", g:ask(o).status, 200)
    end
    return t:stats().arrivals == before
  end)
end
expect_no_new_work(leaving, "/chat/x", {events = 3, body = "q"})

-- A target is killed without announcing it: its connections are refused at once, its missing heartbeats are
-- noticed, and no request is lost.
local crashed = g["portal-1"]
crashed:kill()
crashed.gone = true
for i = 1, 20 do
  fleet.equal("a call that may not be repeated " .. i, g:ask{path = "/once/a", body = "x", gateway = g.gateways[i % 2 + 1]}.status, 200)
end
for _, p in ipairs(g.gateways) do
  fleet.eventually(p.name .. " learns that it is silent", function()
    return fleet.read(p.log):find("ev=target%-silent target=i%-portal%-1")
  end)
end

-- A target is suspended during streams: those that may be resumed go on at another target, complete and in
-- order.
local suspended = g["engine-2"]
suspended:fault("gap=100")
g["engine-3"]:fault("gap=100")
local calls = {}
for i = 1, 12 do
  local c, id = g:call{path = "/again/x", events = 20, body = "q", gateway = g.gateways[i % 2 + 1]}
  calls[i] = {h = run.http_start(c), id = id}
end
fleet.eventually("both targets run streams", function()
  return suspended:stats().total > 0 and g["engine-3"]:stats().total > 0
end)
run.pause(300)
suspended:pause()
local resumed = 0
for i, c in ipairs(calls) do
  local r = run.http_wait(c.h)
  r.id = c.id
  fleet.expect("a complete stream " .. i .. ": " .. r.body, gateways.is_stream(r, 20))
end
for _, p in ipairs(g.gateways) do resumed = resumed + p:counter("retries_total") end
fleet.expect("some streams were resumed at another target", resumed > 0)
suspended:continue()

-- After it continues, it gets work again.
suspended:fault("gap=0")
fleet.eventually("the target serves again after its suspension", function()
  local before = suspended:stats().total
  for i = 1, 10 do g:ask{path = "/chat/x", events = 2, body = "q", gateway = g.gateways[i % 2 + 1]} end
  return suspended:stats().total > before
end)

-- The control instance that receives the targets' heartbeats is suspended, and the others take the targets
-- for silent. When it continues all targets are back with all their attributes.
local function count_lines(p, event) -- number of log lines with this event about engine-2
  return select(2, fleet.read(p.log):gsub("ev=" .. event .. " [^\n]*target=i%-engine%-2 ", ""))
end
local receiver = g.control[1]
local before = {}
for i = 2, 3 do before[i] = count_lines(g.control[i], "target%-silent") end
receiver:pause()
for i = 2, 3 do
  fleet.eventually(g.control[i].name .. " takes a target for silent", function()
    return count_lines(g.control[i], "target%-silent") > before[i]
  end)
end
for i = 2, 3 do before[i] = count_lines(g.control[i], "target%-back") end
receiver:continue()
for i = 2, 3 do
  fleet.eventually(g.control[i].name .. " has it back", function() return count_lines(g.control[i], "target%-back") > before[i] end)
  fleet.expect("the service of the target is still known: " .. fleet.read(g.control[i].log), not fleet.read(g.control[i].log):find("target%-back [^\n]*service= "))
end

-- The same for so long that the other control instances forget the targets.
receiver:pause()
for i = 2, 3 do
  fleet.eventually(g.control[i].name .. " forgets a target", function()
    return fleet.read(g.control[i].log):find("ev=target%-forgotten [^\n]*target=i%-engine%-2")
  end)
end
receiver:continue()
for _, p in ipairs(g.gateways) do
  fleet.eventually(p.name .. " serves again", function()
    return g:ask{path = "/chat/x", events = 2, body = "q", gateway = p}.status == 200
  end)
end
for i = 2, 3 do
  fleet.eventually(g.control[i].name .. " knows the target again", function()
    local log = fleet.read(g.control[i].log)
    return log:find("target%-joined [^\n]*target=i%-engine%-2 ", (log:find("ev=target%-forgotten [^\n]*target=i%-engine%-2")))
  end)
end
for i = 1, 12 do
  fleet.equal("served after that " .. i, g:ask{path = "/chat/x", events = 2, body = "q", gateway = g.gateways[i % 2 + 1]}.status, 200)
end
g:stop()
