-- Guards against streams joined from two software versions, or taken up after another event, while gateways and control
-- instances are suspended, and targets of new versions start and others end, in series that overlap.
-- SEED and SECONDS of the environment set the series; SEED=N build/pwscenario --bin build FILE.
local fleet = require("fleet")
local SEED, SECONDS = tonumber(os.getenv("SEED") or 2), tonumber(os.getenv("SECONDS") or 15)
local SERVICES, TARGETS_MIN, RESUMED_AT_ONCE = 8, 10, 6
local PAUSE_MS, GATEWAY_STILL_MS, CONTROL_STILL_MS = {10, 120}, {200, 6000}, {200, 3000}
print("seed " .. SEED)
math.randomseed(SEED)
local r = require("resumed").new(SERVICES)
local g = r.g
local streams, resumed = {}, {}
local changed = 0 -- services with targets of another version
local continues_at = {} -- of suspended processes

local function between(range) return math.random(range[1], range[2]) end
local function any(list) return list[math.random(#list)] end

local function suspend(p, range)
  p:signal("STOP")
  continues_at[p] = run.now() + between(range)
end

local function continue_due(now)
  for p, at in pairs(continues_at) do
    if at <= now then
      p:signal("CONT")
      continues_at[p] = nil
    end
  end
end

local function running(list)
  local out = {}
  for _, p in ipairs(list) do
    if not continues_at[p] and not p.gone and p.service ~= "portal" then out[#out + 1] = p end
  end
  return out
end

local actions, began = {}, run.now()
function actions.suspend_gateway()
  local list = running(g.gateways)
  if #list > 1 then suspend(any(list), GATEWAY_STILL_MS) end
end
function actions.suspend_control()
  local list = running(g.control)
  if #list == #g.control then suspend(any(list), CONTROL_STILL_MS) end
end
function actions.start_version()
  if run.now() < began + changed * SECONDS * 1000 / SERVICES then return end
  changed = changed + 1
  for i = 1, 2 do g:add_target("engine-" .. changed .. "-new-" .. i, "llm-" .. changed, nil, "v1.1"):start() end
end
function actions.end_target()
  local list = running(g.targets)
  if #list <= TARGETS_MIN then return end
  local t = any(list)
  t:kill()
  t.gone = true
end

-- Most streams begin at the service that changed last, and most of those that are resumed began last.
function actions.begin()
  local n = math.random(3) < 3 and math.max(changed, 1) or math.random(SERVICES)
  for _, s in ipairs(r:begin{gateways = running(g.gateways), may_be_none = true, path = "/again-" .. n .. "/x"}) do
    streams[#streams + 1] = s
  end
end
function actions.resume()
  if #streams == 0 then return end
  local some, recent = {}, math.max(1, #streams - 12)
  for i = 1, RESUMED_AT_ONCE do some[i] = streams[math.random(math.random(4) > 1 and recent or 1, #streams)] end
  for _, one in ipairs(r:start_resuming(some, {gateway = any(g.gateways), names_attempt = math.random(3) == 1})) do
    resumed[#resumed + 1] = one
  end
end

local drawn = {"suspend_gateway", "suspend_control", "end_target", "start_version", "start_version", "begin", "resume", "resume", "resume"}
actions.begin()
local ends = began + SECONDS * 1000
while run.now() < ends do
  local action = any(drawn)
  actions[action]()
  if action == "start_version" then
    run.pause(between(PAUSE_MS))
    actions.begin()
    actions.resume()
  end
  run.pause(between(PAUSE_MS))
  continue_due(run.now())
end
continue_due(math.huge)
local went_on = r:expect_refused_or_own("resumed in all", resumed)
print(string.format("changed %d streams %d resumed %d went on %d", changed, #streams, #resumed, went_on))
fleet.expect("some go on", went_on > 0)
g:stop()
