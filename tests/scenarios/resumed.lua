-- resumed.lua: helpers of the scenarios in which callers resume streams after gateways, or gateways and control
-- instances, were killed at once, while targets of two software versions serve or did lately.
local fleet = require("fleet")
local gateways = require("gateways")
local resumed = {}
resumed.__index = resumed

resumed.EVENTS, resumed.STREAMS = 12, 12
local BYTES = 100 -- callers leave after so much, some events
local GAP_MS = 20 -- between events
local TRY_MS, ONE_TRY_MS = 5000, 300 -- callers of streams that must go on, and of the others, try for so long
local PAUSE_MS = 100 -- between tries
resumed.OLD_GONE_MS = 6000 -- longer than gateways and control instances know targets that are gone
resumed.TOLD_MS = 1000 -- longer than gateways take to tell others of a stream

-- Starts three control instances, three gateways and three targets of version v1; with `services`, two such targets for
-- each of so many further services "llm-N", to which routes "/again-N/" lead.
function resumed.new(services)
  local g = gateways.new{control = 3, gateways = 3, portals = 1}
  local self = setmetatable({g = g, old = {}, asked = 0}, resumed)
  for i = 1, 3 do self.old[i] = g:add_target("engine-old-" .. i, "llm", nil, "v1") end
  for n = 1, services or 0 do
    for i = 1, 2 do g:add_target("engine-" .. n .. "-old-" .. i, "llm-" .. n, nil, "v1") end
  end
  g:start(function(s)
    for n = 1, services or 0 do
      s.services[#s.services + 1] = "llm-" .. n
      table.insert(s.routes, 1, {name = "again-" .. n, prefix = "/again-" .. n .. "/", kind = "stream", service = "llm-" .. n,
        attempts = 2, timeout = 5000, resumable = true})
    end
  end)
  g:wait_budgets()
  return self
end

function resumed:wait_targets(n)
  for _, p in ipairs(self.g.gateways) do
    fleet.eventually(p.name .. " knows " .. n .. " targets", function() return p:counter("gateway_targets") >= n end)
  end
end

-- Starts three targets of version v1.1 beside the others.
function resumed:add_new_version()
  for i = 1, 3 do self.g:add_target("engine-new-" .. i, "llm", nil, "v1.1"):start() end
  self:wait_targets(#self.g.targets)
  run.pause(self.TOLD_MS)
end

function resumed:kill_old()
  for _, t in ipairs(self.old) do t:kill() end
end

function resumed:start_old()
  for _, t in ipairs(self.old) do t:start() end
  self:wait_targets(#self.g.targets)
end

-- Reads the complete events of one answer: the last id, and the version that made it; nil: there is none.
local function read(r)
  local last, version = 0, nil
  for id, v in r.body:gmatch("id: (%d+)\ndata: [^ ]+ ([^\n]+)\n\n") do last, version = tonumber(id), v end
  return last, version
end

function resumed:call(o)
  self.asked = self.asked + 1
  o.path, o.events, o.body = o.path or "/again/x", self.EVENTS, "question " .. self.asked
  return self.g:call(o)
end

-- Begins streams whose callers leave after some events; returns those that had any. Fields of o, which may be nil:
-- gateways: where (default: all in turn); version: only streams of this version are returned; may_be_none: none need begin;
-- bytes: callers leave after so much; path: of another service.
function resumed:begin(o)
  o = o or {}
  local at = o.gateways or self.g.gateways
  self.g:fault("engine", "versions=1")
  self.g:fault("engine", "gap=" .. GAP_MS)
  local list, begun, n = {}, {}, 0
  for i = 1, self.STREAMS do
    local c, id = self:call{gateway = at[i % #at + 1], give_up = o.bytes or BYTES, path = o.path}
    list[i] = {id = id, path = o.path, handle = run.http_start(c)}
  end
  for _, s in ipairs(list) do
    s.last, s.version = read(run.http_wait(s.handle))
    n = n + (s.version and 1 or 0)
    if s.version == (o.version or s.version) and s.version then begun[#begun + 1] = s end
  end
  fleet.expect("streams begin", o.may_be_none or n > self.STREAMS / 2)
  return begun
end

-- Resumes a stream, each time at another gateway, until it goes on. Returns whether it did; none may go on at another version.
function resumed:goes_on(what, s, o, try_ms)
  local headers = {["Last-Event-Id"] = tostring(s.last), Resumes = o.names_attempt and s.id or nil}
  local at = o.gateways or self.g.gateways
  local ends, tries = run.now() + try_ms, 0
  repeat
    local r = run.http((self:call{gateway = at[tries % #at + 1], headers = headers}))
    local last, version = read(r)
    tries = tries + 1
    if r.status == 200 and version then
      fleet.equal(what .. ": version of a resumed stream", version, s.version)
      fleet.equal(what .. ": last event", last, self.EVENTS)
      return true
    end
    run.pause(PAUSE_MS)
  until run.now() > ends
  return false
end

-- Resumes all streams. Fields of o: names_attempt; gateways: where (default: all in turn); serving: versions whose streams
-- must go on, as keys. The others may go on at their own version or be refused.
function resumed:resume(what, streams, o)
  local want, n = 0, 0
  for _, s in ipairs(streams) do
    local must = o.serving and o.serving[s.version]
    local went_on = self:goes_on(what, s, o, must and TRY_MS or ONE_TRY_MS)
    want = want + (must and 1 or 0)
    n = n + (must and went_on and 1 or 0)
  end
  fleet.equal(what .. ": streams that go on", n, want)
end

-- Starts to resume streams, once each and all at the same time. Fields of o: gateway or gateways: where; names_attempt.
function resumed:start_resuming(streams, o)
  local list = {}
  for i, s in ipairs(streams) do
    local headers = {["Last-Event-Id"] = tostring(s.last), Resumes = o.names_attempt and s.id or nil}
    local at = o.gateway or o.gateways[i % #o.gateways + 1]
    list[i] = {stream = s, handle = run.http_start((self:call{gateway = at, headers = headers, deadline = TRY_MS, path = s.path}))}
  end
  return list
end

-- Waits for what start_resuming returned; none may go on at another version or after another event. Returns how many went on.
function resumed:expect_refused_or_own(what, list)
  local n, joined, displaced = 0, 0, 0
  for _, one in ipairs(list) do
    local r = run.http_wait(one.handle)
    local _, version = read(r)
    if r.status == 200 and version then
      n = n + 1
      joined = joined + (version ~= one.stream.version and 1 or 0)
      displaced = displaced + (tonumber(r.body:match("^id: (%d+)")) ~= one.stream.last + 1 and 1 or 0)
    end
  end
  fleet.equal(what .. ": streams joined of two versions", joined, 0)
  fleet.equal(what .. ": streams that go on after another event", displaced, 0)
  return n
end

-- Kills processes at once and starts them again.
function resumed:restart(list)
  for _, p in ipairs(list) do p:kill() end
  for _, p in ipairs(list) do p:start() end
  self.g:wait_ready()
end

-- All control instances and gateways.
function resumed:all()
  local list = {}
  for _, p in ipairs(self.g.control) do list[#list + 1] = p end
  for _, p in ipairs(self.g.gateways) do list[#list + 1] = p end
  return list
end

return resumed
