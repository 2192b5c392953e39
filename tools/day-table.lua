-- day-table: what a played day says of each role and of the times until something is everywhere, as
-- rows for docs/design/fleet.md and docs/CAPACITY.md.
--   REPORT=day.json build/pwscenario --bin build tools/day-table.lua
-- The report is that of one day (`--report`): of each role the middle and the busiest instance.
local path = assert(os.getenv("REPORT"), "REPORT names the report of a day")
local f = assert(io.open(path))
local day = run.json(f:read("a"))
f:close()

-- In the order in which the report has them, as a sweep prints them.
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
