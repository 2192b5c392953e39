/* test_prefill.c: prefill as a capacity: its speed, the limit on its backlog, targets that have a prefix cached,
** and the choice of a target by the time to the first chunk. */
#include "pwtest.h"

#include "pwaffinity.h"
#include "pwbuf.h"
#include "pwpick.h"
#include "pwprefill.h"

#include <math.h>

/* The speed follows the median of what was measured. Guards against prompts that were cached unknown to the gateway,
** which seem to be computed in no time, and against short ones, whose time is mostly the network's. */
static void test_speed(void) {
  pw_prefill p;
  pw_random r = {.seed = test_seed(71)};
  pwprefill_init(&p);
  pwprefill_measured(&p, 100, 50);
  pwprefill_measured(&p, 500, 50);
  CHECK(p.ms_per_token == 0); /* too short to tell */
  for (int i = 0; i < 600; i++) {
    int is_cached = pwrand_below(&r, 10) < 3;
    pwprefill_measured(&p, 5000, is_cached ? 5 : 150 + pwrand_unit(&r) * 100);
  }
  CHECK(p.ms_per_token > 0.030 && p.ms_per_token < 0.050);
  for (int i = 0; i < 200; i++)
    pwprefill_measured(&p, 300, 1000); /* says nothing of a lower speed */
  CHECK(p.ms_per_token < 0.050);
  for (int i = 0; i < 200; i++)
    pwprefill_measured(&p, 1000, 5); /* shows that it is higher */
  CHECK(p.ms_per_token < 0.01);
}

/* The expected time adds up what comes first, the request's own prefill and the copy; the time in the queue is the
** first part of it. */
static void test_first_ms(void) {
  pw_prefill p = {.ms_per_token = 0.04, .ms_per_copy = 0.005, .goal_part = 1};
  pw_prefill_work work = {.ahead = 5000, .own = 1000};
  CHECK(fabs(pwprefill_first_ms(&p, &work) - 240) < 1e-6);
  CHECK(fabs(pwprefill_queue_ms(&p, &work) - 200) < 1e-6);
  work.copied = 2000;
  work.copies_ahead = 4000;
  CHECK(fabs(pwprefill_first_ms(&p, &work) - 270) < 1e-6);
  CHECK(fabs(pwprefill_queue_ms(&p, &work) - 220) < 1e-6);
  p.ms_per_token = p.ms_per_copy = 0; /* unknown: no target is ruled out */
  CHECK(pwprefill_first_ms(&p, &work) == 0);
}

/* A prefix is copied unless computing it again is faster. Guards against a link that everything is copied over at
** the same time, as after a start of all engines. */
static void test_copy(void) {
  pw_prefill p = {.ms_per_token = 0.04, .ms_per_copy = 0.005, .goal_part = 1};
  CHECK(pwprefill_should_copy(&p, 1000, 0));
  CHECK(pwprefill_should_copy(&p, 1000, 6900));
  CHECK(!pwprefill_should_copy(&p, 1000, 7100));
  p.ms_per_token = 0;
  CHECK(pwprefill_should_copy(&p, 1000, 1e6));
}

/* The limit falls while more than one in 20 answers is late, not below a quarter of the goal, and rises again.
** Guards against a backlog that keeps all streams late and against a limit that never recovers. */
static void test_limit(void) {
  pw_prefill p;
  pwprefill_init(&p);
  CHECK(p.goal_part == 1);
  for (int i = 0; i < 1000; i++)
    pwprefill_answered(&p, i % 10 == 0);
  CHECK(p.goal_part < 0.3 && p.goal_part >= 0.25);
  for (int i = 0; i < 2000; i++)
    pwprefill_answered(&p, i % 40 == 0);
  CHECK(p.goal_part > 0.9 && p.goal_part <= 1);
}

/* Targets of a prefix are found by use, the most recent first; the one that was used least recently makes room, and
** what was used too long ago is forgotten. */
static void test_holders(void) {
  enum { KEEP = 1000, KEY = 42 };
  uint32_t holder[PWAFFINITY_HOLDERS];
  pw_affinity *a = pwaffinity_new();
  CHECK(pwaffinity_holders(a, KEY, 0, KEEP, holder) == 0);
  for (uint32_t target = 1; target <= PWAFFINITY_HOLDERS + 1; target++)
    pwaffinity_note(a, KEY, target, 100 + target, KEEP);
  CHECK(pwaffinity_holders(a, KEY, 110, KEEP, holder) == PWAFFINITY_HOLDERS);
  CHECK(holder[0] == PWAFFINITY_HOLDERS + 1);
  for (int i = 0; i < PWAFFINITY_HOLDERS; i++)
    CHECK(holder[i] != 1);
  pwaffinity_note(a, KEY, 3, 1000, KEEP);
  CHECK(pwaffinity_holders(a, KEY, 1200, KEEP, holder) == 1 && holder[0] == 3);
  pwaffinity_free(a);
}

/* Other gateways are told once, and again before they forget it; not of what one of them has told. */
static void test_announcements(void) {
  enum { KEEP = 1000, KEY = 42 };
  pw_affinity *a = pwaffinity_new();
  CHECK(pwaffinity_note(a, KEY, 7, 100, KEEP));
  CHECK(!pwaffinity_note(a, KEY, 7, 200, KEEP));
  CHECK(pwaffinity_note(a, KEY, 8, 200, KEEP));
  CHECK(pwaffinity_note(a, KEY, 7, 700, KEEP));
  pwaffinity_learn(a, KEY, 9, 800);
  CHECK(!pwaffinity_note(a, KEY, 9, 900, KEEP));
  pwaffinity_free(a);
}

/* A message of another gateway that names no target (0) leaves the known ones as they are. Guards against one that takes
** the place of a target that has the prefix cached. */
static void test_no_target(void) {
  enum { KEEP = 1000, KEY = 42 };
  uint32_t holder[PWAFFINITY_HOLDERS];
  pw_affinity *a = pwaffinity_new();
  for (uint32_t target = 1; target <= PWAFFINITY_HOLDERS; target++)
    pwaffinity_note(a, KEY, target, 100, KEEP);
  pwaffinity_learn(a, KEY, 0, 200);
  CHECK(pwaffinity_holders(a, KEY, 200, KEEP, holder) == PWAFFINITY_HOLDERS);
  pwaffinity_free(a);
}

/* Thousands of prefixes are kept at once. Guards against two in use that evict each other again and again. */
static void test_many_prefixes(void) {
  enum { KEEP = 10000, KEYS = 6000 };
  uint32_t holder[PWAFFINITY_HOLDERS];
  pw_affinity *a = pwaffinity_new();
  int found = 0;
  for (uint64_t key = 1; key <= KEYS; key++)
    pwaffinity_note(a, key, 1, (int64_t)key, KEEP);
  for (uint64_t key = 1; key <= KEYS; key++)
    found += pwaffinity_holders(a, key, KEYS, KEEP, holder);
  CHECK(found >= 0.97 * KEYS);
  pwaffinity_free(a);
}

/* --- choice of a target --- */

enum { TARGETS = 12, SLOTS = 64 };
static const pw_pick_bound bound = {1.6, 3, 0, 0};
static const pw_pick_times times = {
    .soon_ms = 300, .latest_ms = 600, .queue_ms = 50};

static void idle(pw_pick *t) {
  for (int i = 0; i < TARGETS; i++)
    t[i] = (pw_pick){.id = (uint64_t)i * 7919 + 13,
                     .slots = SLOTS,
                     .load = 5,
                     .work_ms = 100,
                     .is_usable = 1,
                     .is_alive = 1,
                     .first_ms = 250};
}

static int pick(const pw_pick *t, uint64_t key, int home_first) {
  pw_pick_times used = times;
  used.home_first = home_first;
  return pwpick_in_time(t, TARGETS, key, bound, &used);
}

/* A prompt goes where it is cached while that is soon enough, and home first while answers are in time. Guards
** against prefill of one prefix at target after target. */
static void test_pick_holder(void) {
  pw_pick t[TARGETS];
  for (uint64_t key = 1; key <= 50; key++) {
    idle(t);
    int home = pick(t, key, 0);
    int holder = (home + 1) % TARGETS;
    CHECK(home == pwpick_holder(t, TARGETS, key));
    t[holder].is_holder = 1;
    t[holder].first_ms = 20;
    CHECK(pick(t, key, 0) == holder && pick(t, key, 1) == home);
    t[holder].first_ms = 290;
    CHECK(pick(t, key, 0) == holder);
    t[holder].first_ms = 500; /* its backlog is too long */
    CHECK(pick(t, key, 0) == home);
    t[home].first_ms = 500;
    CHECK(pick(t, key, 1) != home && pick(t, key, 1) >= 0);
    t[home].repeats_prefill = t[holder].is_holder = 1;
    t[home].first_ms = 250;
    CHECK(pick(t, key, 1) != home);
  }
}

/* A long prompt, for which no target is soon, goes to its home all the same if that is about as soon as others, and
** is not refused by idle targets. What waits too long everywhere is refused. */
static void test_pick_long(void) {
  pw_pick t[TARGETS];
  idle(t);
  int home = pwpick_holder(t, TARGETS, 9);
  for (int i = 0; i < TARGETS; i++) {
    t[i].first_ms = 900;
    t[i].queue_ms = 0;
  }
  t[home].first_ms = 1000;
  CHECK(pick(t, 9, 0) == home && pick(t, 9, 1) == home);
  for (int i = 0; i < TARGETS; i++)
    t[i].queue_ms = 100;
  CHECK(pick(t, 9, 0) == -1);
}

/* The bound on the load of a target holds whatever it has cached. */
static void test_pick_bound(void) {
  pw_pick t[TARGETS];
  idle(t);
  int home = pwpick_holder(t, TARGETS, 5);
  t[home].is_holder = 1;
  t[home].first_ms = 1;
  t[home].load = 11; /* 1.6 times the mean of 5.5, and 3, less one */
  CHECK(pick(t, 5, 1) != home);
  t[home].load = 9;
  CHECK(pick(t, 5, 1) == home);
}

/* Gateways that have not learned of each other's requests spread what is late at its home over many targets. Guards
** against all of them picking the one target that was the soonest in the last report. */
static void test_pick_spread(void) {
  enum { KEYS = 400 };
  int used[TARGETS] = {0}, most = 0;
  pw_pick t[TARGETS];
  pw_random r = {.seed = test_seed(72)};
  idle(t);
  for (int i = 0; i < TARGETS; i++)
    t[i].first_ms = 350 + 200 * pwrand_unit(&r);
  t[3].first_ms = 310;
  for (uint64_t key = 1; key <= KEYS; key++) {
    int one = pick(t, key, 0);
    CHECK(one >= 0);
    most = one >= 0 && ++used[one] > most ? used[one] : most;
  }
  CHECK(most <= KEYS / 4);
}

/* Where few targets are in time, gateways that have not learned of each other's requests send these few no more
** than they have room for. Guards against 13 gateways that send one target 20 requests within one interval of the
** load reports, which puts it over its multiple of the mean. */
static void test_pick_unseen(void) {
  enum { GATEWAYS = 12, REQUESTS = 6, ROUNDS = 200 };
  pw_pick t[TARGETS];
  pw_random r = {.seed = test_seed(73)};
  int sent = 0, calm = 0;
  for (int round = 0; round < ROUNDS; round++) {
    pw_pick_times used = times;
    used.unseen = (GATEWAYS - 1) * REQUESTS;
    for (int i = 0; i < GATEWAYS * REQUESTS; i++) {
      idle(t);
      used.draw = pwrand_unit(&r);
      calm += pwpick_in_time(t, TARGETS, pwrand(&r), bound, &used) >= 0;
      for (int k = 1; k < TARGETS; k++)
        t[k].first_ms = t[k].queue_ms = 2000;
      sent += pwpick_in_time(t, TARGETS, pwrand(&r), bound, &used) == 0;
    }
  }
  double room = 1.6 * 5 + 3 - 5;
  CHECK(sent <= 1.3 * room * ROUNDS && sent >= 0.7 * room * ROUNDS);
  CHECK(calm >= 0.99 * GATEWAYS * REQUESTS * ROUNDS);
}

int main(void) {
  TESTS_BEGIN("prefill");
  TEST(test_speed);
  TEST(test_first_ms);
  TEST(test_copy);
  TEST(test_limit);
  TEST(test_holders);
  TEST(test_announcements);
  TEST(test_no_target);
  TEST(test_many_prefixes);
  TEST(test_pick_holder);
  TEST(test_pick_long);
  TEST(test_pick_bound);
  TEST(test_pick_spread);
  TEST(test_pick_unseen);
  TESTS_END();
}
