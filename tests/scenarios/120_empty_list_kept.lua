-- Guards against an empty list of tenants that opens all routes once the configuration was read back from a disk, sent to a
-- new control instance, or fetched by a gateway that has just started; 113_no_tenants_left plays the change itself.
local fleet = require("fleet")
local gateways = require("gateways")
local g = gateways.new{control = 5, gateways = 2, portals = 1}
g:start()
g:wait_voters(5)

local function check(what)
  for _, p in ipairs(g.gateways) do
    for _, key in ipairs{"kett-key", "never-a-key", false} do
      local r = g:ask{path = "/once/a", key = key, body = "x", gateway = p}
      fleet.equal(what .. ": " .. p.name .. ", key " .. tostring(key), r.status, 401)
    end
    local r = g:ask{path = "/safe/open/a", key = false, body = "x", gateway = p}
    fleet.equal(what .. ": " .. p.name .. ", a public route", r.status, 200)
  end
end
local function restart(list)
  for _, p in ipairs(list) do p:kill() end
  for _, p in ipairs(list) do p:start() end
  g:wait_ready()
end

local version = g:publish((gateways.config_text(g:config()):gsub('"tenants":%b[],', '"tenants":[],')))
g:wait_in_force(version)
check("published")
restart{g.gateways[1]}
check("a gateway started again")
restart(g.control)
g:wait_in_force(version)
check("all control instances started again")
local all = {g.gateways[1], g.gateways[2]}
for _, c in ipairs(g.control) do all[#all + 1] = c end
restart(all)
check("everything started again")
g:replace_oldest_control(2)
g:replace_oldest_control(2)
g:replace_oldest_control(2)
g:restart_targets()
restart{g.gateways[2]}
g:wait_in_force(version)
fleet.eventually("the portal is known again", function()
  return g:ask{path = "/safe/open/a", key = false, body = "x", gateway = g.gateways[2]}.status == 200
end)
check("each control instance replaced")
local text = select(2, g:stored_config())
fleet.expect("the list is read back as empty", text:find('"tenants":%s*%[%]') ~= nil)
g:stop()
