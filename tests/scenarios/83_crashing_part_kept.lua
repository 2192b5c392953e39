-- Guards against a part of prompts that crashes targets and is forgotten when all gateways, or all control instances,
-- are killed at once; and against targets that hang, or crash after several events, under such a part without being
-- counted.
local fleet = require("fleet")
local parts = require("parts")
local CALM_STEPS, STEPS = 40, 120
local ENDS_MOST = 8
local g = parts.fleet{gateways = 3, engines = 10}

local function all_know(list, n)
  for _, p in ipairs(list) do
    fleet.eventually(p.name .. " knows " .. n .. " parts", function() return p:counter("quarantined_parts") == n end)
  end
end
local function ends(part)
  local list = parts.history(g, part)
  return #list
end
local function ask(part, i)
  return g:ask{path = "/chat/x", events = 3, body = "q", gateway = g.gateways[i], prefix = "a1:50," .. part .. ":40,ff" .. i .. ":10"}
end
local function is_refused(part, i)
  local r = ask(part, i)
  return r.status == 503 and run.json(r.body).error.name == "part-quarantined"
end

local LATE = "dead20a"
local late = {path = "/again/a", parts = {LATE}, prefix = "a1:50,%s:40,f%x:10"}
fleet.equal("sound requests served before", parts.play(g, late, CALM_STEPS), CALM_STEPS)
parts.play(g, late, STEPS, true)
fleet.expect(LATE .. " crashes at most " .. ENDS_MOST .. " targets after several events: " .. ends(LATE), ends(LATE) <= ENDS_MOST)
parts.wait_all_run(g)
all_know(g.gateways, 1)

local before = ends(LATE)
local function restart(list)
  for _, p in ipairs(list) do p:kill() end
  for _, p in ipairs(list) do p:start() end
  g:wait_ready()
end
for round, list in ipairs{g.gateways, g.control, g.gateways} do
  -- Control instances keep what gateways report once a second.
  fleet.eventually("control knows the part", function()
    for _, p in ipairs(g.control) do
      if p:counter("quarantined_parts") ~= 1 then return false end
    end
    return true
  end)
  restart(list)
  all_know(g.gateways, 1)
  for i = 1, #g.gateways do fleet.expect("round " .. round .. ": refused at gateway " .. i, is_refused(LATE, i)) end
end
fleet.equal("targets that ended under it", ends(LATE), before)

-- A target that hangs is killed and started again by its operator.
local HANGS = "dead30b"
local hangs = {path = "/again/b", parts = {HANGS}, prefix = "a1:50,%s:40,f%x:10"}
parts.play(g, hangs, STEPS, true, function(step)
  if step % 10 ~= 0 then return end
  for _, t in ipairs(g.targets) do
    if not t.ended_at and fleet.lines(t, "crashed part=" .. HANGS) > (t.hangs or 0) then
      t.hangs = (t.hangs or 0) + 1
      t.killed_at = run.now()
    elseif t.killed_at and run.now() - t.killed_at > 700 then
      t.killed_at = nil
      t:signal("KILL")
    end
  end
end)
for _, t in ipairs(g.targets) do
  if t.killed_at then t:signal("KILL") end
end
parts.wait_all_run(g)
print(HANGS .. ": " .. ends(HANGS) .. " targets hung")
all_know(g.gateways, 2)
g:stop()
