-- Guards against broken connections when a certificate is replaced, and against a certificate that cannot be
-- used taking effect. Callers reach an entry by TLS; the certificate is replaced on SIGHUP during a stream
-- and under load; a certificate with the wrong key and a file without one are refused.
local fleet = require("fleet")
local dir = run.temp_dir()
local data = "tests/data/"
local function install(cert, key)
  fleet.write(dir .. "/tls.key", fleet.read(data .. key))
  fleet.write(dir .. "/tls.crt", fleet.read(data .. cert))
  os.execute("chmod 600 " .. dir .. "/tls.key")
end
install("first.crt", "first.key")
local f = fleet.new{control = 1, entries = 1, engines = 1, engine_args = {20, 50},
  entry = string.format("tls_cert = %q\ntls_key = %q", dir .. "/tls.crt", dir .. "/tls.key")}
local entry = f.entries[1]
local ca = data .. "first.crt"
entry.tls = function() return ca end
f:start()

local function chat(o, trusted)
  local r = f:chat(o)
  r.ca = trusted
  return r
end
local function answers(trusted)
  local o = {text = "by tls", max_tokens = 2}
  local r = run.http(chat(o, trusted))
  return fleet.is_answer(r, o), r
end
local function logged(what) return select(2, fleet.read(entry.log):gsub(what, "")) end

fleet.expect("an answer by TLS", answers(data .. "first.crt"))
fleet.expect("no answer for a caller that trusts another certificate", not answers(data .. "second.crt"))
fleet.expect("no answer by plain HTTP", run.http{url = "http://" .. entry.health, path = "/health/live", timeout = 5}.status ~= 200)

-- The certificate is replaced during a stream: the stream ends complete.
local long = {text = "long", stream = true, max_tokens = 60}
local h = run.http_start(chat(long, data .. "first.crt"))
fleet.eventually("the stream runs", function() return f.engines[1]:stats().active == 1 end)
install("second.crt", "second.key")
entry:signal("HUP")
fleet.eventually("renewed", function() return logged("certificate%-renewed") == 1 end)
fleet.expect("the new certificate is in use", answers(data .. "second.crt"))
fleet.expect("the old certificate is not", not answers(data .. "first.crt"))
fleet.expect("the stream is complete", fleet.is_answer(run.http_wait(h), long))

-- First a certificate with another one's key, then a file that holds no certificate.
install("first.crt", "second.key")
entry:signal("HUP")
fleet.eventually("refused", function() return logged("certificate%-refused") == 1 end)
fleet.expect("the certificate before stays in use", answers(data .. "second.crt"))
fleet.write(dir .. "/tls.crt", "no certificate")
entry:signal("HUP")
fleet.eventually("refused", function() return logged("certificate%-refused") == 2 end)
fleet.expect("the certificate before is still in use", answers(data .. "second.crt"))

-- The certificate is replaced six times with a request after each.
for round = 1, 6 do
  local name = round % 2 == 1 and "first" or "second"
  install(name .. ".crt", name .. ".key")
  entry:signal("HUP")
  fleet.eventually("renewed", function() return logged("certificate%-renewed") == 1 + round end)
  fleet.expect("an answer", answers(data .. name .. ".crt"))
end
ca = data .. "second.crt"
f:stop()
os.execute("rm -rf " .. dir)
