/* relay.c: a TCP relay between two processes; its link can be cut, frozen, delayed and narrowed. */
#include "runner.h"

#include "pwbuf.h"
#include "pwclock.h"

#include <arpa/inet.h>
#include <lauxlib.h>
#include <netinet/in.h>
#include <poll.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define BLOCK 16384
#define NARROW_BLOCK 2048 /* on a narrow link, so that connections share it */
#define POLL_MS 20
#define NS_PER_S INT64_C(1000000000)

enum { MODE_PASS, MODE_CUT, MODE_FREEZE };

/* MODE_CUT closes and refuses connections. MODE_FREEZE forwards nothing and keeps the connections open, so
** that both sides believe that the link is up. */
typedef struct relay {
  int listen_fd;
  int target;
  atomic_int mode;
  atomic_int delay_ms;
  atomic_int
      bytes_per_s; /* towards the target, of all connections; 0: no limit */
  _Atomic int64_t free_at; /* when the narrow link has sent what it has, ns */
} relay;

typedef struct link_pair {
  relay *r;
  int a, b;
} link_pair;

static int connect_to(int port) {
  struct sockaddr_in at = {.sin_family = AF_INET,
                           .sin_port = htons((uint16_t)port),
                           .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
  int fd = socket(AF_INET, SOCK_STREAM, 0);
  if (fd >= 0 && connect(fd, (struct sockaddr *)&at, sizeof at) == 0)
    return fd;
  if (fd >= 0)
    close(fd);
  return -1;
}

static void pause_ns(int64_t ns) {
  struct timespec ts = {ns / NS_PER_S, ns % NS_PER_S};
  if (ns > 0)
    nanosleep(&ts, NULL);
}

/* Waits until the narrow link has sent the bytes, after those that it was given before. */
static void send_narrow(relay *r, ssize_t n, int64_t bytes_per_s) {
  int64_t now = pwclock_ns();
  int64_t before = atomic_load(&r->free_at);
  int64_t after;
  do {
    after = (before > now ? before : now) + n * NS_PER_S / bytes_per_s;
  } while (!atomic_compare_exchange_weak(&r->free_at, &before, after));
  pause_ns(after - now);
}

static int forward(relay *r, int from, int to, int to_target) {
  char buf[BLOCK];
  int narrow = to_target ? atomic_load(&r->bytes_per_s) : 0;
  ssize_t n = recv(from, buf, narrow ? NARROW_BLOCK : sizeof buf, 0);
  int delay = atomic_load(&r->delay_ms);
  if (n <= 0)
    return -1;
  if (narrow)
    send_narrow(r, n, narrow);
  if (delay) {
    struct timespec ts = {delay / 1000, delay % 1000 * 1000000L};
    nanosleep(&ts, NULL);
  }
  for (ssize_t done = 0; done < n;) {
    ssize_t k = send(to, buf + done, (size_t)(n - done), MSG_NOSIGNAL);
    if (k <= 0)
      return -1;
    done += k;
  }
  return 0;
}

static void *run_link(void *arg) {
  link_pair *l = arg;
  struct pollfd p[2] = {{l->a, POLLIN, 0}, {l->b, POLLIN, 0}};
  int up = 1;
  while (up && atomic_load(&l->r->mode) != MODE_CUT) {
    if (atomic_load(&l->r->mode) == MODE_FREEZE) {
      poll(NULL, 0, POLL_MS);
      continue;
    }
    if (poll(p, 2, POLL_MS) <= 0)
      continue;
    if (p[0].revents && forward(l->r, l->a, l->b, 1) != 0)
      up = 0;
    if (up && p[1].revents && forward(l->r, l->b, l->a, 0) != 0)
      up = 0;
  }
  close(l->a);
  close(l->b);
  free(l);
  return NULL;
}

static void *accept_links(void *arg) {
  relay *r = arg;
  for (;;) {
    int a = accept(r->listen_fd, NULL, NULL);
    if (a < 0)
      continue;
    int b = atomic_load(&r->mode) == MODE_CUT ? -1 : connect_to(r->target);
    pthread_t t;
    if (b < 0) {
      close(a);
      continue;
    }
    link_pair *l = pw_alloc(sizeof *l);
    *l = (link_pair){r, a, b};
    if (pthread_create(&t, NULL, run_link, l) == 0)
      pthread_detach(t);
  }
  return NULL;
}

/* relay(target port) -> handle, port of the relay */
static int open_relay(lua_State *L) {
  relay *r = pw_alloc(sizeof *r);
  struct sockaddr_in at = {.sin_family = AF_INET,
                           .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
  socklen_t len = sizeof at;
  pthread_t t;
  r->target = (int)luaL_checkinteger(L, 1);
  r->listen_fd = socket(AF_INET, SOCK_STREAM, 0);
  if (bind(r->listen_fd, (struct sockaddr *)&at, sizeof at) != 0 ||
      listen(r->listen_fd, 256) != 0 ||
      getsockname(r->listen_fd, (struct sockaddr *)&at, &len) != 0 ||
      pthread_create(&t, NULL, accept_links, r) != 0)
    return luaL_error(L, "cannot start a relay");
  pthread_detach(t);
  lua_pushlightuserdata(L, r);
  lua_pushinteger(L, ntohs(at.sin_port));
  return 2;
}

/* relay_set(handle, "pass"|"cut"|"freeze", delay ms) */
static int set_relay(lua_State *L) {
  relay *r = lua_touserdata(L, 1);
  const char *mode = luaL_checkstring(L, 2);
  atomic_store(&r->delay_ms, (int)luaL_optinteger(L, 3, 0));
  atomic_store(&r->mode, !strcmp(mode, "cut")      ? MODE_CUT
                         : !strcmp(mode, "freeze") ? MODE_FREEZE
                                                   : MODE_PASS);
  return 0;
}

/* relay_narrow(handle, bytes a second towards the target; 0: no limit) */
static int narrow_relay(lua_State *L) {
  relay *r = lua_touserdata(L, 1);
  atomic_store(&r->bytes_per_s, (int)luaL_checkinteger(L, 2));
  return 0;
}

void runner_open_relay(lua_State *L) {
  static const luaL_Reg calls[] = {{"relay", open_relay},
                                   {"relay_set", set_relay},
                                   {"relay_narrow", narrow_relay},
                                   {NULL, NULL}};
  luaL_setfuncs(L, calls, 0);
}
