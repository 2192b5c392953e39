-- gateways.lua: helpers of the scenarios with gateways: a control group that forms from seed addresses,
-- gateways, and targets that register by heartbeats.
local fleet = require("fleet")
local gateways = {}
gateways.__index = gateways

local BEAT_MS = 100 -- heartbeat interval of the stand-in targets

local function quoted(list)
  local out = {}
  for i, s in ipairs(list) do out[i] = string.format("%q", s) end
  return "[" .. table.concat(out, ", ") .. "]"
end

-- Fields of o: control, gateways, engines, portals: how many of each; zones: availability zone by target
-- name; retry_slack, retry_window_s: of gateways (default 1000 in 1 s, which is more than most scenarios use); text:
-- settings added to gateways; control_text: settings added to control instances; relays: gateways reach targets
-- through relays; daemon: the program (default "peatwelld").
function gateways.new(o)
  local f = fleet.new{control = 0, entries = 0, engines = 0}
  local g = setmetatable({f = f, o = o, dir = f.dir, control = {}, gateways = {}, targets = {}, version = 0}, gateways)
  g.http_port, g.wire_port = run.port(), run.port()
  local seeds = {}
  for i = 1, o.control or 3 do
    g:add_control("127.0.0." .. i, true)
    if i <= 3 then seeds[i] = "127.0.0." .. i .. ":" .. g.http_port end
  end
  g.seeds = seeds
  for _, c in ipairs(g.control) do g:write_control(c) end
  for i = 1, o.gateways or 2 do g:add_gateway(i) end
  for i = 1, o.engines or 0 do g:add_target("engine-" .. i, "llm") end
  for i = 1, o.portals or 0 do g:add_target("portal-" .. i, "portal") end
  return g
end

-- Adds a control instance at an address; `found`: it may found the group.
function gateways:add_control(ip, found)
  local name = "control-" .. ip:match("(%d+)$")
  local path = self.dir .. "/" .. name .. ".toml"
  local p = self.f:process(name, {run.bin .. "/" .. (self.o.daemon or "peatwelld"), "--config", path}, ip .. ":" .. self.http_port)
  p.ip, p.settings, p.found, p.data_dir = ip, path, found, self.dir .. "/data-" .. ip
  self.control[#self.control + 1] = p
  return p
end

function gateways:write_control(c)
  fleet.write(c.settings, string.format('[instance]\nname = %q\nroles = ["control"]\n[control]\n' ..
    'http = %q\nwire = "tcp://%s:%d"\nseeds = %s\nseed_port = %d\nfound = %s\ndata_dir = %q\nbeat_ms = %d\n%s\n',
    c.name, c.health, c.ip, self.wire_port, quoted(c.seeds or self.seeds), self.wire_port,
    tostring(c.found), c.data_dir, BEAT_MS, self.o.control_text or ""))
end

function gateways:add_gateway(i)
  local name, http, ready, gossip = "gateway-" .. i, run.port(), run.port(), run.port()
  local path = self.dir .. "/" .. name .. ".toml"
  local metrics, relay = run.port(), run.port()
  fleet.write(path, string.format('[instance]\nname = %q\nroles = ["gateway"]\navailability_zone = "az-1"\n' ..
    'metrics = "127.0.0.1:%d"\n' ..
    '[gateway]\nhttp = "127.0.0.1:%d"\nready = "127.0.0.1:%d"\ngossip = "127.0.0.1:%d"\nrelay = "tcp://127.0.0.1:%d"\ncontrol = %s\n' ..
    'control_port = %d\nbeat_ms = %d\nretry_ratio = 0.2\nretry_slack = %d\nretry_window_s = %d\n%s\n', name, metrics, http, ready, gossip, relay,
    quoted(self.seeds), self.wire_port, BEAT_MS, self.o.retry_slack or 1000, self.o.retry_window_s or 1, self.o.text or ""))
  local p = self.f:process(name, {run.bin .. "/" .. (self.o.daemon or "peatwelld"), "--config", path}, "127.0.0.1:" .. ready)
  p.live = "/metrics"
  p.http = "127.0.0.1:" .. http
  p.metrics = "127.0.0.1:" .. metrics
  self.gateways[i] = p
  return p
end

-- Adds a target; with o.relays gateways reach it through a relay. `id` is the instance id of this start,
-- `version` its software version.
function gateways:add_target(name, service, id, version)
  local control = {}
  for i, c in ipairs(self.control) do control[i] = c.health end
  local port = run.port()
  local address = "127.0.0.1:" .. port
  local zone = self.o.zones and self.o.zones[name] or "az-1"
  local argv = {run.bin .. "/fake-target", address, table.concat(control, ","), service, zone, id or "i-" .. name}
  local relay, relay_port
  if self.o.relays then
    relay, relay_port = run.relay(port)
    argv[7] = "127.0.0.1:" .. relay_port
  end
  local p = self.f:process(name, argv, address)
  -- Sets the software version of the starts to come.
  function p:set_version(v)
    self.argv[7] = self.argv[7] or address
    self.argv[8] = v
  end
  function p:set_slots(n)
    self:set_version(self.argv[8] or "v1")
    self.argv[9] = tostring(n)
  end
  if version then p:set_version(version) end
  p.relay, p.service = relay, service
  p.live = "/stats"
  self.targets[#self.targets + 1] = p
  self[name] = p
  return p
end

-- The scenarios' configuration. change(config) edits it before it is sent.
function gateways:config(change)
  self.version = self.version + 1
  local s = {version = self.version, routes = {
      {name = "chat", prefix = "/chat/", kind = "stream", service = "llm", attempts = 1, timeout = 5000},
      {name = "again", prefix = "/again/", kind = "stream", service = "llm", attempts = 2, timeout = 5000, resumable = true},
      {name = "once", prefix = "/once/", kind = "unsafe", service = "portal", attempts = 1, timeout = 2000},
      {name = "safe", prefix = "/safe/", kind = "safe", service = "portal", attempts = 2, timeout = 2000},
      {name = "open", prefix = "/safe/open/", kind = "safe", service = "portal", attempts = 2, timeout = 2000, public = true}},
    services = {"llm", "portal"}, keys = {kett = {"kett-key"}, exams = {"exams-key", "other-key"}}, idle_ms = 15000, header_ms = 3000}
  if change then change(s) end
  return s
end

function gateways.config_text(s)
  local routes, services, tenants = {}, {}, {}
  for i, r in ipairs(s.routes) do
    routes[i] = string.format('{"name":%q,"host":"a.example","pathPrefix":%q,"kind":%q,"timeoutMs":%d,"goalMs":%d,' ..
      '"priority":%d,"service":%q,"attempts":%d,"public":%s,"sticky":%s,"resumable":%s,"gapTargetMs":300}', r.name, r.prefix,
      r.kind, r.timeout, r.goal or 300, r.priority or 1, r.service, r.attempts, tostring(r.public or false),
      tostring(r.sticky or false), tostring(r.resumable or false))
  end
  for i, name in ipairs(s.services) do
    local engine = s.engine and name == "llm" and
      string.format(',"engine":{"slots":%d,"kvTokens":100000,"models":[{"name":"m"}]}', s.engine) or ""
    local cold = s.cold and string.format(',"coldS":%g,"coldPerS":%g', s.cold.s, s.cold.per_s) or ""
    services[i] = string.format('{"name":%q,"healthPath":"/health","maxConns":100,"protocol":"h1","tls":false%s%s}', name, cold, engine)
  end
  for name, keys in pairs(s.keys) do
    tenants[#tenants + 1] = string.format('{"name":%q,"apiKeys":%s,"priority":1}', name, quoted(keys))
  end
  table.sort(tenants)
  return string.format('{"version":%d,"routes":[%s],"services":[%s],"tenants":[%s],"limits":{"maxHeaderBytes":4096,' ..
    '"maxBodyBytes":100000,"headerTimeoutMs":%d,"idleTimeoutMs":%d}}', s.version, table.concat(routes, ","),
    table.concat(services, ","), table.concat(tenants, ","), s.header_ms, s.idle_ms)
end

-- Sends one call to a control instance; follows up to two redirects.
function gateways:control_call(c, method, path, body)
  local base = "http://" .. c.health
  for _ = 1, 3 do
    local r = run.http{url = base, method = method, path = path, body = body, timeout = 3,
      headers = body and {["Content-Type"] = "application/json"} or nil}
    if r.status ~= 307 then return r end
    base = r.Location:match("^(http://[^/]+)")
  end
  return {status = 0}
end

-- The control instance that leads, once there is one.
function gateways:leader()
  return fleet.eventually("a leader", function()
    for _, c in ipairs(self.control) do
      if run.http{url = "http://" .. c.health, method = "GET", path = "/v1/status", timeout = 3}.status == 200 then return c end
    end
  end)
end

-- The other control instances, in order.
function gateways:followers(leader)
  local list = {}
  for _, c in ipairs(self.control) do
    if c ~= leader then list[#list + 1] = c end
  end
  return list
end

-- Starts a read of the configuration at a control instance, for run.http_wait; redirects are not followed.
function gateways.start_read(c)
  return run.http_start{url = "http://" .. c.health, method = "GET", path = "/config", timeout = 10}
end

-- Runs the operators' command line against all control instances; returns its output and exit code.
function gateways:peatwell(words)
  local servers = {}
  for i, c in ipairs(self.control) do servers[i] = c.health end
  local f = io.popen(run.bin .. "/peatwell " .. words .. " --server " .. table.concat(servers, ",") .. " 2>&1; echo rc=$?")
  local text = f:read("a")
  f:close()
  return text, tonumber(text:match("rc=(%d+)"))
end

-- Sends a configuration until it is accepted; returns its version.
function gateways:publish(s)
  local text = type(s) == "string" and s or gateways.config_text(s)
  fleet.eventually("a configuration is accepted", function()
    for _, c in ipairs(self.control) do
      if c.pid and not c.gone and self:control_call(c, "PUT", "/config", text).status == 200 then return true end
    end
  end)
  return tonumber(text:match('"version":(%d+)'))
end

-- Reads the configuration from the first control instance that answers; nil when none does.
function gateways:stored_config()
  for _, c in ipairs(self.control) do
    if c.pid and not c.gone then
      local r = self:control_call(c, "GET", "/config")
      if r.status == 200 then return run.json(r.body), r.body end
    end
  end
end

-- Waits until the group has n voters, all of them caught up and running.
function gateways:wait_voters(n)
  fleet.eventually(n .. " voters", function()
    local running = {}
    for _, c in ipairs(self.control) do
      if c.pid and not c.gone then running[c.health] = true end
    end
    local leader = self:leader()
    local status = run.json(run.http{url = "http://" .. leader.health, path = "/v1/status", timeout = 2}.body)
    local count = 0
    for _, m in ipairs(status and status.members or {}) do
      if m.role ~= "learner" and m.caught_up and running[m.http] then count = count + 1 end
    end
    return count == n and #status.members == n
  end, 40000)
end

-- Waits until every gateway hears n control instances.
function gateways:wait_control_heard(n)
  for _, p in ipairs(self.gateways) do
    fleet.eventually(p.name .. " hears " .. n .. " control instances", function()
      return p:counter("gateway_control_reachable") == n
    end)
  end
end

-- Kills the n oldest control instances for good, at once, and starts as many empty ones at other addresses, whose seeds are
-- those that run then. Waits until all of them are voters. Instances that are gone leave the list.
function gateways:replace_oldest_control(n)
  self.last_control = self.last_control or #self.control
  local voters = #self.control
  for _ = 1, n do
    local oldest = table.remove(self.control, 1)
    oldest:kill()
    oldest.gone = true
  end
  local seeds = {}
  for i, c in ipairs(self.control) do seeds[i] = c.health end
  for _ = 1, n do
    self.last_control = self.last_control + 1
    local fresh = self:add_control("127.0.0." .. self.last_control, false)
    fresh.seeds = seeds
    self:write_control(fresh)
    fresh:start()
  end
  self:wait_voters(voters)
end

-- Starts the targets again, which then report to the control instances that run now.
function gateways:restart_targets()
  local control = {}
  for i, c in ipairs(self.control) do control[i] = c.health end
  for _, t in ipairs(self.targets) do
    t:kill()
    t.argv[3] = table.concat(control, ",")
    t:start()
  end
end

function gateways:wait_in_force(version)
  for _, p in ipairs(self.gateways) do
    fleet.eventually(p.name .. " has configuration " .. version, function()
      return p:counter("gateway_configuration") >= version
    end)
  end
end

function gateways:wait_ready()
  for _, p in ipairs(self.gateways) do
    fleet.eventually(p.name .. " is ready", function() return p:get("/ready").status == 200 end)
  end
end

-- Waits until every gateway knows among how many the retry budget is divided, for scenarios that need retries right after
-- the start: until then the slack gives none.
function gateways:wait_budgets()
  for _, p in ipairs(self.gateways) do
    fleet.eventually(p.name .. " divides the retry budget", function()
      return p:counter("gateway_gateways") >= #self.gateways
    end)
  end
end

-- Starts all processes, publishes the first configuration, which change(config) may edit, and waits until every
-- gateway serves it and knows all targets.
function gateways:start(change)
  for _, c in ipairs(self.control) do c:start() end
  for _, p in ipairs(self.gateways) do p:start() end
  for _, p in ipairs(self.targets) do p:start() end
  self:wait_in_force(self:publish(self:config(change)))
  self:wait_ready()
  for _, p in ipairs(self.gateways) do
    fleet.eventually(p.name .. " knows all targets", function()
      return p:counter("gateway_targets") >= #self.targets
    end)
  end
  return self
end

-- Builds a request. Fields of o: path, method, gateway, key (false: none), events, body, headers, deadline,
-- and the fields of run.http.
local request_count = 0
function gateways:call(o)
  request_count = request_count + 1
  local id = o.id or string.format("req%06d", request_count)
  local headers = {Host = "a.example", ["X-Request-Id"] = id, ["X-Deadline-Ms"] = tostring(o.deadline or 10000)}
  if o.key ~= false then headers["Api-Key"] = o.key or "kett-key" end
  if o.events then
    headers["X-Model"], headers["X-Token-Count"] = "m", "100," .. o.events
    headers["X-Prompt-Prefix"] = o.prefix or string.format("a1:50,%x:40,ff%x:10", request_count, request_count)
  end
  for k, v in pairs(o.headers or {}) do headers[k] = v end
  return {url = "http://" .. (o.gateway or self.gateways[1]).http, method = o.method or "POST", path = o.path,
    body = o.body, headers = headers, timeout = o.timeout or 20, give_up = o.give_up, stop_reading = o.stop_reading}, id
end

function gateways:ask(o)
  local c, id = self:call(o)
  local r = run.http(c)
  r.id = id
  return r
end

-- Whether a stream is complete, in order and without a gap.
function gateways.is_stream(r, events)
  if r.status ~= 200 or not r.whole or not r["X-Replica-Seal"] then return false end
  local n = 0
  for id, data in r.body:gmatch("id: (%d+)\ndata: ([^\n]+)\n\n") do
    n = n + 1
    if tonumber(id) ~= n or data ~= r.id .. "-" .. n then return false end
  end
  return n == events
end

-- Sets a fault at all running targets whose name starts with prefix.
function gateways:fault(prefix, fault)
  for _, t in ipairs(self.targets) do
    if t.name:find("^" .. prefix) and not t.gone then t:fault(fault) end
  end
end

-- Sum of a figure of /stats over the running targets whose name starts with prefix.
function gateways:sum(prefix, figure)
  local n = 0
  for _, t in ipairs(self.targets) do
    if t.name:find("^" .. prefix) and not t.gone then n = n + t:stats()[figure] end
  end
  return n
end

function gateways:most_runs(prefix)
  local n = 0
  for _, t in ipairs(self.targets) do
    if t.name:find("^" .. prefix) and not t.gone then n = math.max(n, t:stats().most) end
  end
  return n
end

function gateways:stop()
  local function runs(p) return p.pid and not p.gone end
  for _, list in ipairs{self.gateways, self.control} do
    for _, p in ipairs(list) do
      if runs(p) then p:signal("TERM") end
    end
    for _, p in ipairs(list) do
      if runs(p) then fleet.equal(p.name .. " exit code", p:ended(), 0) end
    end
  end
  for _, p in ipairs(self.targets) do
    if not p.gone then p:kill() end
  end
  os.execute("rm -rf " .. self.dir)
end

return gateways
