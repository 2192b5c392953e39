-- Guards against a planned stop that cuts requests which became complete late in its grace period: they were passed on, ran,
-- and their connections were closed without an answer; against one that ends while requests are still arriving and there is
-- time to answer them; and against one that closes the connections of requests that never end without a word.
local fleet = require("fleet")
local gateways = require("gateways")
local GRACE_S, EVENTS, BODY, EACH = 6, 12, 400, 3
local PATHS = {"/once/a", "/safe/a", "/chat/a", "/again/a"}
local READ_MS = 4000

local function start(work_ms, change)
  local g = gateways.new{control = 1, gateways = 2, engines = 2, portals = 2, text = "grace_s = " .. GRACE_S}
  for _, t in ipairs(g.targets) do t:set_slots(100) end
  g:start(change)
  g:wait_budgets()
  g:fault("portal", "delay=" .. work_ms)
  g:fault("engine", "gap=" .. work_ms // EVENTS)
  for _ = 1, 3 do -- how long each route takes is known before the stop
    local handles = {}
    for i, path in ipairs(PATHS) do handles[i] = run.http_start((g:call{path = path, events = EVENTS, body = "x"})) end
    for _, h in ipairs(handles) do fleet.equal("before the stop", run.http_wait(h).status, 200) end
  end
  return g
end

-- Begins an upload, all of whose body but the last two bytes are sent.
local function begin(g, path, id)
  local c = run.raw_open(g.gateways[1].http)
  run.raw_send(c, "POST " .. path .. " HTTP/1.1\r\nHost: a.example\r\nApi-Key: kett-key\r\nX-Request-Id: " .. id ..
    "\r\nX-Deadline-Ms: 10000\r\nX-Model: m\r\nX-Token-Count: 100," .. EVENTS .. "\r\nX-Prompt-Prefix: a1:50,ff" .. #id .. ":50" ..
    "\r\nContent-Length: " .. BODY .. "\r\n\r\n" .. ("u"):rep(BODY - 2))
  return c
end

-- Plays a stop of gateway 1 in which uploads become complete `late` ms after it; those of up to served_ms must be served.
local function play(work_ms, late, served_ms)
  local g = start(work_ms)
  local uploads = {}
  for _, ms in ipairs(late) do
    for _, path in ipairs(PATHS) do
      for i = 1, EACH do
        uploads[#uploads + 1] = {ms = ms, path = path, id = "up" .. ms .. path:sub(2, 3) .. i}
      end
    end
  end
  for _, u in ipairs(uploads) do u.c = begin(g, u.path, u.id) end
  run.pause(100)
  local before = g:sum("portal", "total") + g:sum("engine", "total")
  g.gateways[1]:signal("TERM")
  local from = run.now()
  for _, u in ipairs(uploads) do
    if from + u.ms > run.now() then run.pause(from + u.ms - run.now()) end
    u.is_sent = run.raw_send(u.c, "uu")
  end
  local served = 0
  for _, u in ipairs(uploads) do
    local text = run.raw_read(u.c, READ_MS)
    local what = string.format("%d ms of work, %s complete at %d ms: %s", work_ms, u.path, u.ms, text:sub(1, 300))
    local status = tonumber(text:match("^HTTP/1.1 (%d+)"))
    local is_stream = u.path == "/chat/a" or u.path == "/again/a"
    local is_whole = status == 200 and (is_stream and text:find("id: " .. EVENTS .. "\n", 1, true) and text:find("\r\n0\r\n\r\n", 1, true) or
      not is_stream and text:find(u.id, 1, true))
    fleet.expect("answered: " .. what, is_whole or status == 503)
    fleet.expect("served: " .. what, is_whole or u.ms > served_ms)
    served = served + (is_whole and 1 or 0)
    run.raw_close(u.c)
  end
  fleet.equal("refused ones have not run", g:sum("portal", "total") + g:sum("engine", "total") - before, served)
  fleet.equal("exit code", g.gateways[1]:ended(), 0)
  g.gateways[1].gone = true
  g:stop()
end

play(1000, {300, 1500, 3000, 4300, 4800, 5100, 5400}, 3000)
play(50, {1000, 3500, 4500, 5400}, 4500)

-- A target stands still: the requests that it has get an error at the end, which does not deny that they have run.
local g = start(50, function(s)
  for _, r in ipairs(s.routes) do r.timeout = 30000 end
end)
g:fault("portal", "hold=1")
local calls = {}
for i, path in ipairs{"/once/a", "/safe/a"} do
  calls[i] = run.http_start((g:call{path = path, body = "x", deadline = 20000}))
end
run.pause(300)
g.gateways[1]:signal("TERM")
for _, h in ipairs(calls) do
  local r = run.http_wait(h)
  fleet.expect("an error: " .. r.status, r.status == 502 or r.status == 504)
end
g:fault("portal", "hold=0")
fleet.equal("exit code", g.gateways[1]:ended(), 0)
g.gateways[1].gone = true
g:stop()
