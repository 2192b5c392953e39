-- Promise: a new version whose requests all fail costs callers nothing while another version serves, also
-- when control is slow to take it back.
--
-- What happened: in 17_rollout callers got 502 bad-upstream for a version whose requests fail, twice in 32
-- runs in which a stand-in engine had started late. Entries tell control of failures, control takes the
-- version back; until then each request to it fails and is retried at the other version, until the budget
-- of retries is used up. Its targets were set aside by then ("target-set-aside target=engine-2", twice in
-- a second), but a target that is set aside was asked all the same before the other version was.
-- Here control stands still as soon as the version has chats.
local fleet = require("fleet")
local CHATS = 300
local f = fleet.new{control = 1, entries = 1, engines = 4, control_text = ""}
f:start()
local VERSION = '[[resource]]\nkind = "version"\nname = "%s"\n[resource.spec]\nmodel = "register"\n' ..
  'size_bytes = 1000\nsteps = [50]\nstep_s = 600\nmin_requests = 100000\nmax_error_share = 0.1\n'
local MODEL = '[[resource]]\nkind = "model"\nname = "register"\n[resource.spec]\nversion = "%s"\n'
local turn = 0
local function ask()
  turn = turn + 1
  local o = {text = "q" .. turn, chat = "chat-" .. turn, max_tokens = 2}
  return fleet.is_answer(f:ask(o), o)
end

for _, e in ipairs(f.engines) do e:fault("bad=v1") end
local text, code = f:apply(VERSION:format("v1") .. MODEL:format("v1"), "")
fleet.equal("applied: " .. text, code, 0)
-- Half of the chats are the new version's as soon as the first of them fails.
fleet.eventually("the version has chats", function()
  fleet.expect("a whole answer", ask())
  return f.entries[1]:counter("retries_total") > 0
end, 60000)
f.control[1]:pause()
local whole = 0
for _ = 1, CHATS do whole = whole + (ask() and 1 or 0) end
f.control[1]:continue()
fleet.equal("answered while control stood still", whole, CHATS)
f:stop()
