-- Guards against failed requests during a rollout of a version whose requests all fail, while another version
-- serves and control is slow to roll back. In 17_rollout callers got 502 bad-upstream, twice in 32 runs in
-- which a stand-in engine had started late. Entries report failures to control, which rolls the version back;
-- until then each request to the version fails and is retried at the other version as long as the retry
-- budget lasts. The targets were already ejected ("target-set-aside target=engine-2", twice in a second), but
-- an ejected target was still tried before the other version.
--
-- Here control is suspended as soon as the version has chats.
local fleet = require("fleet")
local CHATS = 300
local f = fleet.new{control = 1, entries = 1, engines = 4, control_text = ""}
f:start()
local VERSION = '[[resource]]\nkind = "version"\nname = "%s"\n[resource.spec]\nmodel = "register"\n' ..
  'size_bytes = 1000\nsteps = [50]\nstep_s = 600\nmin_requests = 100000\nmax_error_share = 0.1\n'
local MODEL = '[[resource]]\nkind = "model"\nname = "register"\n[resource.spec]\nversion = "%s"\n'
local count = 0
local function ask()
  count = count + 1
  local o = {text = "q" .. count, chat = "chat-" .. count, max_tokens = 2}
  return fleet.is_answer(f:ask(o), o)
end

for _, e in ipairs(f.engines) do e:fault("bad=v1") end
local text, code = f:apply(VERSION:format("v1") .. MODEL:format("v1"), "")
fleet.equal("applied: " .. text, code, 0)
-- Half of the chats belong to the new version as soon as the first of them fails.
fleet.eventually("the new version gets chats", function()
  fleet.expect("a complete answer", ask())
  return f.entries[1]:counter("retries_total") > 0
end, 60000)
f.control[1]:pause()
local complete = 0
for _ = 1, CHATS do complete = complete + (ask() and 1 or 0) end
f.control[1]:continue()
fleet.equal("answered while control was suspended", complete, CHATS)
f:stop()
