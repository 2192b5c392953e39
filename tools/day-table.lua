-- day-table: prints the load of each role and the propagation times of a simulated day as table rows for
-- docs/design/fleet.md and docs/CAPACITY.md.
--   REPORT=day.json build/pwscenario --bin build tools/day-table.lua
-- REPORT is the file that a day writes with `--report`; of each role it has the middle and the busiest instance.
local path = assert(os.getenv("REPORT"), "REPORT names the report of a day")
local f = assert(io.open(path))
local day = run.json(f:read("a"))
f:close()

-- Row titles in the order of the report's figures; a sweep prints the same titles.
local ROWS = {"processor, % of its share", "memory at its peak, MB", "KB a second", "wake-ups a second", "connections",
  "new connections a second", "syncs a second"}
local roles = {}
for name in pairs(day.load) do roles[#roles + 1] = name end
table.sort(roles)
print("| role | figure | middle | busiest |")
print("| --- | --- | --- | --- |")
for _, role in ipairs(roles) do
  for i, row in ipairs(ROWS) do
    local pair = day.load[role].of[i]
    if pair then print(string.format("| %s (%d) | %s | %.1f | %.1f |", role, day.load[role].machines, row, pair[1], pair[2])) end
  end
end
print()
print("| time until, ms | middle | last |")
print("| --- | --- | --- |")
local times = {}
for name in pairs(day.times) do times[#times + 1] = name end
table.sort(times)
for _, name in ipairs(times) do
  local pair = day.times[name]
  if type(pair) == "table" then print(string.format("| %s | %.0f | %.0f |", name, pair[1], pair[2])) end
end
