/* test_accept.c: unit tests of the part of new connections that a gateway takes. Guards against a gateway that gets
** most of them, reads more than its processor serves, and answers all of it too late; and against connections
** closed where no other gateway is better off. 87_one_gateway_slow tests the same with processes. */
#include "pwaccept.h"
#include "pwshare.h"
#include "pwtest.h"

#include <math.h>

enum { TICK_MS = 20, SECOND_MS = 1000 };

/* A gateway that serves requests one by one. */
typedef struct gateway {
  pw_accept accept;
  pw_share read;     /* rate of requests read */
  double work_ms;    /* of one request */
  double backlog_ms; /* work that was read and is not done */
  int offered, closed, late;
} gateway;

enum { LATE_MS = 1000 }; /* a request that waits longer is late */

static void offer(gateway *g, pw_random *r, int64_t now) {
  g->offered++;
  if (!pwaccept_takes(&g->accept, pwrand_unit(r), now)) {
    g->closed++;
    return;
  }
  pwshare_note(&g->read, now);
  g->backlog_ms += g->work_ms;
  g->late += g->backlog_ms > LATE_MS;
}

/* Offers `rate` requests a second to a gateway of `gateways` for a time; the others get `others` in all. The loop does
** what it has in each turn, so it lags by its backlog. */
static void play(gateway *g, pw_random *r, double rate, double others,
                 int gateways, int64_t ms, int64_t *now) {
  int64_t until = *now + ms;
  g->offered = g->closed = g->late = 0;
  while (*now < until) {
    double lag = fmin(g->backlog_ms, 400);
    int64_t turn = TICK_MS + (int64_t)lag;
    *now += turn;
    g->backlog_ms = fmax(g->backlog_ms - (double)turn, 0);
    pw_accept_load load = {pwshare_rate(&g->read, *now), others, gateways,
                           (int64_t)lag};
    pwaccept_update(&g->accept, &load, *now);
    double due = rate * (double)turn / SECOND_MS;
    for (int n = (int)(due + pwrand_unit(r)); n > 0; n--)
      offer(g, r, *now);
  }
}

/* Of what the gateway reads, three quarters are served in time once it has adapted, and it stays at work. */
static void test_most_at_one(void) {
  pw_random r = {.seed = test_seed(87)};
  for (int gateways = 2; gateways <= 60; gateways *= 3) {
    gateway g = {.work_ms = 40}; /* 25 a second */
    int64_t now = 1000;
    play(&g, &r, 10, 10.0 * (gateways - 1), gateways, 4000, &now);
    CHECK(g.closed == 0);
    play(&g, &r, 90, 10, gateways, 3000, &now);
    play(&g, &r, 90, 10, gateways, 5000, &now);
    int taken = g.offered - g.closed;
    printf("%d gateways: %d of %d taken, %d late\n", gateways, taken, g.offered,
           g.late);
    CHECK(g.late * 4 <= taken);
    CHECK(taken * 2 > 125); /* half of what it can serve */
    play(&g, &r, 10, 10.0 * (gateways - 1), gateways, 6000, &now);
    CHECK(g.accept.closed_part == 0);
  }
}

/* What was closed counts as offered: the limit does not end by its own effect, which makes what is read as much as the
** others read. */
static void test_others_at_work(void) {
  pw_random r = {.seed = test_seed(90)};
  gateway g = {.work_ms = 40};
  int64_t now = 1000;
  play(&g, &r, 90, 12 * 4, 5, 3000, &now);
  play(&g, &r, 90, 12 * 4, 5, 10000, &now);
  printf("%d of %d taken, %d late\n", g.offered - g.closed, g.offered, g.late);
  CHECK(g.late * 4 <= g.offered - g.closed);
}

/* Nobody is closed where all gateways have too much to do, nor at the only one, nor for a moment's delay. */
static void test_even(void) {
  pw_random r = {.seed = test_seed(88)};
  gateway busy = {.work_ms = 40}, single = {.work_ms = 40},
          idle = {.work_ms = 1};
  int64_t now = 1000;
  play(&busy, &r, 90, 90 * 4, 5, 5000, &now);
  CHECK(busy.closed == 0 && busy.late > 100);
  play(&single, &r, 90, 0, 1, 5000, &now);
  CHECK(single.closed == 0);
  play(&idle, &r, 90, 10, 5, 5000, &now);
  CHECK(idle.closed == 0);
}

/* Requests that arrive late show that the link is full; those that always take so long, slow callers. */
static void test_arrivals(void) {
  pw_random r = {.seed = test_seed(91)};
  pw_accept_load load = {90, 40, 5, 0};
  pw_accept fast = {0}, slow = {0};
  for (int64_t now = 1000; now < 5000; now += TICK_MS) {
    double sample = 800 * pwrand_unit(&r);
    pwaccept_arrived(&fast, sample / 100, now);
    pwaccept_arrived(&slow, sample, now);
    pwaccept_update(&fast, &load, now);
    pwaccept_update(&slow, &load, now);
  }
  CHECK(fast.closed_part == 0);
  CHECK(slow.closed_part < 0.2);
  for (int64_t now = 5000; now < 6000; now += TICK_MS) {
    pwaccept_arrived(&fast, 500, now);
    pwaccept_update(&fast, &load, now);
  }
  CHECK(fast.closed_part > 0.8);
}

/* Neither a suspension nor a few requests that arrive late, at a gateway with little to do, close anything. */
static void test_no_overload(void) {
  pw_accept suspended = {0}, quiet = {0};
  pw_accept_load busy = {90, 40, 5, 0}, idle = {0.5, 0, 3, 0};
  for (int64_t now = 1000; now < 3000; now += TICK_MS)
    pwaccept_update(&suspended, &busy, now);
  busy.lag_ms = 16000;
  pwaccept_update(&suspended, &busy, 19000);
  CHECK(suspended.closed_part == 0);
  double most = 0;
  for (int64_t now = 1000; now < 9000; now += TICK_MS) {
    if (now % 1000 == 0)
      pwaccept_arrived(&quiet, 300, now);
    idle.lag_ms = now < 5000 ? 400 : 0;
    pwaccept_update(&quiet, &idle, now);
    most = fmax(most, quiet.closed_part);
  }
  CHECK(most == 0);
}

/* However far behind, some connections are taken. */
static void test_least(void) {
  pw_random r = {.seed = test_seed(89)};
  pw_accept a = {0};
  int taken = 0;
  for (int i = 0; i < 1000; i++) {
    pw_accept_load load = {10, 1, 5, 10000};
    pwaccept_update(&a, &load, 1000 + i * 100);
    taken += pwaccept_takes(&a, pwrand_unit(&r), 1000 + i * 100);
  }
  CHECK(taken > 150 && taken < 350); /* a tenth, and one each half second */
}

/* Of ten connections in three seconds some are taken, though the gateway is far behind. */
static void test_few(void) {
  pw_random r = {.seed = test_seed(92)};
  pw_accept_load load = {10, 1, 5, 10000};
  pw_accept a = {0};
  for (int64_t now = 1000; now < 5000; now += TICK_MS)
    pwaccept_update(&a, &load, now);
  for (int window = 0; window < 100; window++) {
    int taken = 0;
    for (int i = 0; i < 10; i++) {
      int64_t now = 5000 + window * 3000 + i * 300;
      pwaccept_update(&a, &load, now);
      taken += pwaccept_takes(&a, pwrand_unit(&r), now);
    }
    CHECK(taken > 0 && taken < 10);
  }
}

int main(void) {
  TESTS_BEGIN("accept");
  TEST(test_most_at_one);
  TEST(test_others_at_work);
  TEST(test_even);
  TEST(test_arrivals);
  TEST(test_no_overload);
  TEST(test_least);
  TEST(test_few);
  TESTS_END();
}
