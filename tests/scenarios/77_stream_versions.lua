-- Guards against a stream that goes on at another software version than the one that began it, inside one answer or
-- when its caller takes it up, at the same gateway or at another, also after gateways were killed; and against
-- streams that do not go on although targets of their version serve.
local fleet = require("fleet")
local gateways = require("gateways")
local EVENTS, AT_ONCE = 12, 12
local g = gateways.new{control = 3, gateways = 4, portals = 1}
local engines = {}
for _, version in ipairs{"v1", "v1.1"} do
  for i = 1, 3 do engines[#engines + 1] = g:add_target("engine-" .. version .. "-" .. i, "llm", nil, version) end
end
g:start()
g:wait_budgets()

local function set(fault) g:fault("engine", fault) end
set("versions=1")

local asked = 0
local function call(o)
  asked = asked + 1
  o.path, o.events, o.body = "/again/x", EVENTS, "question " .. asked
  return g:call(o)
end

-- Reads the complete events of one answer: the last id, and the version of each.
local function read(r)
  local last, versions = 0, {}
  for id, version in r.body:gmatch("id: (%d+)\ndata: [^ ]+ ([^\n]+)\n\n") do
    last = tonumber(id)
    versions[#versions + 1] = {id = last, version = version}
  end
  return last, versions
end

-- Checks that a stream, given its answers in order, has each event once and all of one version.
local function check_stream(what, answers)
  local n, first = 0, nil
  for _, r in ipairs(answers) do
    for _, e in ipairs(select(2, read(r))) do
      n, first = n + 1, first or e.version
      fleet.equal(what .. ": id of event " .. n, e.id, n)
      fleet.equal(what .. ": version of event " .. n, e.version, first)
    end
  end
  fleet.equal(what .. ": events", n, EVENTS)
  fleet.expect(what .. ": ends as complete", answers[#answers].whole)
end

-- Takes up a stream after the answer `r` of the attempt `id`.
local function take_up(r, id, gateway, more)
  local headers = {["Last-Event-Id"] = tostring((read(r))), Resumes = id}
  for k, v in pairs(more or {}) do headers[k] = v end
  return run.http((call{gateway = gateway, headers = headers}))
end

-- Inside one answer: the target breaks off, the gateway resumes.
for i = 1, 20 do
  set("cut_event=4")
  set("cut=1")
  check_stream("resumed in one answer " .. i, {run.http((call{}))})
end
set("cut=0")

-- Begins streams at a gateway whose callers leave after some events.
set("gap=30")
local function begin(gateway, n, give_up)
  local list = {}
  for i = 1, n do
    local c, id = call{gateway = gateway, give_up = give_up}
    list[i] = {id = id, handle = run.http_start(c)}
  end
  return list
end
local function wait(list)
  for _, s in ipairs(list) do s.answer = run.http_wait(s.handle) end
  return list
end

local BYTES = 80 -- three events
for _, k in ipairs{1, 2} do
  for i, s in ipairs(wait(begin(g.gateways[1], AT_ONCE, BYTES))) do
    local what = string.format("taken up at gateway %d, %d", k, i)
    check_stream(what, {s.answer, take_up(s.answer, s.id, g.gateways[k])})
  end
end

-- A stream that was taken up breaks again: the first attempt still names it.
for i, s in ipairs(wait(begin(g.gateways[1], 4, BYTES))) do
  local c = call{gateway = g.gateways[2], give_up = BYTES,
    headers = {["Last-Event-Id"] = tostring((read(s.answer))), Resumes = s.id}}
  local second = run.http(c)
  local last = math.max((read(second)), (read(s.answer)))
  local third = run.http((call{gateway = g.gateways[3], headers = {["Last-Event-Id"] = tostring(last), Resumes = s.id}}))
  check_stream("taken up twice " .. i, {s.answer, second, third})
end

-- Gateways are killed in the middle of streams, one and then two at once; the others know the versions.
for _, killed in ipairs{{1}, {1, 2}} do
  local streams = {}
  for _, k in ipairs(killed) do
    for _, s in ipairs(begin(g.gateways[k], AT_ONCE)) do streams[#streams + 1] = s end
  end
  run.pause(150)
  for _, k in ipairs(killed) do g.gateways[k]:kill() end
  for i, s in ipairs(wait(streams)) do
    if s.answer.status == 200 and (read(s.answer)) > 0 and not s.answer.whole then
      check_stream(string.format("%d killed, %d", #killed, i), {s.answer, take_up(s.answer, s.id, g.gateways[3 + i % 2])})
    end
  end
  for _, k in ipairs(killed) do g.gateways[k]:start() end
  g:wait_ready()
  g:wait_budgets()
end

-- A gateway that has just started asks the others.
local streams = wait(begin(g.gateways[1], 4, BYTES))
g.gateways[2]:kill()
g.gateways[2]:start()
g:wait_ready()
g:wait_budgets()
for i, s in ipairs(streams) do
  check_stream("taken up at a new start " .. i, {s.answer, take_up(s.answer, s.id, g.gateways[2])})
end

-- Nobody knows which version began it: refused with the truth that it has not run, also for a stranger's id.
local function runs() return g:sum("engine", "total") end
local function refused(what, r, code)
  fleet.equal(what .. ": status", r.status, 503)
  fleet.expect(what .. ": " .. r.body, r.body:find('"code":' .. code, 1, true))
end
local known = wait(begin(g.gateways[1], 1, BYTES))[1]
local before = runs()
refused("an unknown attempt", take_up(known.answer, "nobody", g.gateways[1]), 2014)
refused("another workspace's attempt", take_up(known.answer, known.id, g.gateways[1], {["Api-Key"] = "exams-key"}), 2014)
refused("no attempt named", run.http((call{headers = {["Last-Event-Id"] = "3"}})), 2014)
fleet.equal("nothing of them has run", runs(), before)

-- No target of the version is left: refused, and never run at the other version.
streams = wait(begin(g.gateways[1], 8, BYTES))
local gone = {}
for _, t in ipairs(engines) do
  if t.name:find("v1.1", 1, true) then
    t:kill()
    t.gone = true
  end
end
for i, s in ipairs(streams) do
  local version = select(2, read(s.answer))[1].version
  local r = take_up(s.answer, s.id, g.gateways[i % 4 + 1])
  if version == "v1" then
    check_stream("of the version that serves " .. i, {s.answer, r})
  else
    gone[#gone + 1] = r
    fleet.expect("no event of another version: " .. r.status .. " " .. r.body, r.status >= 500)
  end
end
fleet.expect("some streams began at the version that is gone", #gone > 0)
g:stop()
