-- Guards against a service in trouble that sends bytes without end, in a head or a body, on the way over agents and entries:
-- what is kept of them, threads that read them for good, and calls beside that end with them.
local fleet = require("fleet")
local AT_ONCE, MEMORY_MB = 40, 100
local KINDS = {"header lines", "one header line", "interim answers", "chunks", "a body without a length"}
local f = fleet.new{entries = 1, engines = 1, services = 1}
f:start()
local faulty = f.engines[2]

-- Callers give up at 64 KB of an answer: a body without end is no fault that can be told before.
local asked = 0
local function call(give_up)
  asked = asked + 1
  return f:call{body = "call " .. asked, timeout = 40, give_up = give_up}
end
local function check_memory(what, p)
  local kb = tonumber(fleet.read("/proc/" .. p.pid .. "/status"):match("VmHWM:%s*(%d+) kB"))
  if not run.bin:find("san") then
    fleet.expect(what .. ": memory of " .. p.name .. ": " .. kb .. " kB", kb <= MEMORY_MB * 1024)
  end
end

for kind, what in ipairs(KINDS) do
  local before = faulty:stats().total
  faulty:get("/fault?endless=" .. kind)
  local handles = {}
  for i = 1, AT_ONCE do handles[i] = run.http_start(call(65536)) end
  local chat = {chat = "beside-" .. kind, text = "beside " .. what}
  local r = f:ask(chat)
  fleet.expect(what .. ": a chat beside them: " .. r.status .. " " .. r.body:sub(1, 200), fleet.is_answer(r, chat))
  for _, h in ipairs(handles) do
    local r = run.http_wait(h)
    fleet.expect(what .. ": " .. r.status .. " " .. r.body:sub(1, 60), r.status >= 500 or not r.whole)
  end
  fleet.expect(what .. ": calls meet it", faulty:stats().total > before)
  check_memory(what, f.entries[1])
  check_memory(what, faulty.agent)
  fleet.eventually(what .. ": nothing is read for good", function()
    return faulty.agent:counter("active_requests") == 0 and f.entries[1]:counter("active_requests") == 0
  end)
  faulty:get("/fault?endless=0")
  fleet.eventually(what .. ": served again", function() return run.http(call()).status == 200 end)
end
f:stop()
