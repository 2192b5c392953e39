/* test_retries.c: unit tests of the retry budget, as a sum over all gateways of a fleet that is not calm.
**
** On a day on which most targets of a service failed, all gateways were killed four times in ten seconds. Each
** start forgot what the gateway had spent, so the fleet sent 679 retries in a window that allowed 626. */
#include "pwgatewaycount.h"
#include "pwretries.h"
#include "pwtest.h"

#include <string.h>

enum {
  GATEWAYS_MAX = 12,
  HOPS_MAX = 4, /* most retries of one request */
  FIRST_MS =
      80, /* from a gateway's start until control tells it the first number */
  TELL_MS = 500,  /* interval in which control tells a gateway something */
  DROP_MS = 2500, /* after this silence control does not count a gateway */
  RUN_MS = 50000,
  WINDOW_MS = 10000,
  TIMES_MAX = 8
};

#define RATIO 0.2

/* One run: what fails, and what happens to the gateways. */
typedef struct plan {
  int gateways;
  double per_s; /* requests at all gateways */
  double slack;
  double fail_share; /* of the attempts, while targets fail */
  int64_t fail_from, fail_to;
  int nkills;
  int64_t kill_at[TIMES_MAX]; /* gateways are killed ... */
  int64_t down_ms;            /* ... and are back after so long */
  double kill_share;          /* of the gateways; the first ones */
  int64_t lull_from, lull_to; /* no requests in between */
  /* For so long after its start a gateway is told that it is the only one: the others begin with other control
  ** instances. */
  int64_t told_one_ms;
  /* For so long after cut_at the first cut_off gateways cannot reach control. */
  int cut_off;
  int64_t cut_at, cut_ms;
} plan;

typedef struct world {
  const plan *p;
  pw_random *r;
  pw_retries budget[GATEWAYS_MAX];
  pw_gateway_count count[GATEWAYS_MAX];
  int64_t started_at[GATEWAYS_MAX], down_until[GATEWAYS_MAX];
  /* All requests of callers, and all retries, by the ms. */
  int requests[RUN_MS], retries[RUN_MS];
} world;

static void start_gateway(world *w, int g, int64_t now) {
  pwretries_init(&w->budget[g], RATIO, w->p->slack, WINDOW_MS);
  pwgatewaycount_init(&w->count[g], WINDOW_MS);
  w->started_at[g] = now;
}

static int is_up(const world *w, int g, int64_t now) {
  return now >= w->down_until[g];
}

static int is_cut(const world *w, int g, int64_t now) {
  return g < w->p->cut_off && now >= w->p->cut_at &&
         now < w->p->cut_at + w->p->cut_ms;
}

/* Number of gateways as control knows them: those that it has heard lately. */
static int known_to_control(const world *w, int64_t now) {
  int n = 0;
  for (int g = 0; g < w->p->gateways; g++)
    n += !(is_cut(w, g, now) && is_cut(w, g, now - DROP_MS)) &&
         now >= w->down_until[g];
  return n;
}

/* Control tells the gateways how many there are. */
static void tell_gateways(world *w, int64_t now) {
  int known = known_to_control(w, now);
  for (int g = 0; g < w->p->gateways; g++) {
    int64_t age = now - w->started_at[g];
    if (!is_up(w, g, now) || is_cut(w, g, now) || age % TELL_MS != FIRST_MS)
      continue;
    pwgatewaycount_told(&w->count[g], age < w->p->told_one_ms ? 1 : known, now);
  }
}

/* Number of gateways by which this one divides the budget. */
static int gateways_of(world *w, int g, int64_t now) {
  return pwgatewaycount_get(&w->count[g], now);
}

/* Kills gateways at the times of the plan, and starts those that are back. */
static void kill_and_start(world *w, int64_t now) {
  int n = (int)(w->p->kill_share * w->p->gateways);
  for (int i = 0; i < w->p->nkills; i++)
    for (int g = 0; g < n; g++) {
      if (now == w->p->kill_at[i])
        w->down_until[g] = now + w->p->down_ms;
      if (now == w->p->kill_at[i] + w->p->down_ms)
        start_gateway(w, g, now);
    }
}

/* A gateway that is up; the callers of those that are down use others. -1: none. */
static int any_gateway(world *w, int64_t now) {
  int up[GATEWAYS_MAX], n = 0;
  for (int g = 0; g < w->p->gateways; g++)
    if (is_up(w, g, now))
      up[n++] = g;
  return n ? up[pwrand_below(w->r, (uint64_t)n)] : -1;
}

static int attempt_fails(world *w, int64_t now) {
  return now >= w->p->fail_from && now < w->p->fail_to &&
         pwrand_unit(w->r) < w->p->fail_share;
}

static void send_one(world *w, int64_t now) {
  w->requests[now]++;
  int g = any_gateway(w, now);
  if (g < 0)
    return;
  pwretries_request(&w->budget[g], now);
  for (int hops = 0; hops < HOPS_MAX && attempt_fails(w, now); hops++) {
    if (!pwretries_spend(&w->budget[g], gateways_of(w, g, now), now))
      return;
    w->retries[now]++;
  }
}

static void simulate(world *w, const plan *p, pw_random *r) {
  memset(w, 0, sizeof *w);
  w->p = p;
  w->r = r;
  for (int g = 0; g < p->gateways; g++)
    start_gateway(w, g, 0);
  double due = 0;
  for (int64_t now = 0; now < RUN_MS; now++) {
    kill_and_start(w, now);
    tell_gateways(w, now);
    if (now < p->lull_from || now >= p->lull_to)
      due += 2 * pwrand_unit(r) * p->per_s / 1000;
    while (due >= 1) {
      send_one(w, now);
      due -= 1;
    }
  }
}

static int sum_of(const int *count, int64_t from, int64_t to) {
  int n = 0;
  for (int64_t i = from < 0 ? 0 : from; i < to; i++)
    n += count[i];
  return n;
}

/* Most retries that any window had beyond what is allowed: by the requests of that window, of the one before, or of
** the one half a window before, whichever are most. */
static double most_beyond(const world *w) {
  double most = -1e9;
  for (int64_t from = 0; from + WINDOW_MS <= RUN_MS; from += 50) {
    int now = sum_of(w->requests, from, from + WINDOW_MS);
    int before = sum_of(w->requests, from - WINDOW_MS, from);
    int half = sum_of(w->requests, from - WINDOW_MS / 2, from + WINDOW_MS / 2);
    int counted = now > before ? now : before;
    counted = counted > half ? counted : half;
    double beyond = sum_of(w->retries, from, from + WINDOW_MS) -
                    (RATIO * counted + w->p->slack);
    most = beyond > most ? beyond : most;
  }
  return most;
}

static void check_plan(const char *what, const plan *p, pw_random *r) {
  static world w;
  simulate(&w, p, r);
  double beyond = most_beyond(&w);
  printf("%s, %d gateways: %.0f retries beyond the budget\n", what, p->gateways,
         beyond);
  CHECK(beyond <= 0);
}

/* No gateway is killed: most of the budget is used, and no more than the budget. */
static void test_calm_gateways(void) {
  pw_random r = {.seed = test_seed(67)};
  plan p = {.gateways = 5,
            .per_s = 320,
            .slack = 56,
            .fail_share = 1,
            .fail_from = 20000,
            .fail_to = RUN_MS};
  static world w;
  check_plan("calm gateways", &p, &r);
  simulate(&w, &p, &r);
  double allowed =
      RATIO * sum_of(w.requests, 25000, 25000 + WINDOW_MS) + p.slack;
  CHECK(sum_of(w.retries, 25000, 25000 + WINDOW_MS) > 0.5 * allowed);
  CHECK(sum_of(w.retries, 20000, 20000 + WINDOW_MS) > 0.8 * allowed);
}

/* All gateways are killed in series while most attempts fail. */
static void test_killed_in_series(void) {
  pw_random r = {.seed = test_seed(60)};
  for (int i = 0; i < 4; i++) {
    plan p = {.gateways = i % 2 ? 12 : 4,
              .per_s = 270,
              .slack = 54,
              .fail_share = i < 2 ? 0.9 : 0.5,
              .fail_from = 2000,
              .fail_to = 22000,
              .nkills = 4,
              .kill_at = {5000, 8000, 11000, 14000},
              .down_ms = 500,
              .kill_share = 1};
    check_plan("killed in series", &p, &r);
  }
}

/* The same, and right after its start each gateway is told too small a number of gateways. */
static void test_told_too_few(void) {
  pw_random r = {.seed = test_seed(64)};
  for (int i = 0; i < 2; i++) {
    plan p = {.gateways = i ? 12 : 4,
              .per_s = 270,
              .slack = 54,
              .fail_share = 0.9,
              .fail_from = 2000,
              .fail_to = 22000,
              .nkills = 4,
              .kill_at = {5000, 8000, 11000, 14000},
              .down_ms = 500,
              .kill_share = 1,
              .told_one_ms = 1300};
    check_plan("told too few", &p, &r);
  }
}

/* The slack is most of the budget, and gateways are started, told too few, or cut off from control while it is spent. */
static void test_much_slack(void) {
  pw_random r = {.seed = test_seed(65)};
  plan p = {.gateways = 12,
            .per_s = 100,
            .slack = 1000,
            .fail_share = 1,
            .fail_from = 2000,
            .fail_to = RUN_MS,
            .nkills = 4,
            .kill_at = {15000, 18000, 31000, 35000},
            .down_ms = 500,
            .kill_share = 1,
            .told_one_ms = 1300};
  check_plan("much slack, killed", &p, &r);
  p.kill_share = 0.75;
  p.down_ms = 4000;
  check_plan("much slack, most killed for long", &p, &r);
  p.nkills = 0;
  p.cut_off = 8;
  p.cut_at = 14000;
  for (p.cut_ms = 4000; p.cut_ms < 30000; p.cut_ms += 8000)
    check_plan("much slack, cut off", &p, &r);
}

/* Budgets of less than two tokens a gateway and window: a token can be held and is used. */
static void test_small_parts(void) {
  pw_random r = {.seed = test_seed(66)};
  plan p = {.gateways = 8,
            .per_s = 8,
            .slack = 6,
            .fail_share = 1,
            .fail_from = 25000,
            .fail_to = RUN_MS};
  static world w;
  simulate(&w, &p, &r);
  int sent = sum_of(w.retries, 25000, 45000);
  printf("small parts: %d retries in two windows, %.0f beyond the budget\n",
         sent, most_beyond(&w));
  CHECK(sent > 10 && most_beyond(&w) <= 0);
}

/* --- number of gateways --- */

static void test_count(void) {
  pw_gateway_count c;
  pwgatewaycount_init(&c, 1000);
  CHECK(pwgatewaycount_get(&c, 100) == 0);
  pwgatewaycount_heard(&c, 100); /* control has told no number yet */
  CHECK(pwgatewaycount_get(&c, 1200) == 0);
  pwgatewaycount_told(&c, 1, 1000);
  pwgatewaycount_told(&c, 4, 1600);
  CHECK(pwgatewaycount_get(&c, 1999) == 0);
  CHECK(pwgatewaycount_get(&c, 2000) == 4);
  CHECK(pwgatewaycount_known_since(&c, 2100) == 2000);
  pwgatewaycount_told(&c, 6, 2100); /* more count at once */
  CHECK(pwgatewaycount_get(&c, 2100) == 6);
  pwgatewaycount_told(&c, 3, 2500); /* fewer after a window */
  CHECK(pwgatewaycount_get(&c, 3400) == 6);
  for (int64_t now = 2600; now <= 4600; now += 100)
    pwgatewaycount_heard(&c, now);
  CHECK(pwgatewaycount_get(&c, 4600) == 3);
}

/* A gateway that control was silent for does not know who has started or taken its part since. */
static void test_count_after_silence(void) {
  pw_gateway_count c;
  pwgatewaycount_init(&c, 1000);
  for (int64_t now = 1000; now <= 3000; now += 500)
    pwgatewaycount_told(&c, 4, now);
  CHECK(pwgatewaycount_get(&c, 4000) == 4);
  CHECK(pwgatewaycount_get(&c, 4001) == 0);
  pwgatewaycount_heard(&c, 4100);
  CHECK(pwgatewaycount_get(&c, 4200) == 0);
  pwgatewaycount_told(&c, 4, 4900);
  CHECK(pwgatewaycount_get(&c, 5100) == 4);
}

/* One kill is enough where targets begin to fail shortly before: the requests of the window before pay for the retries
** before the kill, and must not pay for those after it. */
static void test_killed_once(void) {
  pw_random r = {.seed = test_seed(61)};
  for (int64_t after = 300; after <= 6000; after += 1900) {
    plan p = {.gateways = 5,
              .per_s = 320,
              .slack = 56,
              .fail_share = 0.9,
              .fail_from = 20000,
              .fail_to = 40000,
              .nkills = 1,
              .kill_at = {20000 + after},
              .down_ms = 300,
              .kill_share = 1};
    check_plan("killed once", &p, &r);
  }
}

/* Half of the gateways are killed, also for long, and their callers use the others. */
static void test_half_killed(void) {
  pw_random r = {.seed = test_seed(62)};
  for (int i = 0; i < 3; i++) {
    static const int64_t down[] = {300, 3000, 9000};
    plan p = {.gateways = 12,
              .per_s = 600,
              .slack = 100,
              .fail_share = 0.9,
              .fail_from = 20000,
              .fail_to = 40000,
              .nkills = 2,
              .kill_at = {21500, 32000},
              .down_ms = down[i],
              .kill_share = 0.5};
    check_plan("half killed", &p, &r);
  }
}

/* Few requests follow many: what the many have earned may be spent once. */
static void test_lull(void) {
  pw_random r = {.seed = test_seed(63)};
  plan p = {.gateways = 4,
            .per_s = 300,
            .slack = 50,
            .fail_share = 0.9,
            .fail_from = 20000,
            .fail_to = 45000,
            .nkills = 1,
            .kill_at = {22000},
            .down_ms = 300,
            .kill_share = 1,
            .lull_from = 23000,
            .lull_to = 29000};
  check_plan("a lull", &p, &r);
}

int main(void) {
  TESTS_BEGIN("retries");
  TEST(test_calm_gateways);
  TEST(test_killed_in_series);
  TEST(test_told_too_few);
  TEST(test_much_slack);
  TEST(test_small_parts);
  TEST(test_count);
  TEST(test_count_after_silence);
  TEST(test_killed_once);
  TEST(test_half_killed);
  TEST(test_lull);
  TESTS_END();
}
