-- path.lua: compares requests through peatwell with direct calls to the engine: time to the first
-- byte, time between tokens, requests per second.
local fleet = require("fleet")
local f = fleet.new{entries = 1, engines = 1, engine_args = {5, 1000}, entry = "threads = 4",
  agent = "slots = 600\ndecode_tokens_per_s = 100000", policy = "floor_tokens = 1000000"}
f:start()
local function bench(url, key, streams, requests)
  local p = assert(io.popen(string.format("%s/bench_path %s %s %d %d 40", run.bin, url, key, streams, requests)))
  local text = p:read("a")
  p:close()
  local out = {}
  for n in text:gmatch("%S+") do out[#out + 1] = tonumber(n) end
  return out
end
print("| streams | way | requests/s | first byte p50 ms | p99 | between tokens p50 ms | p99 | broken |")
print("| --- | --- | --- | --- | --- | --- | --- | --- |")
for _, s in ipairs{1, 64, 512} do
  local n = s == 1 and 20 or s * 4
  local direct = bench("http://" .. f.engines[1].health, "d" .. s, s, n)
  local through = bench("http://" .. f.entries[1].health, f.KEYS.kett, s, n)
  for i, r in ipairs{direct, through} do
    print(string.format("| %d | %s | %.1f | %.2f | %.2f | %.2f | %.2f | %d |", s,
      i == 1 and "direct" or "peatwell", r[2], r[3], r[4], r[5], r[6], r[7]))
  end
  print(string.format("| %d | ratio | %.2f | %.2f | %.2f | %.2f | %.2f | |", s, through[2] / direct[2],
    through[3] / direct[3], through[4] / direct[4], through[5] / direct[5], through[6] / direct[6]))
end
f:stop()
