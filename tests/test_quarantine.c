/* test_quarantine.c: quarantine of requests that crash targets, in one
** process. */
#include "pwfingerprint.h"
#include "pwquarantine.h"
#include "pwtest.h"
#include "pwunresponsive.h"

#include <string.h>

static pw_span span(const char *s) {
  return (pw_span){s, strlen(s)};
}

static void test_fingerprint(void) {
  uint64_t one = pwfingerprint_of("kett", "POST", span("/a/1"), span("x"));
  CHECK(one &&
        one == pwfingerprint_of("kett", "POST", span("/a/1"), span("x")));
  CHECK(one != pwfingerprint_of("exams", "POST", span("/a/1"), span("x")));
  CHECK(one != pwfingerprint_of("kett", "PUT", span("/a/1"), span("x")));
  CHECK(one != pwfingerprint_of("kett", "POST", span("/a/1x"), span("")));
  CHECK(one != pwfingerprint_of("kett", "POST", span("/a/1"), span("y")));
  CHECK(pwfingerprint_of("", "GET", span("/"), (pw_span){0}) != 0);
}

static void note(pw_unresponsive *d, uint64_t fingerprint, uint64_t target,
                 int64_t now) {
  pw_unresponsive_request r = {
      .fingerprint = fingerprint, .target = target, .sent = now - 1, .at = now};
  pwunresponsive_note(d, &r);
}

/* The fingerprint of the request that is taken; 0: none is left. */
static uint64_t take(pw_unresponsive *d, uint64_t target, int64_t now) {
  pw_unresponsive_request r;
  return pwunresponsive_take(d, target, now, &r) ? r.fingerprint : 0;
}

/* A request whose target became unresponsive is returned once the target is
** known to have crashed, but only one time, not for another incarnation, and
** not long after. */
static void test_unresponsive(void) {
  pw_unresponsive d = {0};
  note(&d, 7, 1, 1000);
  note(&d, 8, 1, 1000);
  note(&d, 9, 2, 1000);
  CHECK(take(&d, 3, 1500) == 0);
  CHECK(take(&d, 1, 1500) == 7);
  CHECK(take(&d, 1, 1500) == 8);
  CHECK(take(&d, 1, 1500) == 0);
  CHECK(take(&d, 2, 61000) == 0);
  for (int i = 0; i < 2 * PWUNRESPONSIVE_MAX; i++)
    note(&d, 100 + (uint64_t)i, 4, 70000);
  int n = 0;
  while (take(&d, 4, 70000) != 0)
    n++;
  CHECK(n == PWUNRESPONSIVE_MAX);
}

/* Requests are taken by age, the oldest first, each one time. */
static void test_unresponsive_by_age(void) {
  pw_unresponsive d = {0};
  pw_unresponsive_request r;
  for (uint64_t i = 1; i <= PWUNRESPONSIVE_MAX + 2; i++)
    note(&d, i, 1, 1000 + (int64_t)i);
  CHECK(!pwunresponsive_take_old(&d, 100, 1100, &r));
  CHECK(pwunresponsive_take_old(&d, 100, 1104, &r) && r.fingerprint == 3);
  CHECK(pwunresponsive_take_old(&d, 100, 1104, &r) && r.fingerprint == 4);
  CHECK(!pwunresponsive_take_old(&d, 100, 1104, &r));
  CHECK(take(&d, 1, 1105) > 4);
}

/* A request whose target is being checked is not taken by its age before the check is over. */
static void test_unresponsive_checked(void) {
  pw_unresponsive d = {0};
  pw_unresponsive_request r = {
      .fingerprint = 7, .target = 1, .at = 1000, .is_checked = 1};
  pwunresponsive_note(&d, &r);
  CHECK(!pwunresponsive_take_old(&d, 100, 5000, &r));
  pwunresponsive_end_check(&d, 2);
  CHECK(!pwunresponsive_take_old(&d, 100, 5000, &r));
  pwunresponsive_end_check(&d, 1);
  CHECK(pwunresponsive_take_old(&d, 100, 5000, &r) && r.fingerprint == 7);
}

/* --- one instance --- */

static void test_crashes(void) {
  pw_quarantine *q = pwquar_new();
  CHECK(pwquar_crashed(q, 7, 1, 100) == PWQUAR_CRASHED);
  CHECK(pwquar_crashed(q, 7, 1, 101) == PWQUAR_UNCHANGED); /* the same crash */
  CHECK(pwquar_crashed(q, 7, 2, 200) == PWQUAR_CRASHED);
  CHECK(pwquar_left(q, 7, 200) == 0);
  CHECK(pwquar_crashed(q, 7, 3, 300) == PWQUAR_BEGUN);
  CHECK(pwquar_crashed(q, 7, 4, 310) == PWQUAR_UNCHANGED);
  CHECK(pwquar_left(q, 7, 300) == PW_QUARANTINE_MS);
  CHECK(pwquar_left(q, 8, 300) == 0 && pwquar_count(q) == 1);
  CHECK(pwquar_total(q) == 3);
  /* the quarantine ends in time; one more crash begins the next */
  int64_t over = 300 + PW_QUARANTINE_MS;
  pwquar_tick(q, over - 1);
  CHECK(pwquar_left(q, 7, over - 1) == 1);
  pwquar_tick(q, over);
  CHECK(pwquar_left(q, 7, over) == 0 && pwquar_count(q) == 0);
  CHECK(pwquar_crashed(q, 7, 9, over + 5) == PWQUAR_BEGUN);
  pwquar_free(q);
}

/* A target that restarts unnoticed and crashes again is reported with the same
** id, some time later. */
static void test_crashes_again(void) {
  pw_quarantine *a = pwquar_new(), *b = pwquar_new();
  CHECK(pwquar_crashed(a, 7, 1, 1000) == PWQUAR_CRASHED);
  CHECK(pwquar_crashed(b, 7, 1, 1100) == PWQUAR_CRASHED);
  CHECK(pwquar_crashed(a, 7, 1, 2900) == PWQUAR_UNCHANGED); /* seen late */
  CHECK(pwquar_crashed(a, 7, 1, 4000) == PWQUAR_CRASHED);
  CHECK(pwquar_crashed(b, 7, 1, 4100) == PWQUAR_CRASHED);
  pw_quar_row row[PWQUAR_ROWS];
  for (size_t i = pwquar_updates(a, row, 4200); i > 0; i--)
    CHECK(pwquar_receive(b, &row[i - 1], 4200) == PWQUAR_UNCHANGED);
  CHECK(pwquar_crashes(b, 7) == 2); /* both instances count the same two */
  CHECK(pwquar_crashed(b, 7, 1, 7000) == PWQUAR_BEGUN);
  pwquar_free(a);
  pwquar_free(b);
}

/* An answer retracts all crashes before it, and for a while none is
** counted. */
static void test_answers(void) {
  pw_quarantine *q = pwquar_new();
  pwquar_crashed(q, 7, 1, 100);
  pwquar_crashed(q, 7, 2, 100);
  CHECK(pwquar_answered(q, 7, 200) == PWQUAR_UNCHANGED &&
        pwquar_crashes(q, 7) == 0);
  CHECK(pwquar_crashed(q, 7, 3, 300) == PWQUAR_UNCHANGED);
  CHECK(pwquar_crashed(q, 7, 3, 20000) == PWQUAR_CRASHED);
  CHECK(pwquar_crashed(q, 7, 4, 20000) == PWQUAR_CRASHED);
  CHECK(pwquar_crashed(q, 7, 5, 20000) == PWQUAR_BEGUN);
  CHECK(pwquar_answered(q, 7, 20100) ==
        PWQUAR_RELEASED); /* an answer in flight */
  CHECK(pwquar_left(q, 7, 20100) == 0);
  pwquar_free(q);
}

/* A request that many callers send alike is in flight when targets crash: as
** it was answered before, it is in quarantine for seconds, and longer each
** time, not for minutes like one that was never answered. */
static void test_common_request(void) {
  pw_quarantine *q = pwquar_new();
  pw_quar_row old = {
      .fingerprint = 7, .target = {1, 2, 3}, .n = 3, .age_ms = 30000};
  int64_t now = 20000, wait = 5000;
  pwquar_answered(q, 7, 1000);
  for (uint64_t t = 1; t <= 2; t++)
    CHECK(pwquar_crashed(q, 7, t, now) == PWQUAR_CRASHED);
  for (uint64_t t = 3; t < 9; t++) {
    CHECK(pwquar_crashed(q, 7, t, now) == PWQUAR_BEGUN);
    CHECK(pwquar_left(q, 7, now) == wait);
    now += wait;
    pwquar_tick(q, now);
    CHECK(pwquar_left(q, 7, now) == 0);
    old.age_ms = wait; /* another instance still has it and keeps sending it */
    CHECK(pwquar_receive(q, &old, now) == PWQUAR_UNCHANGED);
    CHECK(pwquar_left(q, 7, now) == 0 && pwquar_crashes(q, 7) == 2);
    wait *= 2;
  }
  CHECK(pwquar_answered(q, 7, now) == PWQUAR_UNCHANGED &&
        pwquar_crashes(q, 7) == 0);
  now += 20000;
  for (uint64_t t = 21; t <= 23; t++)
    pwquar_crashed(q, 7, t, now);
  CHECK(pwquar_left(q, 7, now) == 5000); /* the first length again */
  pwquar_free(q);
}

/* The number of cases is bounded; those in quarantine stay. */
static void test_table_is_bounded(void) {
  pw_quarantine *q = pwquar_new();
  for (uint64_t t = 1; t <= PW_QUARANTINE_CRASHES; t++)
    pwquar_crashed(q, 1, t, 1);
  for (uint64_t fingerprint = 2; fingerprint < 10000; fingerprint++)
    pwquar_crashed(q, fingerprint, 1, 2);
  CHECK(pwquar_left(q, 1, 2) > 0 && pwquar_crashes(q, 2) == 0);
  CHECK(pwquar_crashes(q, 9999) == 1);
  pwquar_free(q);
}

/* --- several instances --- */

/* Sends one update; without `to` it is lost. Returns its number of rows. */
static int send_update(pw_quarantine *from, pw_quarantine *to, int64_t now) {
  pw_quar_row row[PWQUAR_ROWS];
  size_t n = pwquar_updates(from, row, now);
  for (size_t i = 0; to && i < n; i++)
    pwquar_receive(to, &row[i], now);
  return (int)n;
}

static void test_updates(void) {
  pw_quarantine *a = pwquar_new(), *b = pwquar_new(), *c = pwquar_new();
  pwquar_crashed(a, 7, 1, 1000);
  pwquar_crashed(b, 7, 2, 1000);
  pwquar_crashed(b, 7, 1, 1000); /* both instances saw this crash */
  send_update(a, b, 1100);
  send_update(b, a, 1200);
  CHECK(pwquar_crashes(a, 7) == 2 && pwquar_crashes(b, 7) == 2);
  CHECK(pwquar_crashed(a, 7, 3, 1300) == PWQUAR_BEGUN);
  send_update(a, NULL, 1400); /* lost */
  send_update(a, b, 1500);
  CHECK(pwquar_left(b, 7, 1500) == pwquar_left(a, 7, 1500));
  /* an instance that starts later knows it within a second */
  for (int64_t t = 1600; t <= 3000; t += 100)
    send_update(b, NULL, t);
  int received = 0;
  for (int64_t t = 3100; t <= 4100; t += 100)
    received += send_update(b, c, t);
  CHECK(received == 1 && pwquar_left(c, 7, 4100) == pwquar_left(a, 7, 4100));
  /* an answer seen by one instance releases it at all of them */
  pwquar_answered(c, 7, 5000);
  send_update(c, b, 5100);
  send_update(b, a, 5200);
  CHECK(!pwquar_left(a, 7, 5200) && !pwquar_left(b, 7, 5200));
  /* an instance that saw an answer contradicts reported crashes */
  pwquar_crashed(a, 9, 1, 5000);
  pwquar_answered(c, 9, 5000);
  send_update(a, c, 5300);
  /* it does not contradict a single crash */
  CHECK(send_update(c, NULL, 5310) <= 1);
  pwquar_crashed(a, 9, 2, 5320);
  send_update(a, c, 5400);
  send_update(c, a, 5500);
  CHECK(pwquar_crashes(a, 9) == 0);
  /* all changes have been sent */
  for (int64_t t = 6000; t < 7000; t += 100) {
    send_update(a, NULL, t);
    send_update(c, NULL, t);
  }
  CHECK(send_update(a, NULL, 7000) == 0 && send_update(c, NULL, 7000) == 0);
  pwquar_free(a);
  pwquar_free(b);
  pwquar_free(c);
}

/* Rows from the network may contain anything. */
static void test_bad_rows(void) {
  pw_quarantine *q = pwquar_new();
  static const pw_quar_row bad[] = {
      {.fingerprint = 0, .n = 3, .target = {1, 2, 3}},
      {.fingerprint = 1, .n = PW_QUARANTINE_CRASHES + 1},
      {.fingerprint = 1, .n = -1},
      {.fingerprint = 1,
       .n = 3,
       .target = {1, 2, 3},
       .age_ms = PW_QUARANTINE_MS},
      {.fingerprint = 1, .n = 3, .target = {4, 4, 4}}};
  for (size_t i = 0; i < sizeof bad / sizeof bad[0]; i++)
    pwquar_receive(q, &bad[i], 1000000);
  CHECK(pwquar_count(q) == 0 && pwquar_crashes(q, 1) == 1);
  pwquar_free(q);
}

/* --- simulation of a request that crashes targets --- */

/* Whether instances count crashes alone or send updates to each other. */
typedef enum way { ALONE, SHARED_COUNTS } way;

enum {
  GATEWAYS_MAX = 103,
  STEP_MS = 10,
  SIM_MS = 60000,
  EVERY_MS = 100, /* interval at which the request arrives */
  RUN_MS = 80,    /* time from the start of the request to the crash */
  UPDATE_MS = 100,
  RUNS = 16,  /* most runs at the same time */
  BESIDE = 15 /* other requests that a target is running when it crashes */
};

typedef struct run {
  int gateway, attempt;
  int64_t at; /* when its target crashes; 0: no run */
  uint64_t target;
} run;

typedef struct result {
  int crashes;            /* targets that crashed */
  int late;               /* sends later than 3 s after the third crash */
  int wrong;              /* other requests in quarantine at the end */
  int shared_quarantined; /* times that the common request was in quarantine */
} result;

/* The request that crashes targets, and the one that many callers send
** alike. */
static const uint64_t BAD = 1, SHARED = 2;

static void begin(run *r, int gateway, int attempt, int64_t now,
                  pw_random *rnd) {
  *r = (run){gateway, attempt, now + RUN_MS, pwrand(rnd)};
}

/* One in ten datagrams is lost; with a hundred gateways some of them forward
** updates to the others. */
static void send_updates(pw_quarantine **q, int gateways, int64_t now,
                         pw_random *r) {
  for (int i = 0; i < gateways; i++) {
    pw_quar_row row[PWQUAR_ROWS];
    size_t n = pwquar_updates(q[i], row, now);
    int hub = i % 10 == 0;
    for (int k = 0; n && k < gateways; k++)
      for (size_t j = 0; k != i && j < n; j++)
        if ((gateways <= 30 || hub || k % 10 == 0) && pwrand_below(r, 10))
          pwquar_receive(q[k], &row[j], now);
  }
}

/* A request arrives at a random gateway, is sent to two targets as its route
** allows, and crashes them. Each crash fails other requests, which are retried
** elsewhere and answered there, or are in flight at another crash. Each
** gateway serves the common request five times a second, and one crash in ten
** happens to a target that is running it. */
static result play(int gateways, way how, pw_random *r) {
  static pw_quarantine *q[GATEWAYS_MAX];
  run runs[RUNS] = {{0}};
  result p = {0};
  int64_t third = 0;
  uint64_t other = 1000;
  for (int i = 0; i < gateways; i++)
    q[i] = pwquar_new();
  for (int64_t now = STEP_MS; now <= SIM_MS; now += STEP_MS) {
    for (int i = 0; i < RUNS; i++) {
      run *one = &runs[i];
      if (!one->at && now % EVERY_MS == 0 && i == (now / EVERY_MS) % RUNS) {
        int at = (int)pwrand_below(r, (uint64_t)gateways);
        if (!pwquar_left(q[at], BAD, now)) {
          begin(one, at, 1, now, r);
          p.late += third && now > third + 3000;
        }
      } else if (one->at && now >= one->at) {
        one->at = 0;
        p.crashes++;
        third = third || p.crashes < 3 ? third : now;
        pwquar_crashed(q[one->gateway], BAD, one->target, now);
        for (int k = 0; k < BESIDE; k++) {
          pw_quarantine *its = q[pwrand_below(r, (uint64_t)gateways)];
          pwquar_crashed(its, ++other, one->target, now);
          if (pwrand_below(r, 10))
            pwquar_answered(its, other, now);
        }
        if (!pwrand_below(r, 10))
          pwquar_crashed(q[pwrand_below(r, (uint64_t)gateways)], SHARED,
                         one->target, now);
        if (one->attempt == 1 && !pwquar_left(q[one->gateway], BAD, now)) {
          begin(one, one->gateway, 2, now, r);
          p.late += third && now > third + 3000;
        }
      }
    }
    for (int i = 0; i < gateways; i++)
      if (pwrand_below(r, 20) == 0) {
        p.shared_quarantined += pwquar_left(q[i], SHARED, now) > 0;
        pwquar_answered(q[i], SHARED, now);
      }
    if (how == SHARED_COUNTS && now % UPDATE_MS == 0)
      send_updates(q, gateways, now, r);
  }
  for (int i = 0; i < gateways; i++)
    p.wrong += pwquar_count(q[i]) - (pwquar_left(q[i], BAD, SIM_MS) > 0);
  for (int i = 0; i < gateways; i++)
    pwquar_free(q[i]);
  return p;
}

/* With crashes counted at each gateway alone, the request crashes more targets
** the more gateways there are, and some are sent it long after the third
** crash. With updates it crashes three, and those that run it at the third
** crash. */
static void test_crashing_request(void) {
  static const int sizes[] = {1, 5, 23, 103};
  pw_random r = {.seed = test_seed(34)};
  for (size_t s = 0; s < sizeof sizes / sizeof sizes[0]; s++) {
    for (int how = ALONE; how <= SHARED_COUNTS; how++) {
      result sum = {0};
      int most = 0, rounds = sizes[s] > 30 ? 3 : 20;
      for (int i = 0; i < rounds; i++) {
        result p = play(sizes[s], (way)how, &r);
        sum.crashes += p.crashes;
        sum.late += p.late;
        sum.wrong += p.wrong;
        sum.shared_quarantined += p.shared_quarantined;
        most = p.crashes > most ? p.crashes : most;
      }
      printf(
          "%d gateways, %s: %.1f crashes a run, %d at most; %.1f late sends, "
          "%d other requests in quarantine, the common one %d times\n",
          sizes[s], how == ALONE ? "alone" : "told",
          (double)sum.crashes / rounds, most, (double)sum.late / rounds,
          sum.wrong, sum.shared_quarantined);
      CHECK(sum.wrong == 0 && sum.shared_quarantined == 0);
      if (how == SHARED_COUNTS || sizes[s] == 1)
        CHECK(most <= 9 && sum.late == 0);
    }
  }
}

int main(void) {
  TESTS_BEGIN("quarantine");
  TEST(test_fingerprint);
  TEST(test_unresponsive);
  TEST(test_unresponsive_by_age);
  TEST(test_unresponsive_checked);
  TEST(test_crashes);
  TEST(test_crashes_again);
  TEST(test_answers);
  TEST(test_common_request);
  TEST(test_table_is_bounded);
  TEST(test_updates);
  TEST(test_bad_rows);
  TEST(test_crashing_request);
  TESTS_END();
}
