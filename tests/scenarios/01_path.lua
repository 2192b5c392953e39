-- Guards against answers that are cut or go to the wrong caller. Many chats run at once, streamed and not,
-- through both entries. Bad requests are then sent: each is refused with its own error code and reaches no
-- engine.
local fleet = require("fleet")
local f = fleet.new{entries = 2, engines = 3, services = 1}
f:start()

local calls = {}
for i = 1, 60 do
  local o = {entry = f.entries[i % 2 + 1], chat = "c" .. i, text = "question " .. i,
    stream = i % 3 ~= 0, max_tokens = 5 + i % 20, key = i % 2 == 0 and f.KEYS.exams or nil}
  calls[i] = {o = o, h = run.http_start(f:chat(o))}
end
for i, c in ipairs(calls) do
  local r = run.http_wait(c.h)
  fleet.expect("answer " .. i .. " complete and its own: " .. r.status .. r.body, fleet.is_answer(r, c.o))
end

-- The report shows refusals by workspace: here those of one workspace.
local report = io.popen(run.bin .. "/peatwell report " .. f.dir .. "/report.html --seconds 2 --server " .. f.control[1].health)
for _ = 1, 40 do -- runs longer than the report measures
  f:ask{text = "measured", chat = "m"}
  local r = f:ask{text = "late", chat = "late", headers = {["Peatwell-Deadline-Ms"] = "1"}}
  fleet.equal("a deadline that cannot be met", r["Peatwell-Code"], "2002")
  run.pause(100)
end
local table_text = report:read("a")
report:close()
fleet.expect("the report shows cached prompt tokens", table_text:find("prompt tokens cached"))
fleet.expect("the report shows a workspace's refusals: " .. table_text, table_text:find("\nkett%s+%d"))
fleet.expect("the report has a chart", fleet.read(f.dir .. "/report.html"):find("<polyline"))

-- Bad input: the error code and the outcome are checked, and that no engine started a run.
local function started()
  local n = 0
  for _, e in ipairs(f.engines) do
    if e.name:match("^engine") then n = n + e:stats().started end
  end
  return n
end
local before = started()
local function bad(what, code, change)
  local c = f:chat{text = "x"}
  change(c)
  local r = run.http(c)
  fleet.equal(what .. " code", r["Peatwell-Code"], tostring(code))
  fleet.equal(what .. " outcome", r["Peatwell-Outcome"], "not-run")
  fleet.equal(what .. " code in body", run.json(r.body).error.code, code)
end
bad("no key", 1003, function(c) c.headers.Authorization = nil end)
bad("wrong key", 1003, function(c) c.headers.Authorization = "Bearer nobody" end)
bad("not JSON", 1001, function(c) c.body = "{" end)
bad("cut JSON", 1001, function(c) c.body = c.body:sub(1, -5) end)
bad("bad UTF-8", 1001, function(c) c.body = c.body:gsub('"x"', '"\xff\xfe"') end)
bad("wrong type", 1001, function(c) c.body = c.body:gsub("false", '"no"') end)
bad("no messages", 1001, function(c) c.body = '{"model": "register"}' end)
bad("deep nesting", 1001, function(c) c.body = string.rep("[", 5000) end)
bad("unknown model", 1004, function(c) c.body = c.body:gsub("register", "nothing") end)
bad("too large", 1002, function(c) c.body = string.rep("x", 2000000) end)
bad("bad deadline", 1006, function(c) c.headers["Peatwell-Deadline-Ms"] = "soon" end)
bad("bad chat", 1006, function(c) c.headers["Peatwell-Chat"] = string.rep("y", 500) end)
bad("never without a key", 1008, function(c) c.headers["Peatwell-Repeat"] = "never" end)
bad("unknown path", 1005, function(c) c.path = "/v1/other" end)
fleet.equal("engine starts after bad input", started(), before)

-- The same chat name in another workspace is another chat: nothing cached is shared.
local o = {chat = "shared-name", text = string.rep("secret clause ", 40)}
f:ask(o)
o.key = f.KEYS.exams
fleet.equal("tokens cached for another workspace", f:ask(o)["Peatwell-Cached-Tokens"], "0")
f:stop()
