-- Guards against a request with a trailer field that carries other bytes when it is sent again: the field's place in the read
-- buffer of all connections holds other bytes by then. Each request is refused by a target that did not run it, and
-- must reach the next target as its caller sent it.
local fleet = require("fleet")
local gateways = require("gateways")
local REQUESTS = 40
local g = gateways.new{control = 1, gateways = 1, portals = 2}
g:start()
g:wait_budgets()
local address = g.gateways[1].http

-- The request up to its last chunk, and the rest, which is sent on its own: the refusal then comes to the same place in the
-- read buffer.
local function request(id, path, body)
  return string.format("POST %s HTTP/1.1\r\nHost: a.example\r\nApi-Key: kett-key\r\nX-Request-Id: %s\r\nX-Own: own-%s\r\n" ..
    "Transfer-Encoding: chunked\r\nTrailer: Content-Digest\r\n\r\n%x\r\n%s\r\n", path, id, id, #body, body),
    string.format("0\r\nContent-Digest: sha-512=:%s:\r\n\r\n", id:rep(11))
end

-- The header lines that a target gets, without those that the gateway adds.
local function lines_of(head)
  local own, added = {}, {["X-Deadline-Ms"] = true, ["X-Expect-Replica"] = true, ["X-Tenant"] = true}
  for line in head:gmatch("[^\r\n]+") do
    if not added[line:match("^([^:]*):")] then own[#own + 1] = line end
  end
  return table.concat(own, "|")
end

local resent = 0
for i = 1, REQUESTS do
  local id = string.format("trail%03d", i)
  local path, body = "/once/" .. ("p"):rep(1 + i % 60), "order=" .. id .. ("&more=1"):rep(i % 7)
  for _, t in ipairs(g.targets) do t:get("/received") end
  g:fault("portal", "refuse=0")
  g["portal-" .. 1 + i % 2]:fault("refuse=1")
  local c = run.raw_open(address)
  local first, rest = request(id, path, body)
  run.raw_send(c, first)
  run.pause(5)
  run.raw_send(c, rest)
  local text = run.raw_read(c, 5000, "POST /once/")
  run.raw_close(c)
  fleet.expect(id .. " is answered: " .. text, text:find("HTTP/1.1 200", 1, true))
  local want = "POST " .. path .. " HTTP/1.1|Host: a.example|X-Request-Id: " .. id .. "|X-Own: own-" .. id .. "|Content-Length: " .. #body
  local arrivals = 0
  for _, t in ipairs(g.targets) do
    local received = t:get("/received").body
    if received ~= "" then
      arrivals = arrivals + 1
      local head, got = received:match("^(.-\r\n)\r\n(.*)\r\n$")
      fleet.equal(id .. " at " .. t.name .. ": head", lines_of(head), want)
      fleet.equal(id .. " at " .. t.name .. ": body", got, body)
    end
  end
  if arrivals == 2 then resent = resent + 1 end
end
fleet.expect("some requests were sent again: " .. resent, resent > 5)
fleet.equal("runs of one request", g:most_runs("portal"), 1)
fleet.equal("bytes behind a request", g:sum("portal", "surplus"), 0)
g:stop()
