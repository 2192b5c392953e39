-- platform-2.lua: a small platform for the scripts of this review. It fills the settings templates of deploy/ as
-- DEPLOY.md describes, starts the programs of deploy/system.toml on loopback addresses, and acts as the operator.
local platform = {}
platform.__index = platform

local function read(path)
  local f = assert(io.open(path))
  local text = f:read("a")
  f:close()
  return text
end

local function write(path, text)
  local f = assert(io.open(path, "w"))
  f:write(text)
  f:close()
end

-- --- templates ---

local function lookup(fields, name)
  local value = fields
  for part in name:gmatch("[^.]+") do
    if type(value) ~= "table" then return nil end
    if value[part] ~= nil then value = value[part] else value = value[tonumber(part) and tonumber(part) + 1 or part] end
  end
  return value
end

local function text_of(value)
  if value == nil then return "" end
  if type(value) == "table" then return table.concat(value, ",") end
  return tostring(value)
end

-- Fills the gaps outside of sections. `entry` and `key` stand for {{.}} and {{@}}, `comma` for {{,}}.
local function fill_gaps(text, fields, entry, key, comma)
  return (text:gsub("{{([^}]+)}}", function(name)
    if name == "." then return text_of(entry) end
    if name == "@" then return text_of(key) end
    if name == "," then return comma end
    return text_of(lookup(fields, (name:gsub("|json$", ""))))
  end))
end

local function keys_of(value)
  local keys = {}
  for k in pairs(value) do keys[#keys + 1] = k end
  table.sort(keys)
  return keys
end

local function fill_section(body, fields, value)
  if value == nil or value == false then return "" end
  if type(value) ~= "table" then return fill_gaps(body, fields) end
  local out, keys = {}, keys_of(value)
  for i, k in ipairs(keys) do out[i] = fill_gaps(body, fields, value[k], k, i < #keys and "," or "") end
  return table.concat(out)
end

local function fill(template, fields)
  local text = template:gsub("{{#([%w.]+)}}(.-){{/%1}}", function(name, body)
    return fill_section(body, fields, lookup(fields, name))
  end)
  return fill_gaps(text, fields)
end

-- --- machines ---

local ZONES = {"tln-a", "tln-b", "mrd-a", "klv-a"}
local CORE_ZONES = {"tln-a", "tln-a", "tln-b", "mrd-a", "klv-a"}

-- The figures of the site kkett-hq that the templates use. `record` is the path of the record.
function platform.new(record)
  local p = setmetatable({dir = run.temp_dir(), machines = {}, core = {}, front = {}}, platform)
  p.began = run.now()
  p.out = assert(io.open(record, "w"))
  p.control_port, p.front_port, p.ready_port, p.range = run.port(), run.port(), run.port(), run.port()
  run.port() -- the second port of the range
  -- Each runner has a block of a thousand ports, so that scripts which run at the same time have different addresses.
  p.net = string.format("127.%d.%d", 20 + p.control_port // 1000, 1 + p.began % 250)
  return p
end

function platform:note(fmt, ...)
  self.out:write(string.format("%8.3f s  ", (run.now() - self.began) / 1000), string.format(fmt, ...), "\n")
  self.out:flush()
end

-- Starts a program; run-2.sh ends it if this script is cut off.
local function spawn(argv)
  local pid = run.spawn(argv)
  local f = assert(io.open(os.getenv("PIDS"), "a"))
  f:write(pid, "\n")
  f:close()
  return pid
end
platform.spawn = spawn

-- Adds a machine of a class, "core" or "front", whose address ends with `number`.
function platform:add(class, number, zone)
  local ip = self.net .. "." .. number
  local m = {name = class .. "-" .. number, class = class, ip = ip, zone = zone, number = number,
    settings = self.dir .. "/" .. class .. "-" .. number .. ".settings", data = self.dir .. "/disk-" .. number,
    log = self.dir .. "/" .. class .. "-" .. number .. ".log"}
  m.control = ip .. ":" .. self.control_port
  m.front, m.ready = ip .. ":" .. self.front_port, ip .. ":" .. self.ready_port
  self.machines[#self.machines + 1] = m
  self[class][#self[class] + 1] = m
  return m
end

-- Five core machines and `fronts` fronts, as on the site kkett-hq.
function platform:add_site(fronts)
  for i = 1, 5 do self:add("core", 40 + i, CORE_ZONES[i]) end
  for i = 1, fronts do self:add("front", 60 + i, ZONES[i]) end
  self.seeds = {self.core[1].control, self.core[2].control, self.core[3].control}
end

-- Writes the settings of a machine; `bootstrap` only at the very first start of the whole system.
function platform:write_settings(m, bootstrap)
  local zones = {}
  for _, z in ipairs(ZONES) do zones[z] = "ee-north" end
  local fields = {nodeName = m.name, role = m.class, machineClass = m.class, ip = m.ip, zone = m.zone,
    region = "ee-north", zones = zones, listen = {control = m.control, front = m.front, ready = m.ready},
    portRange = {self.range, self.range + 1}, seeds = self.seeds, bootstrap = bootstrap, heartbeatMs = 1200,
    limits = {memoryMb = m.class == "core" and 256 or 260, linkMbps = m.class == "core" and 6 or 1000},
    dataDir = m.class == "core" and m.data or nil, tolerate = {machines = 2, zones = 0, regions = 0},
    bounds = {retryRatio = 0.2, retrySlack = 56, retryWindowS = 10, graceS = 8, capX = 2, retryAfterS = 10}}
  write(m.settings, fill(read(m.class == "core" and "deploy/control.toml" or "deploy/gateway.toml"), fields))
end

function platform:start(m, bootstrap)
  self:write_settings(m, bootstrap)
  m.pid = spawn{run.bin .. "/peatwelld", "--config", m.settings, log = m.log}
  self:note("platform  starts %s, bootstrap %s", m.name, tostring(bootstrap))
end

-- Ends the processes of these machines at the same moment, as a loss of power does.
function platform:kill(list)
  for _, m in ipairs(list) do run.signal(m.pid, "KILL") end
  for _, m in ipairs(list) do
    run.wait(m.pid, 5000)
    m.pid = nil
    self:note("platform  the process of %s is killed", m.name)
  end
end

-- The disk of a machine that is down is lost.
function platform:wipe(m)
  os.execute("rm -rf '" .. m.data .. "'")
  self:note("platform  the disk of %s is lost", m.name)
end

-- --- the operator ---

local TENANT = '{"name":"hule930","apiKeys":["n2ctnfzs989anu6wsjnb"],"priority":1}'

-- `tenants`: the list of tenants as JSON without its brackets; one tenant with one key if it is not given.
function platform.config_text(version, tenants)
  return string.format('{"version":%d,"routes":[{"name":"r-1","host":"ficu95.example","pathPrefix":"/look/",' ..
    '"kind":"unsafe","timeoutMs":1500,"goalMs":300,"priority":2,"service":"register-app","attempts":1,"public":false,' ..
    '"sticky":false,"resumable":false},{"name":"r-2","host":"ficu95.example","pathPrefix":"/file/","kind":"unsafe",' ..
    '"timeoutMs":10000,"goalMs":5000,"priority":2,"service":"register-app","attempts":1,"public":false,"sticky":false,' ..
    '"resumable":false}],"services":[{"name":"register-app","healthPath":"/health","maxConns":110,' ..
    '"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,' ..
    '"idleTimeoutMs":15000},"tenants":[%s]}', version, tenants or TENANT)
end

-- One call to a control machine; follows up to two redirects. Returns the answer and the machine that gave it.
function platform:call(m, method, body)
  local at = m.control
  for _ = 1, 3 do
    local r = run.http{url = "http://" .. at, method = method, path = "/config", body = body, timeout = 1,
      headers = body and {["Content-Type"] = "application/json"} or nil}
    if r.status ~= 307 then return r, at end
    at = r.Location:match("^http://([^/]+)") or at
  end
  return {status = 0}, at
end

function platform:machine_at(control)
  for _, m in ipairs(self.core) do
    if m.control == control then return m end
  end
end

-- Calls the running control machines in turn until one answers 200, for at most `ms`. Returns the answer and its machine.
function platform:until_done(method, body, ms)
  local stop, pause, seen = run.now() + ms, 10, {}
  repeat
    for _, m in ipairs(self.core) do
      if m.pid then
        local r, at = self:call(m, method, body)
        if r.status == 200 then return r, self:machine_at(at) end
        seen[r.status] = (seen[r.status] or 0) + 1
      end
    end
    run.pause(pause)
    pause = math.min(2 * pause, 400)
  until run.now() > stop
  local list = {}
  for status, n in pairs(seen) do list[#list + 1] = string.format("%d x %s", n, status == 0 and "no answer" or status) end
  self:note("operator  %s /config: no 200 in %.1f s; answers: %s", method, ms / 1000, table.concat(list, ", "))
end

-- Sends a configuration until it is acknowledged. Returns the machine that acknowledged it, or nil.
function platform:put(version, ms, tenants)
  self:note("operator  sends configuration %d, tenants: [%s]", version, tenants or TENANT)
  local r, m = self:until_done("PUT", platform.config_text(version, tenants), ms)
  if r then self:note("operator  configuration %d is acknowledged by %s", version, m.name) end
  return m
end

-- Reads the configuration until an answer is 200, for at most `ms`. Returns its version, or nil.
function platform:get(ms)
  self:note("operator  reads the configuration, for up to %.0f s", ms / 1000)
  local r, m = self:until_done("GET", nil, ms)
  local config = r and run.json(r.body)
  if r then self:note("operator  %s answers with configuration %s", m.name, config and config.version or "?") end
  return config and config.version
end

-- --- replicas and clients ---

-- Starts a replica of the service, the project's own stand-in, which sends heartbeats to these control machines.
function platform:start_replica(number, control)
  local address, list = self.net .. "." .. number .. ":" .. self.front_port, {}
  for i, m in ipairs(control) do list[i] = m.control end
  local m = {name = "replica-" .. number, address = address, log = self.dir .. "/replica-" .. number .. ".log"}
  m.pid = spawn{"build/fake-target", address, table.concat(list, ","), "register-app", ZONES[1],
    string.format("i-%08x", number), address, "v1", "6", log = m.log}
  self.machines[#self.machines + 1] = m
  self:note("platform  starts %s", m.name)
  return m
end

-- Sets a fault of a replica, or asks it for a figure.
function platform.replica_get(m, path)
  return run.http{url = "http://" .. m.address, method = "GET", path = path, timeout = 5}.body
end

-- Memory that a process takes now, in MB.
function platform.memory_mb(m)
  local text = read("/proc/" .. m.pid .. "/status")
  return (tonumber(text:match("VmRSS:%s+(%d+) kB")) or 0) / 1024
end

-- Sends `n` requests, one after the other, to the fronts in turn, with this key (false: none). Returns how many were
-- served, and the ids of all.
function platform:ask(n, key)
  local served, seen, ids = 0, {}, {}
  key = key == nil and "n2ctnfzs989anu6wsjnb" or key
  for i = 1, n do
    local m = self.front[(i - 1) % #self.front + 1]
    self.requests = (self.requests or 0) + 1
    ids[i] = string.format("%016x", self.requests)
    local r = run.http{url = "http://" .. m.front, method = "POST", path = "/look/x", timeout = 2, headers = {
      Host = "ficu95.example", ["X-Request-Id"] = ids[i], ["X-Deadline-Ms"] = "1500", ["Api-Key"] = key or nil}}
    local is_served = r.status == 200 and r.whole and r["X-Replica-Seal"]
    served = served + (is_served and 1 or 0)
    seen[r.status] = (seen[r.status] or 0) + 1
    run.pause(100)
  end
  local list = {}
  for status, count in pairs(seen) do list[#list + 1] = string.format("%d x %s", count, status == 0 and "none" or status) end
  self:note("clients   %d requests with key %s, %d served; answers: %s", n, tostring(key), served,
    table.concat(list, ", "))
  return served, ids
end

-- How many of these requests the replicas ran.
function platform:count_runs(ids, replicas)
  local ran = 0
  for _, id in ipairs(ids) do
    local n = 0
    for _, m in ipairs(replicas) do n = n + (tonumber(platform.replica_get(m, "/ran?" .. id)) or 0) end
    ran = ran + (n > 0 and 1 or 0)
  end
  return ran
end

-- Writes the logs of the core to the record, ends all processes and gives the verdict to run.sh.
function platform:finish(verdict, why)
  self:note("verdict   %s: %s", verdict, why)
  for _, m in ipairs(self.machines) do
    if m.pid then run.signal(m.pid, "KILL") end
  end
  for _, m in ipairs(self.machines) do
    if m.pid then run.wait(m.pid, 5000) end
  end
  for _, m in ipairs(self.core) do
    local f = io.open(m.log) -- a process that is killed at once may not have written one
    self.out:write("--- log of ", m.name, "\n", f and f:read("a"):sub(1, 2500) or "", "\n")
    if f then f:close() end
  end
  self.out:close()
  os.execute("rm -rf '" .. self.dir .. "'")
  write(os.getenv("VERDICT"), verdict)
end

return platform
