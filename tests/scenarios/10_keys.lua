-- Guards against processes and operators without a trusted key. Connections between processes are encrypted
-- by CURVE and accept trusted keys only; operators need a key; a key file that others can read stops the
-- start.
local fleet = require("fleet")
local f = fleet.new{curve = true, control = 3, entries = 2, engines = 2}
f:start()
for i = 1, 4 do
  local o = {entry = f.entries[i % 2 + 1], text = "encrypted " .. i, stream = true}
  fleet.expect("answered over CURVE", fleet.is_answer(f:ask(o), o))
end

-- An agent whose key nobody trusts is not accepted and gets no work.
local untrusted = f:target("stranger", "engine", "az-1")
local trust = fleet.read(f.dir .. "/trust")
untrusted.engine:start()
untrusted:start()
run.pause(1500)
fleet.equal("an untrusted agent is not ready", untrusted:get("/health/ready").status, 503)
for _, e in ipairs(f.entries) do
  fleet.expect("no entry accepted it", not e:get("/v1/children").body:find("agent%-stranger"))
end
untrusted:stop()
untrusted.gone, untrusted.engine.gone = true, true
untrusted.engine:kill()

-- A key file that others can read stops the start; the error says so.
os.execute("chmod 644 " .. f.dir .. "/agent-engine-1.key")
local p = io.popen(run.bin .. "/peatwelld --check --config " .. f.agents[1].settings .. " 2>&1")
local text = p:read("a")
local _, _, code = p:close()
fleet.equal("exit code for a readable key: " .. text, code, 3)
fleet.expect("the error gives the reason", text:find("others can read"))
os.execute("chmod 600 " .. f.dir .. "/agent-engine-1.key")
f:stop()

-- Operators need a key once an operators file is set.
local g = fleet.new{control = 1, entries = 1, engines = 1}
local settings = fleet.read(g.control[1].settings)
local h = io.popen("echo operator-key | " .. run.bin .. "/peatwell keyhash")
fleet.write(g.dir .. "/operators", h:read("a"))
h:close()
fleet.write(g.dir .. "/operator-key", "operator-key\n")
os.execute("chmod 600 " .. g.dir .. "/operators " .. g.dir .. "/operator-key")
fleet.write(g.control[1].settings, settings .. '\noperators_file = "' .. g.dir .. '/operators"\n')
for _, list in ipairs{g.control, g.entries} do for _, q in ipairs(list) do q:start() end end
fleet.eventually("ready", function() return g.control[1]:get("/health/ready").status == 200 end)
text, code = g:peatwell("get")
fleet.expect("without a key: " .. text, code == 1 and text:find("1003"))
text, code = g:peatwell("get --key-file " .. g.dir .. "/operator-key")
fleet.equal("with the key: " .. text, code, 0)
for _, list in ipairs{g.entries, g.control} do for _, q in ipairs(list) do q:stop() end end
