/* raw.c: raw bytes over a TCP connection, for requests that a well-behaved caller would not send. */
#include "runner.h"

#include "pwbuf.h"
#include "pwclock.h"
#include "pwtcp.h"

#include <lauxlib.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define BLOCK 16384

static int connect_to(const char *to, int receive_bytes) {
  struct sockaddr_in at;
  if (pwtcp_address(to, &at) != 0)
    return -1;
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (fd >= 0 && receive_bytes)
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_bytes, sizeof receive_bytes);
  if (fd >= 0 && connect(fd, (const struct sockaddr *)&at, sizeof at) == 0)
    return fd;
  if (fd >= 0)
    close(fd);
  return -1;
}

/* raw_open("IP:PORT", size of the receive buffer in bytes or nil) -> connection, or nil */
static int raw_open(lua_State *L) {
  int fd = connect_to(luaL_checkstring(L, 1), (int)luaL_optinteger(L, 2, 0));
  if (fd < 0)
    return 0;
  lua_pushinteger(L, fd);
  return 1;
}

/* Waits until the socket takes bytes, for ms at most. Returns whether it does. */
static int wait_writable(int fd, int64_t ms) {
  struct pollfd p = {.fd = fd, .events = POLLOUT};
  return poll(&p, 1, (int)ms) > 0;
}

/* raw_send(connection, bytes, ms) -> whether all bytes were sent, how many were. Gives up when the connection takes
** nothing more for ms (nil: never). */
static int raw_send(lua_State *L) {
  size_t n, sent = 0;
  int fd = (int)luaL_checkinteger(L, 1);
  const char *data = luaL_checklstring(L, 2, &n);
  int64_t ms = luaL_optinteger(L, 3, -1);
  while (sent < n) {
    if (ms >= 0 && !wait_writable(fd, ms))
      break;
    ssize_t k = send(fd, data + sent, n - sent,
                     MSG_NOSIGNAL | (ms >= 0 ? MSG_DONTWAIT : 0));
    if (k <= 0)
      break;
    sent += (size_t)k;
  }
  lua_pushboolean(L, sent == n);
  lua_pushinteger(L, (lua_Integer)sent);
  return 2;
}

/* raw_read(connection, ms, text, most) -> bytes, whether the connection was closed. Reads until the text has
** arrived (nil: until the connection is closed), at most for ms, and about `most` bytes if that is set. */
static int raw_read(lua_State *L) {
  int fd = (int)luaL_checkinteger(L, 1);
  int64_t until = pwclock_ms() + luaL_checkinteger(L, 2);
  const char *text = luaL_optstring(L, 3, NULL);
  size_t most = (size_t)luaL_optinteger(L, 4, LUA_MAXINTEGER);
  pw_buf b = {0};
  char block[BLOCK];
  int closed = 0;
  while (!closed && b.len < most && !(text && b.data && strstr(b.data, text))) {
    struct pollfd p = {.fd = fd, .events = POLLIN};
    int64_t left = until - pwclock_ms();
    if (left <= 0 || poll(&p, 1, (int)left) <= 0)
      break;
    ssize_t k = recv(fd, block, sizeof block, 0);
    if (k <= 0)
      closed = 1;
    else
      pwbuf_add(&b, block, (size_t)k);
  }
  lua_pushlstring(L, b.data ? b.data : "", b.len);
  lua_pushboolean(L, closed);
  pwbuf_free(&b);
  return 2;
}

static int raw_close(lua_State *L) {
  close((int)luaL_checkinteger(L, 1));
  return 0;
}

void runner_open_raw(lua_State *L) {
  static const luaL_Reg calls[] = {{"raw_open", raw_open},
                                   {"raw_send", raw_send},
                                   {"raw_read", raw_read},
                                   {"raw_close", raw_close},
                                   {NULL, NULL}};
  luaL_setfuncs(L, calls, 0);
}
