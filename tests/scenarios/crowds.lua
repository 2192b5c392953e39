-- crowds.lua: crowds of callers that send bodies in many ways, and the bounds that a process keeps meanwhile.
local fleet = require("fleet")
local crowds = {}

local GIVE_UP_MS = 2000 -- a caller sends no more when nothing is taken for so long
local PIECE_BYTES = 16 * 1024
local BLOCK_BYTES = 64 * 1024 -- of callers that send without end
local POLL_MS, UNCHANGED_POLLS = 20, 10
local REFUSALS = {["408"] = true, ["413"] = true, ["431"] = true, ["503"] = true}

local function chunk(bytes) return string.format("%x\r\n%s\r\n", #bytes, bytes) end

-- Sends the text on all connections but those that took no more before.
local function send_all(conns, text)
  conns.given_up = conns.given_up or {}
  for i, c in ipairs(conns) do
    conns.given_up[i] = conns.given_up[i] or not run.raw_send(c, text, GIVE_UP_MS)
  end
end

-- Sends the same blocks on all connections in turn, so that all bodies grow together.
local function send_in_turn(conns, blocks)
  for _, block in ipairs(blocks) do send_all(conns, block) end
end

local function pieces_of(text)
  local list = {}
  for at = 1, #text, PIECE_BYTES do list[#list + 1] = text:sub(at, at + PIECE_BYTES - 1) end
  return list
end

-- Repeats a block to twice the longest body, and to 4 MB at least.
local function without_end(block, max)
  local list = {}
  for i = 1, math.max(64, 2 * max // BLOCK_BYTES) do list[i] = block end
  return list
end

-- Ways to send a body, each a function (connections, head without its empty line, bytes of the longest body). Those that
-- stop one byte short stay open. `over`: the body is over the limit, and each caller must be refused or disconnected.
crowds.kinds = {
  {name = "one chunk, a byte short", send = function(conns, head, max)
    send_all(conns, head .. "Transfer-Encoding: chunked\r\n\r\n" .. string.format("%x\r\n", max) .. ("c"):rep(max - 1))
  end},
  {name = "chunks of one byte, a byte short", tiny = true, send = function(conns, head, max)
    send_all(conns, head .. "Transfer-Encoding: chunked\r\n\r\n")
    send_in_turn(conns, pieces_of(chunk("t"):rep(max - 1)))
  end},
  {name = "chunks without end", over = true, send = function(conns, head, max)
    send_all(conns, head .. "Transfer-Encoding: chunked\r\n\r\n")
    send_in_turn(conns, without_end(chunk(("e"):rep(BLOCK_BYTES)), max))
  end},
  {name = "a length of 4 GB", over = true, send = function(conns, head, max)
    send_all(conns, head .. "Content-Length: 4294967296\r\n\r\n")
    send_in_turn(conns, without_end(("g"):rep(BLOCK_BYTES), max))
  end},
  {name = "a head without end", over = true, send = function(conns, head, max)
    send_all(conns, head)
    send_in_turn(conns, without_end("X-More: " .. ("h"):rep(BLOCK_BYTES - 10) .. "\r\n", max))
  end},
  {name = "whole", send = function(conns, head, max)
    send_all(conns, head .. "Content-Length: " .. max .. "\r\n\r\n" .. ("w"):rep(max))
  end},
  {name = "in pieces, a byte short", send = function(conns, head, max)
    send_all(conns, head .. "Content-Length: " .. max .. "\r\n\r\n")
    send_in_turn(conns, pieces_of(("p"):rep(max - 1)))
  end},
  {name = "in one go, a byte short", send = function(conns, head, max)
    send_all(conns, head .. "Content-Length: " .. max .. "\r\n\r\n" .. ("o"):rep(max - 1))
  end},
}

function crowds.open(address, n)
  local conns = {}
  for i = 1, n do conns[i] = run.raw_open(address) end
  fleet.equal("connections", #conns, n)
  return conns
end

function crowds.close(conns)
  for _, c in ipairs(conns) do run.raw_close(c) end
end

-- Bytes that have arrived at a listener's connections and are not read yet.
local function unread_bytes(address)
  local port, sum = string.format("%04X", tonumber(address:match(":(%d+)$"))), 0
  for local_port, queue in fleet.read("/proc/net/tcp"):gmatch("%d+: %x+:(%x+) %x+:%x+ %x+ %x+:(%x+)") do
    if local_port == port then sum = sum + tonumber(queue, 16) end
  end
  return sum
end

-- Waits until the process has read what the crowd sent, or reads no more of it.
local function wait_read(address)
  local unchanged, last = 0, nil
  while unchanged < UNCHANGED_POLLS do
    local left = unread_bytes(address)
    if left == 0 then return end
    unchanged = left == last and unchanged + 1 or 0
    last = left
    run.pause(POLL_MS)
  end
end

crowds.unread_bytes, crowds.wait_read = unread_bytes, wait_read

-- Makes the process's highest memory start anew.
function crowds.reset_peak(p) fleet.write("/proc/" .. p.pid .. "/clear_refs", "5") end

-- The process's highest memory since then, KB.
function crowds.peak_kb(p)
  return tonumber(fleet.read("/proc/" .. p.pid .. "/status"):match("VmHWM:%s*(%d+) kB"))
end

local function descriptors(p)
  local f = io.popen("ls /proc/" .. p.pid .. "/fd | wc -l")
  local n = tonumber(f:read("a"))
  f:close()
  return n
end
crowds.descriptors = descriptors

-- Checks that the process lives and has not exceeded its memory since reset_peak, which is not known of a sanitized build.
function crowds.check_kept(what, p, memory_mb)
  fleet.equal(what .. ": the process lives", run.wait(p.pid, 0), nil)
  local kb = crowds.peak_kb(p)
  if not run.bin:find("san") then
    fleet.expect(what .. ": memory: " .. kb .. " kB", kb <= memory_mb * 1024)
  end
end

-- Checks what each caller got: nothing yet, the answer to a whole request, or a refusal; one for want of memory says when to
-- come back. A caller whose body is over the limit has been refused or disconnected.
local function check_answers(what, conns, answer, is_over)
  for i, c in ipairs(conns) do
    local text, closed = run.raw_read(c, 10, "\r\n\r\n")
    local status = text:match("^HTTP/1.1 (%d+)")
    fleet.expect(what .. ", caller " .. i .. ": " .. text:sub(1, 200), text == "" or status == answer or REFUSALS[status])
    if status == "503" then fleet.expect(what .. ": when to come back: " .. text, text:find("\r\nRetry-After: ", 1, true)) end
    if is_over then fleet.expect(what .. ", caller " .. i .. " is refused: " .. text:sub(1, 200), closed or REFUSALS[status]) end
  end
end

-- Plays every kind of crowd, one after another. Fields of o: process; address; callers; head: request line and headers;
-- answer: status of the answer to a whole request; body: longest body, bytes; tiny_body: the same where each byte is a chunk; memory_mb and descriptors: bounds;
-- is_served(): whether an ordinary request is answered; only: plays just the kinds for which it is true.
-- Checks that the process lives, keeps the bounds, and serves ordinary callers, beside the crowd and afterwards.
function crowds.play(o)
  for _, kind in ipairs(crowds.kinds) do
    local what = kind.name .. " at " .. o.process.name
    if not (o.only and not o.only(kind)) then
      crowds.reset_peak(o.process)
      local conns = crowds.open(o.address, o.callers)
      kind.send(conns, o.head, kind.tiny and o.tiny_body or o.body)
      wait_read(o.address)
      fleet.eventually(what .. ": an ordinary request beside it is answered", o.is_served)
      local open = descriptors(o.process)
      fleet.expect(what .. ": open descriptors: " .. open, open <= o.descriptors)
      check_answers(what, conns, o.answer, kind.over)
      crowds.close(conns)
      fleet.eventually(what .. ": an ordinary request afterwards is answered", o.is_served)
      crowds.check_kept(what, o.process, o.memory_mb)
    end
  end
end

return crowds
