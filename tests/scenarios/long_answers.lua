-- long_answers.lua: callers that read long answers slowly, and what a complete answer is.
local fleet = require("fleet")
local long_answers = {}

local RECEIVE_BYTES = 8192 -- receive buffer of a caller, so that few bytes wait outside of the gateway
local FILLER = (" "):rep(1000)
local READ_MS = 1

-- Sends n requests to a gateway, each over a connection of its own; returns the readers. `kept`: so many connections, the
-- first ones, are to stay open after the answer.
function long_answers.send(gateway, n, kept)
  local readers = {}
  for i = 1, n do
    local id = "slow" .. i
    local c = run.raw_open(gateway.http, RECEIVE_BYTES)
    run.raw_send(c, "POST /once/a HTTP/1.1\r\nHost: a.example\r\nApi-Key: kett-key\r\nX-Request-Id: " .. id ..
      "\r\nX-Deadline-Ms: 60000\r\nConnection: " .. (i <= (kept or 0) and "keep-alive" or "close") .. "\r\nContent-Length: 1\r\n\r\nx")
    readers[i] = {c = c, id = id, pieces = {}}
  end
  return readers
end

-- Reads about `most` bytes at each reader; returns how many connections are still open.
function long_answers.read(readers, most)
  local open = 0
  for _, r in ipairs(readers) do
    if not r.closed then
      local piece, closed = run.raw_read(r.c, READ_MS, nil, most)
      r.pieces[#r.pieces + 1] = piece
      r.closed = closed
      open = open + (closed and 0 or 1)
    end
  end
  return open
end

-- The body of an answer with a length or in chunks; nil when it is not complete.
local function body_of(answer)
  local head, rest = answer:match("^(.-\r\n\r\n)(.*)$")
  if not head then return end
  local length = tonumber(head:match("Content%-Length: (%d+)"))
  if length then return #rest == length and rest or nil end
  local pieces, at = {}, 1
  while true do
    local size, from = rest:match("^(%x+)\r\n()", at)
    if not size then return end
    local n = tonumber(size, 16)
    if n == 0 then return table.concat(pieces) end
    pieces[#pieces + 1] = rest:sub(from, from + n - 1)
    at = from + n + 2
  end
end

-- The body that a target with the fault long_answer sends to a request.
local function body_for(id, bytes)
  local lines, n, i = {}, 0, 0
  while n < bytes do
    lines[#lines + 1] = id .. " " .. i .. FILLER .. "\n"
    n, i = n + #lines[#lines], i + 1
  end
  return table.concat(lines):sub(1, bytes)
end

-- Fails unless each reader has the complete answer to its request. Closes the connections.
function long_answers.check(readers, bytes)
  for _, r in ipairs(readers) do
    local answer = table.concat(r.pieces)
    fleet.equal("status of a long answer", answer:match("^HTTP/1.1 (%d+)"), "200")
    fleet.expect("the whole answer to " .. r.id, body_of(answer) == body_for(r.id, bytes))
    run.raw_close(r.c)
  end
end

return long_answers
