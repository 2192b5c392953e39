-- lib.lua: starts a small deployment for the review's cases: control instances and gateways with settings filled
-- from the templates of deploy/, and replicas of review/stand.c.
local lib = {}

local STAND = "build-review/stand"

local function read(path)
  local f = io.open(path)
  if not f then return "" end
  local text = f:read("a")
  f:close()
  return text
end
lib.read = read

local function write(path, text)
  local f = assert(io.open(path, "w"))
  f:write(text)
  f:close()
end
lib.write = write

-- --- templates, as DEPLOY.md describes them ---

local function lookup(fields, name)
  for part in name:gmatch("[^.]+") do
    if type(fields) ~= "table" then return nil end
    fields = fields[tonumber(part) and tonumber(part) + 1 or part]
  end
  return fields
end

local function sections(text, fields)
  return (text:gsub("{{#([%w.]+)}}(.-){{/%1}}", function(name, inner)
    local value = lookup(fields, name)
    if not value then return "" end
    if type(value) ~= "table" then return inner end
    local out = {}
    for i, one in ipairs(value) do
      local name_of = type(one) == "table" and one[1] or i
      local piece = inner:gsub("{{@}}", tostring(name_of)):gsub("{{%.}}", tostring(one))
      out[i] = piece:gsub("{{,}}", i < #value and "," or "")
    end
    return table.concat(out)
  end))
end

function lib.fill(text, fields)
  text = sections(text, fields)
  text = text:gsub("{{([%w.]+)|json}}", function(name) return tostring(lookup(fields, name)) end)
  return (text:gsub("{{([%w.]+)}}", function(name) return tostring(lookup(fields, name) or "") end))
end

-- --- the deployment ---

local fleet = {}
fleet.__index = fleet

-- Fields of o: case (its folder), control, gateways: how many; memory: memoryMb of a gateway; bounds.
function lib.new(o)
  local f = setmetatable({o = o, dir = run.temp_dir(), control = {}, gateways = {}, replicas = {}, began = run.now()}, fleet)
  f.control_port, f.wire_port, f.gossip_port = run.port(), run.port(), run.port()
  f.metrics_port, f.front_port, f.ready_port = run.port(), run.port(), run.port()
  f.seeds = {}
  for i = 1, math.min(3, o.control) do f.seeds[i] = "127.0.1." .. i .. ":" .. f.control_port end
  for i = 1, o.control do f.control[i] = f:process("control", "127.0.1." .. i) end
  for i = 1, o.gateways do f.gateways[i] = f:process("gateway", "127.0.2." .. i) end
  return f
end

function fleet:process(role, ip)
  local bounds = {drainMs = 2000, graceS = 8, retryRatio = 0.2, retryWindowS = 10, retrySlack = 56, retryAfterS = 10, capX = 2}
  local fields = {nodeName = role .. "-" .. ip:match("%d+$"), zone = "brest-a", region = "bzh-ouest", ip = ip,
    zones = {{"brest-a"}}, listen = {control = ip .. ":" .. self.control_port, front = ip .. ":" .. self.front_port,
    ready = ip .. ":" .. self.ready_port}, portRange = {self.wire_port, self.gossip_port}, seeds = self.seeds,
    bootstrap = "true", tolerate = {machines = 2}, heartbeatMs = 500, bounds = bounds, dataDir = self.dir .. "/data-" .. ip,
    limits = {linkMbps = 1000, memoryMb = self.o.memory or 260}}
  local text = lib.fill(read("deploy/" .. role .. ".toml"), fields)
  text = text:gsub('metrics = "[^"]*"', 'metrics = "' .. ip .. ":" .. self.metrics_port .. '"')
  local p = {name = fields.nodeName, path = self.dir .. "/" .. fields.nodeName .. ".toml", ip = ip,
    control = fields.listen.control, front = fields.listen.front, ready = fields.listen.ready}
  write(p.path, text)
  return p
end

-- Starts a process with the command of deploy/system.toml.
function fleet:start(p)
  p.pid = run.spawn{run.bin .. "/peatwelld", "--config", p.path, log = self.dir .. "/" .. p.name .. ".log"}
end

function fleet:stand(name, ...)
  local argv = {STAND, ...}
  argv.log = self.dir .. "/" .. name .. ".out"
  return run.spawn(argv)
end

-- Starts a replica. Fields of o: id, service, ip, work_ms, bytes.
function fleet:replica(o)
  local controls = {}
  for i, c in ipairs(self.control) do controls[i] = c.control end
  self.replica_port = self.replica_port or run.port()
  local r = {id = o.id, log = self.dir .. "/" .. o.id .. ".tsv", shed = self.dir .. "/" .. o.id .. ".shed"}
  r.pid = self:stand(o.id, "replica", o.ip .. ":" .. self.replica_port, o.id, o.service, "brest-a",
    table.concat(controls, ","), r.log, r.shed, tostring(o.work_ms), tostring(o.bytes or 0))
  self.replicas[#self.replicas + 1] = r
  return r
end

function lib.eventually(what, check, ms)
  local until_ms = run.now() + (ms or 20000)
  repeat
    if check() then return end
    run.pause(20)
  until run.now() > until_ms
  error("never happened: " .. what)
end

local function route(name, prefix, kind, service, attempts, timeout)
  return string.format('{"name":%q,"host":"a.example","pathPrefix":%q,"kind":%q,"timeoutMs":%d,"goalMs":300,"priority":1,' ..
    '"service":%q,"attempts":%d,"public":%s,"sticky":false,"resumable":false,"gapTargetMs":300}', name, prefix, kind, timeout,
    service, attempts, name == "slow" and "true" or "false")
end

function fleet:configuration()
  local routes = {route("once", "/once/", "unsafe", "portal", 1, 5000), route("safe", "/safe/", "safe", "portal", 2, 5000),
    route("chat", "/chat/", "stream", "llm", 1, 8000), route("slow", "/slow/", "unsafe", "archive", 1, 30000)}
  local services = {}
  for i, name in ipairs{"portal", "llm", "archive"} do
    services[i] = string.format('{"name":%q,"healthPath":"/health","maxConns":370,"protocol":"h1","tls":false}', name)
  end
  local tenants = self.o.tenants and ',"tenants":[{"name":"exams","apiKeys":["key-of-unsafe-callers"],"priority":1},' ..
    '{"name":"marking","apiKeys":["key-of-stream-callers"],"priority":1}]' or ""
  return string.format('{"version":1,"routes":[%s],"services":[%s],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,' ..
    '"headerTimeoutMs":3000,"idleTimeoutMs":15000}%s}', table.concat(routes, ","), table.concat(services, ","), tenants)
end

local function publish(f, text)
  for _, c in ipairs(f.control) do
    local base = "http://" .. c.control
    for _ = 1, 3 do
      local r = run.http{url = base, method = "PUT", path = "/config", body = text, timeout = 3,
        headers = {["Content-Type"] = "application/json"}}
      if r.status == 200 then return true end
      if r.status ~= 307 then break end
      base = r.Location:match("^(http://[^/]+)")
    end
  end
end

-- Starts control and gateways, publishes the configuration and waits until all gateways are ready.
function fleet:up()
  for _, c in ipairs(self.control) do self:start(c) end
  for _, g in ipairs(self.gateways) do self:start(g) end
  lib.eventually("the configuration is accepted", function() return publish(self, self:configuration()) end)
  for _, g in ipairs(self.gateways) do
    lib.eventually(g.name .. " is ready", function()
      return run.http{url = "http://" .. g.ready, path = "/ready", timeout = 2}.status == 200
    end)
  end
end

-- Splits the lines of a log of stand.c into fields.
function lib.lines(path)
  local out = {}
  for line in read(path):gmatch("[^\n]+") do
    local fields = {}
    for field in (line .. "\t"):gmatch("([^\t]*)\t") do fields[#fields + 1] = field end
    out[#out + 1] = fields
  end
  return out
end

-- Writes the record and the verdict: "broken" or "held". The logs of the stand-ins are sorted by time.
function fleet:finish(verdict, summary, logs)
  local all = {}
  for _, path in ipairs(logs) do
    for line in read(path):gmatch("[^\n]+") do all[#all + 1] = line end
  end
  table.sort(all, function(a, b) return tonumber(a:match("^%d+")) < tonumber(b:match("^%d+")) end)
  local f = assert(io.open(self.o.case .. "/record.txt", "w"))
  f:write("verdict: ", verdict, "\n", table.concat(summary, "\n"), "\n\n")
  f:write("monotonic ms, event and its fields, from all stand-ins:\n", table.concat(all, "\n"), "\n")
  f:close()
  print(table.concat(summary, "\n"))
  write(self.o.case .. "/verdict", verdict)
end

return lib
