-- parts.lua: helpers of the scenarios in which one part of a prompt crashes each target that answers it: a mix of
-- crashing and sound requests, targets that start again, and what the targets report of both.
local fleet = require("fleet")
local gateways = require("gateways")
local parts = {}

local STEP_MS = 28    -- a sound request each step: 36 a second
local CRASHING_EACH = 4 -- a crashing request each so many steps: nine a second
local RESTART_MS = 2000 -- a target that ended starts again after this time
local EVENTS = 8

-- A fleet of gateways and engines whose routes find prompts by their prefix.
function parts.fleet(o)
  local g = gateways.new{control = 1, gateways = o.gateways or 3, engines = o.engines or 14, portals = 0}
  g:start(function(s)
    s.engine = 8
    for _, r in ipairs(s.routes) do r.sticky = r.kind == "stream" end
  end)
  g:wait_budgets()
  g.ends = {}
  for _, t in ipairs(g.targets) do parts.set_pace(t) end
  return g
end

function parts.set_pace(t)
  t:fault("delay=40")
  t:fault("gap=20")
end

-- Starts the targets again that ended some time ago. Those that a caller has stopped are left alone.
function parts.restart_ended(g)
  for _, t in ipairs(g.targets) do
    if not t.ended_at and run.wait(t.pid, 0) then
      t.ended_at = run.now()
    elseif t.ended_at and run.now() - t.ended_at >= RESTART_MS then
      t.ended_at = nil
      t:start()
      parts.set_pace(t)
    end
  end
end

function parts.wait_all_run(g)
  fleet.eventually("all targets run again", function()
    parts.restart_ended(g)
    for _, t in ipairs(g.targets) do
      if t.ended_at then return false end
    end
    return true
  end)
end

local serial = 0
local function unique()
  serial = serial + 1
  return serial
end

-- A sound request: its first part and its path are those of the crashing ones.
local function sound(kind)
  local n = unique()
  return {path = kind.path, events = EVENTS, body = "sound " .. n, key = kind.sound_key,
    prefix = string.format("%s:50,5%x:40,f%x:10", kind.sound_first or "a1", n % (kind.subjects or 12), n)}
end

-- A crashing request: body, caller's path and last part differ from those of all others.
local function crashing(kind, i)
  local n = unique()
  local part = kind.parts[i % #kind.parts + 1]
  return {path = kind.path .. "-" .. n, events = EVENTS, body = "part " .. n,
    prefix = string.format(kind.prefix, part, n)}
end

-- Starts requests for `steps` steps and waits for their answers; `crashes`: crashing ones beside sound ones. Returns
-- how many sound ones were served, and how many were sent.
function parts.play(g, kind, steps, crashes, at_step)
  local calls, sent = {}, 0
  local start = run.now()
  for i = 1, steps do
    local gateway = g.gateways[unique() % #g.gateways + 1]
    local o = sound(kind)
    o.gateway, o.timeout = gateway, 8
    local c, id = g:call(o)
    calls[#calls + 1] = {h = run.http_start(c), id = id}
    if crashes and i % CRASHING_EACH == 0 then
      local bad = crashing(kind, i // CRASHING_EACH)
      bad.gateway, bad.timeout = g.gateways[unique() % #g.gateways + 1], 8
      calls[#calls + 1] = {h = run.http_start((g:call(bad))), crashing = true}
    end
    parts.restart_ended(g)
    if at_step then at_step(i) end
    local wait = start + i * STEP_MS - run.now()
    if wait > 0 then run.pause(wait) end
  end
  local served, why = 0, {}
  for _, c in ipairs(calls) do
    local r = run.http_wait(c.h)
    r.id = c.id
    if not c.crashing then
      sent = sent + 1
      if gateways.is_stream(r, EVENTS) then
        served = served + 1
      else
        local what = r.status .. " " .. (r.status >= 500 and r.body:match('"name":"([^"]+)"') or "cut")
        why[what] = (why[what] or 0) + 1
      end
    end
  end
  local list = {}
  for what, n in pairs(why) do list[#list + 1] = what .. ": " .. n end
  return served, sent, table.concat(list, ", ")
end

-- What the targets reported of a part: the times at which they ended, in order, and of arrivals.
function parts.history(g, part)
  local ends, arrivals = {}, {}
  for _, t in ipairs(g.targets) do
    local text = fleet.read(t.log)
    for ms in text:gmatch("crashed part=" .. part .. " ms=(%d+)") do ends[#ends + 1] = tonumber(ms) end
    for ms in text:gmatch("arrived part=" .. part .. " ms=(%d+)") do arrivals[#arrivals + 1] = tonumber(ms) end
  end
  table.sort(ends)
  return ends, arrivals
end

-- Arrivals of a part later than `after_ms` after the fifth target ended under it.
function parts.late(g, part, after_ms)
  local ends, arrivals = parts.history(g, part)
  local n = 0
  for _, ms in ipairs(arrivals) do
    if ends[5] and ms > ends[5] + after_ms then n = n + 1 end
  end
  return n, #ends, #arrivals
end

return parts
