-- Promise: a request is not refused because an agent has not heard of a change that its entry has.
--
-- What happened: in 17_rollout a call was refused with 2005 no-target, once in dozens of runs. When all
-- targets of a version had been loaded anew, control's status told so at once; the entry knew it some
-- milliseconds later, the agents through their entry some more, and an agent that is not told of a
-- version yet refuses its requests. The entry asked each agent once, and gave up: 503. The scenario's
-- trace showed the call right after "loaded anew", no process of it was paused then, and no log line
-- told of a refusal by a target. Here all agents hear of a change 400 ms after their entry.
local fleet = require("fleet")
local LATE_MS = 400
local f = fleet.new{control = 1, entries = 1, engines = 2, agent_relays = true}
f:start()
for _, a in ipairs(f.agents) do
  for _, r in ipairs(a.parent_relays) do run.relay_set(r, "pass", LATE_MS) end
end
local text = '[[resource]]\nkind = "model"\nname = "second"\n'
for _, a in ipairs(f.agents) do
  text = text .. (f:target_toml(a):gsub('%["register"%]', '["register", "second"]'))
end
local out, code = f:apply(text, "")
fleet.equal("applied: " .. out, code, 0)

local function ask(model)
  local o = {model = model, chat = "c", text = "q", max_tokens = 2}
  return f:ask(o), o
end
-- The entry knows the model: whoever asks from then on is answered.
fleet.eventually("the entry knows it", function()
  local r, o = ask("second")
  if r.status == 404 then return false end
  fleet.expect("a whole answer, not " .. r.status .. " " .. tostring(r.body), fleet.is_answer(r, o))
  return true
end)
fleet.expect("it was refused first", f.entries[1]:counter("refused_hops_total") > 0)

-- What nobody will serve is still refused, and soon: no target is declared for this one.
out, code = f:apply('[[resource]]\nkind = "model"\nname = "third"\n')
fleet.equal("applied: " .. out, code, 0)
local asked = f.entries[1]:counter("attempts_total")
local r = ask("third")
fleet.equal("nobody has the third", r["Peatwell-Code"], "2005")
fleet.equal("nobody was asked for it", f.entries[1]:counter("attempts_total"), asked)

-- A model is told to be settled only when all have heard what was decided of it.
out, code = f:apply('[[resource]]\nkind = "model"\nname = "register"\n[resource.spec]\nreplicas = 1\n', "")
fleet.equal("applied: " .. out, code, 0)
local early = 0
fleet.eventually("one replica is settled", function()
  local _, st = f:leader()
  for _, m in ipairs(st and st.rollouts or {}) do
    if m.model == "register" and m.targets == 1 and m.settled then
      fleet.expect("settled and in force everywhere", st.in_force.revision >= st.revision)
      return true
    end
    if m.model == "register" and m.targets == 1 then early = early + 1 end
  end
end)
fleet.expect("it was not settled before", early > 0)
f:stop()
