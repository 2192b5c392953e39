-- Guards against routes that open to everyone when the last tenant is taken away: an empty list of tenants counted as a
-- configuration without tenants, which asks for no key.
local fleet = require("fleet")
local gateways = require("gateways")
local g = gateways.new{control = 1, gateways = 1, portals = 1}
g:start()
local function statuses()
  local list = {}
  for _, key in ipairs{"kett-key", "never-a-key", false} do
    list[#list + 1] = g:ask{path = "/once/a", key = key, body = "x"}.status
  end
  return table.concat(list, " ")
end
-- Publishes a configuration whose list of tenants is replaced.
local function set_tenants(member)
  local text = gateways.config_text(g:config()):gsub('"tenants":%b[],', member)
  g:wait_in_force(g:publish(text))
end
fleet.equal("with tenants", statuses(), "200 401 401")
for _, member in ipairs{'"tenants":[],', '"tenants":[{"name":"kett","apiKeys":[]}],', '"tenants":[{"name":"kett"}],', '"tenants":[{"name":"kett","apiKeys":null}],'} do
  set_tenants(member)
  fleet.equal(member, statuses(), "401 401 401")
  fleet.equal(member .. " on a public route", g:ask{path = "/safe/open/a", key = false, body = "x"}.status, 200)
end
local before = g.version
local text = gateways.config_text(g:config()):gsub('"tenants":%b[],', '"tenants":null,')
fleet.equal("a list that is none is refused", g:control_call(g.control[1], "PUT", "/config", text).status, 422)
fleet.equal("and changes nothing", statuses(), "401 401 401")
fleet.equal("the version in force", g.gateways[1]:counter("gateway_configuration"), before)
set_tenants("")
fleet.equal("without the member no key is asked for", statuses(), "200 200 200")
g:publish(g:config())
g:stop()
