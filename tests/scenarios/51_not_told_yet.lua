-- Guards against a request that is refused because an agent has not yet received a change that its entry has.
-- In 17_rollout a call was refused with 2005 no-target, once in dozens of runs: control's status reported a
-- version as loaded at all targets, the entry learned it some milliseconds later, and the agents, which
-- receive it through their entry, later still. An agent that does not know a version refuses its requests;
-- the entry asked each agent once and answered 503. No process was paused, and no log line showed a refusal
-- by a target.
--
-- Here all agents receive changes 400 ms after their entry.
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
-- Once the entry knows the model, requests for it must be answered.
fleet.eventually("the entry knows the model", function()
  local r, o = ask("second")
  if r.status == 404 then return false end
  fleet.expect("a complete answer, not " .. r.status .. " " .. tostring(r.body), fleet.is_answer(r, o))
  return true
end)
fleet.expect("agents refused the model at first", f.entries[1]:counter("refused_hops_total") > 0)

-- A model that no target will serve is still refused, and without an attempt: no target is declared for it.
out, code = f:apply('[[resource]]\nkind = "model"\nname = "third"\n')
fleet.equal("applied: " .. out, code, 0)
local asked = f.entries[1]:counter("attempts_total")
local r = ask("third")
fleet.equal("code for a model without targets", r["Peatwell-Code"], "2005")
fleet.equal("attempts for a model without targets", f.entries[1]:counter("attempts_total"), asked)

-- A model is reported as settled only when all processes have received what was decided about it.
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
fleet.expect("the model was not reported as settled at once", early > 0)
f:stop()
