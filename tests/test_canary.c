/* test_canary.c: rollouts of services: how often a version that is as good as
** the old one is reverted, and how often and how soon a worse one.
**
** The cases: some hundred answers of the new version's targets, of which a bad
** version fails 2, 5 or 20 in 100, or delays them 1.5 to 4 times; at once,
** later, only under load, or on one route. */
#include "pwcanary.h"
#include "pwtest.h"

#include <math.h>
#include <string.h>

#define OVER_MS 12000
#define TICK_MS 250
#define ROUTES 3

/* The new version in the simulation. */
typedef struct version {
  double bad;      /* share of bad answers, above the baseline */
  int from_ms;     /* it is bad from then on */
  int route;       /* it is bad on this route only; -1: on all */
  int under_share; /* it is bad while it has at least this share */
} version;

typedef struct result {
  pw_canary end;
  int64_t at_ms;
  double exposed, requests; /* requests to the new version, and all */
} result;

/* Error rates of the old version. */
static double baseline[ROUTES] = {0.002, 0.05, 0.14};

/* Random number of requests with that mean. */
static double draw_requests(pw_random *r, double mean) {
  double u = 0;
  for (int i = 0; i < 12; i++)
    u += pwrand_unit(r);
  double n = mean + (u - 6) * sqrt(mean);
  return n > 0 ? floor(n + 0.5) : 0;
}

/* Random number of bad answers of n. */
static double draw_bad(pw_random *r, double n, double p) {
  double bad = 0;
  for (int i = 0; i < (int)n; i++)
    bad += pwrand_unit(r) < p;
  return bad;
}

/* The answers of one tick. */
static void answer(pw_random *r, const version *v, const pw_canary *c,
                   int64_t now, double rate, pw_canary_route *route,
                   result *out) {
  for (int i = 0; i < ROUTES; i++) {
    double n = draw_requests(r, rate * TICK_MS / 1000 / ROUTES);
    double to = draw_bad(r, n, (double)c->share / PWCANARY_ALL);
    int is_bad = now >= v->from_ms && (v->route < 0 || v->route == i) &&
                 c->share >= v->under_share;
    double p = baseline[i] + (is_bad ? v->bad * (1 - baseline[i]) : 0);
    double bad_to = draw_bad(r, to, p);
    double bad_from = draw_bad(r, n - to, baseline[i]);
    route[i].bad_to += bad_to;
    route[i].good_to += to - bad_to;
    route[i].bad_from += bad_from;
    route[i].good_from += n - to - bad_from;
    out->exposed += to;
    out->requests += n;
  }
}

static result play(uint64_t seed, const version *v, double rate) {
  pw_random r = {.seed = seed};
  pw_canary c = {0};
  pw_canary_route route[ROUTES] = {{0}};
  result out = {0};
  int64_t since = 0;
  for (int64_t now = 0; now < 2 * OVER_MS; now += TICK_MS) {
    pw_canary_input in = {.over_ms = OVER_MS,
                          .elapsed_ms = now,
                          .in_share_ms = now - since,
                          .slots_to = now > 1000 ? 100 : 0,
                          .slots_from = 100,
                          .expose_share = 0.1,
                          .route = route,
                          .nroutes = ROUTES};
    pw_canary next;
    if (pwcanary_next(&c, &in, &next)) {
      if (next.share != c.share)
        since = now;
      c = next;
    }
    out.at_ms = now;
    if (c.state != PWCANARY_RUNNING)
      break;
    answer(&r, v, &c, now, rate, route, &out);
  }
  out.end = c;
  return out;
}

typedef struct figures {
  /* Shares of all rollouts. */
  double reverted, complete;
  double over; /* a bad version got more requests than allowed */
  double late; /* decided after the deadline */
} figures;

#define EXPOSE_SLACK 50

static figures play_many(const char *name, version v, double rate, int times) {
  figures f = {0};
  for (int i = 0; i < times; i++) {
    result r = play((uint64_t)i + 1, &v, rate);
    f.reverted += r.end.state == PWCANARY_REVERTED;
    f.complete += r.end.state == PWCANARY_COMPLETE;
    f.late += r.at_ms > OVER_MS;
    f.over += r.exposed > 0.1 * r.requests + EXPOSE_SLACK;
  }
  f.reverted /= times;
  f.complete /= times;
  f.over /= times;
  f.late /= times;
  printf("%-28s %5.0f a second: reverted %.4f complete %.4f late %.4f exposed "
         "past the bound %.4f\n",
         name, rate, f.reverted, f.complete, f.late, f.over);
  return f;
}

static int times = 1000;

static void test_good(void) {
  version good = {0};
  good.route = -1;
  for (int i = 0; i < 3; i++) {
    double rate = (double[]){20, 250, 1500}[i];
    figures f = play_many("good", good, rate, times);
    CHECK(f.reverted < 0.01);
    CHECK(f.complete > 0.99);
    CHECK(f.late < 0.01);
  }
}

static void test_bad(void) {
  version v = {.bad = 0.2, .route = -1};
  CHECK(play_many("20 in 100", v, 250, times).reverted > 0.999);
  CHECK(play_many("20 in 100", v, 250, times).over == 0);
  v.bad = 0.6;
  figures f = play_many("60 in 100 (4 times slower)", v, 250, times);
  CHECK(f.reverted == 1);
  CHECK(f.over == 0);
  v.bad = 0.05;
  play_many("5 in 100", v, 250, times);
  CHECK(play_many("5 in 100", v, 1500, times).reverted > 0.9);
  v.bad = 0.02;
  play_many("2 in 100", v, 250, times);
  play_many("2 in 100", v, 1500, times);
  v.bad = 0.2;
  play_many("20 in 100", v, 20, times);
}

static void test_bad_in_part(void) {
  version v = {.bad = 0.3, .route = 2};
  CHECK(play_many("30 in 100, one route", v, 250, times).reverted > 0.99);
  v = (version){.bad = 0.3, .route = -1, .from_ms = 5000};
  CHECK(play_many("30 in 100, from 5 s on", v, 250, times).reverted > 0.99);
  v.from_ms = 8200;
  figures f = play_many("30 in 100, from 8.2 s on", v, 250, times);
  CHECK(f.reverted > 0.99);
  v = (version){.bad = 0.3, .route = -1, .under_share = PWCANARY_TRIAL_SHARE};
  f = play_many("30 in 100, from a quarter on", v, 250, times);
  CHECK(f.reverted > 0.99);
  CHECK(f.over < 0.05);
}

static int by_size(const void *a, const void *b) {
  return *(const int *)a - *(const int *)b;
}

#define DRAWS 101
#define ANSWERS_MAX 20000

/* Answers needed until a version that is worse by that share is found bad, on
** one route with 2,000 answers of the old version; median of DRAWS. */
static int answers_until(double baseline_bad, double worse_by) {
  int n[DRAWS];
  pw_canary_route from = {.good_from = 2000 * (1 - baseline_bad),
                          .bad_from = 2000 * baseline_bad};
  for (int i = 0; i < DRAWS; i++) {
    pw_random r = {.seed = (uint64_t)i + 1};
    pw_canary_route route = from;
    for (n[i] = 0; n[i] < ANSWERS_MAX; n[i]++) {
      int is_bad =
          pwrand_unit(&r) < baseline_bad + worse_by * (1 - baseline_bad);
      *(is_bad ? &route.bad_to : &route.good_to) += 1;
      if (pwcanary_ratio(&route, 1) >= PWCANARY_BAD)
        break;
    }
  }
  qsort(n, DRAWS, sizeof n[0], by_size);
  return n[DRAWS / 2];
}

static void test_answers_needed(void) {
  static const double worse_by[] = {0.2, 0.05, 0.02};
  for (int i = 0; i < ROUTES; i++) {
    int needed[3];
    for (int k = 0; k < 3; k++)
      needed[k] = answers_until(baseline[i], worse_by[k]);
    printf(
        "baseline %.3f: 20 in 100 worse after %d answers, 5 after %d, 2 after "
        "%d\n",
        baseline[i], needed[0], needed[1], needed[2]);
    CHECK(needed[0] < needed[1] && needed[1] < needed[2]);
    CHECK(needed[0] < 150);
  }
}

/* --- steps --- */

/* A rollout with enough slots and no evidence against the version. */
static pw_canary_input healthy(int64_t elapsed) {
  return (pw_canary_input){.over_ms = OVER_MS,
                           .elapsed_ms = elapsed,
                           .in_share_ms = 10000,
                           .slots_to = 10,
                           .slots_from = 10,
                           .expose_share = 0.1};
}

static void test_steps(void) {
  pw_canary c = {0}, next;
  pw_canary_input in = healthy(100);
  in.slots_to = 0;
  CHECK(!pwcanary_next(&c, &in, &next)); /* it has no targets yet */
  in = healthy(1000);
  CHECK(pwcanary_next(&c, &in, &next) && next.share == 90);
  in.expose_share = 0.02; /* the operator allows less */
  CHECK(pwcanary_next(&c, &in, &next) && next.share == 18);
  c.share = 90;
  in = healthy(5000);
  CHECK(!pwcanary_next(&c, &in, &next));
  in = healthy(9000);
  CHECK(pwcanary_next(&c, &in, &next) && next.share == PWCANARY_TRIAL_SHARE);
  in.slots_to = 5; /* too few for all requests */
  CHECK(!pwcanary_next(&c, &in, &next));
  c.share = PWCANARY_TRIAL_SHARE;
  in = healthy(9200);
  in.in_share_ms = 200;
  CHECK(!pwcanary_next(&c, &in, &next));
  in.in_share_ms = 600;
  CHECK(pwcanary_next(&c, &in, &next) && next.share == PWCANARY_ALL);
  c.share = PWCANARY_ALL;
  in = healthy(11000);
  CHECK(!pwcanary_next(&c, &in, &next)); /* requests at the old targets end */
  in = healthy(11400);
  CHECK(pwcanary_next(&c, &in, &next));
  CHECK(next.state == PWCANARY_COMPLETE && next.share == PWCANARY_ALL);
  CHECK(!pwcanary_next(&next, &in, &c));
}

static void test_reverts_at_any_share(void) {
  pw_canary_route bad = {.good_to = 100, .bad_to = 30, .good_from = 1000};
  for (int share = 0; share <= PWCANARY_ALL; share += 50) {
    pw_canary c = {.share = share}, next;
    pw_canary_input in = healthy(9000);
    in.route = &bad;
    in.nroutes = 1;
    CHECK(pwcanary_next(&c, &in, &next));
    CHECK(next.state == PWCANARY_REVERTED && next.share == 0);
    pw_canary again;
    CHECK(!pwcanary_next(&next, &in, &again)); /* it stays reverted */
  }
}

static void test_in_doubt(void) {
  pw_canary_route doubt = {
      .good_to = 60, .bad_to = 5, .good_from = 300, .bad_from = 3};
  double ratio = pwcanary_ratio(&doubt, 1);
  pw_canary c = {.share = 90}, next;
  pw_canary_input in = healthy(9000);
  CHECK(ratio > PWCANARY_DOUBT && ratio < PWCANARY_BAD);
  in.route = &doubt;
  in.nroutes = 1;
  CHECK(!pwcanary_next(&c, &in, &next)); /* its share does not grow */
  in.elapsed_ms = 10500;
  CHECK(pwcanary_next(&c, &in, &next)); /* near the deadline it is reverted */
  CHECK(next.state == PWCANARY_REVERTED);
}

static void test_targets(void) {
  int n = 0, all = 0;
  for (uint64_t i = 0; i < 10000; i++) {
    uint64_t hash = XXH3_64bits(&i, sizeof i);
    n += pwcanary_takes_part(hash, 60);
    all += pwcanary_takes_part(hash, PWCANARY_ALL);
    CHECK(!pwcanary_takes_part(hash, 0));
  }
  CHECK(n > 500 && n < 700);
  CHECK(all == 10000);
  CHECK(!pwcanary_is_slow(100, 0));
  CHECK(pwcanary_is_slow(101, 50));
  CHECK(!pwcanary_is_slow(99, 50));
}

int main(int argc, char **argv) {
  if (argc > 1)
    times = atoi(argv[1]);
  TESTS_BEGIN("canary");
  TEST(test_steps);
  TEST(test_reverts_at_any_share);
  TEST(test_in_doubt);
  TEST(test_targets);
  TEST(test_answers_needed);
  TEST(test_good);
  TEST(test_bad);
  TEST(test_bad_in_part);
  TESTS_END();
}
