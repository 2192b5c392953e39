/* test_upconn.c: connections to targets that carry no request. One that was still being established when the gateway
** ended was not closed, and leaked. */
#include "pwgate.h"
#include "pwtest.h"

#include <netinet/in.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

static void on_replaced(pw_gate *g, pw_target *t, int is_up) {
  (void)g;
  (void)t;
  (void)is_up;
}

/* Listens on a free port of the loopback address, which is written to `address`. */
static int listen_somewhere(char *address, size_t size) {
  struct sockaddr_in at = {.sin_family = AF_INET};
  socklen_t n = sizeof at;
  int fd = socket(AF_INET, SOCK_STREAM, 0);
  at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  CHECK(bind(fd, (struct sockaddr *)&at, sizeof at) == 0);
  CHECK(listen(fd, 4) == 0);
  CHECK(getsockname(fd, (struct sockaddr *)&at, &n) == 0);
  snprintf(address, size, "127.0.0.1:%d", ntohs(at.sin_port));
  return fd;
}

static void test_ends_while_connecting(void) {
  pw_counters *counters = pwcount_new();
  pw_proc p = {.counters = counters};
  pw_gate g = {.p = &p, .ev = ev_loop_new(EVFLAG_AUTO)};
  pwtcp_loop_init(&g.tcp, g.ev);
  g.fleet = pwfleet_new("az-1", 1000, 1000);
  pw_heartbeat b = {.id = "t-1", .service = "s", .born = 1, .seq = 1};
  int fd = listen_somewhere(b.address, sizeof b.address);
  pwfleet_heartbeat(g.fleet, &b, 0, pwclock_ms());
  pw_target *t = pwfleet_first(g.fleet);
  CHECK(pwupconn_replace(&g, t, on_replaced) == 1);
  CHECK(t->replacement && t->nconns == 1);
  pwupconn_cancel_replacement(t);
  CHECK(!t->replacement && t->nconns == 0);
  pwupconn_cancel_replacement(t);
  for (size_t i = 0; i < g.nto_free; i++)
    free(g.to_free[i]);
  free(g.to_free);
  pwtcp_loop_free(&g.tcp);
  pwfleet_free(g.fleet);
  ev_loop_destroy(g.ev);
  pwcount_free(counters);
  close(fd);
}

int main(void) {
  TESTS_BEGIN("upconn");
  TEST(test_ends_while_connecting);
  TESTS_END();
}
