/* test_durations.c: unit tests of the measured duration of a target's requests and of its part in the choice
** of a target. Guards against a target that gets no request after it was slow once, and against many
** requests to one that is still slow. 80_slow_once tests the same with processes. */
#include "pwbuf.h"
#include "pwfleet.h"
#include "pwtest.h"

#include <stdio.h>
#include <string.h>

enum { BEAT_MS = 100000, KEEP_MS = 1000, GAP_MS = 10, SLOW_MS = 200 };

static const char *const SERVICE = "s";

/* Two targets, a and b, in the availability zone of the gateway. */
static pw_fleet *fleet_of_two(void) {
  pw_fleet *f = pwfleet_new("az-1", BEAT_MS, KEEP_MS);
  for (int i = 0; i < 2; i++) {
    pw_heartbeat b = {.slots = 4, .seq = 1, .born = 1000};
    snprintf(b.id, sizeof b.id, "%c", 'a' + i);
    pw_copy(b.service, sizeof b.service, SERVICE);
    snprintf(b.address, sizeof b.address, "10.0.0.1:%d", 80 + i);
    pw_copy(b.availability_zone, sizeof b.availability_zone, "az-1");
    CHECK(pwfleet_heartbeat(f, &b, 0, 0) == PWFLEET_JOINED);
  }
  return f;
}

/* The same, where a was slow a moment before `now` and b was not. */
static pw_fleet *fleet_with_slow_a(int64_t now) {
  pw_fleet *f = fleet_of_two();
  pwfleet_measured(pwfleet_find(f, "a"), SLOW_MS, now);
  pwfleet_measured(pwfleet_find(f, "b"), 1, now);
  return f;
}

/* Sends requests one after the other, one each GAP_MS, that take `a_ms` and `b_ms` at the targets. Returns how
** many went to a. */
static int send_in_sequence(pw_fleet *f, pw_random *r, int n, double a_ms,
                            double b_ms, int64_t *now) {
  pw_target *a = pwfleet_find(f, "a");
  int to_a = 0;
  for (int i = 0; i < n; i++, *now += GAP_MS) {
    pw_fleet_criteria criteria = {.service = SERVICE,
                                  .wait_ms = 1000,
                                  .how = PWPICK_BY_LOAD,
                                  .draw = pwrand_unit(r),
                                  .bound = {2, 2}};
    pw_fleet_picked picked = pwfleet_pick(f, &criteria, *now);
    if (!picked.target) {
      CHECK(0);
      return to_a;
    }
    to_a += picked.target == a;
    pwfleet_measured(picked.target, picked.target == a ? a_ms : b_ms, *now);
    pwfleet_release(picked.target);
  }
  return to_a;
}

static void test_slow_once(void) {
  pw_random r = {.seed = test_seed(80)};
  int64_t now = 10000;
  pw_fleet *f = fleet_with_slow_a(now);
  CHECK(send_in_sequence(f, &r, 100, 1, 1, &now) == 0); /* slow a moment ago */
  int to_a = send_in_sequence(f, &r, 2000, 1, 1, &now);
  printf("%d of 2000 requests to a target that was slow once\n", to_a);
  CHECK(to_a > 500);
  pwfleet_free(f);
}

/* Durations that differ by what the clock and the scheduler add do not keep a target from its part. */
static void test_equal_but_for_noise(void) {
  pw_random r = {.seed = test_seed(83)};
  int64_t now = 10000;
  pw_fleet *f = fleet_of_two();
  pwfleet_measured(pwfleet_find(f, "a"), 2, now);
  pwfleet_measured(pwfleet_find(f, "b"), 1, now);
  int to_a = send_in_sequence(f, &r, 100, 1, 1, &now);
  printf("%d of 100 requests to a target that is 1 ms slower\n", to_a);
  CHECK(to_a > 100 / 6);
  pwfleet_free(f);
}

/* One answer that is late by chance, the first after a target was slow, does not decide for the next five seconds. */
static void test_one_late_sample(void) {
  pw_random r = {.seed = test_seed(84)};
  int64_t now = 10000;
  pw_fleet *f = fleet_with_slow_a(now);
  now += 60000;
  pwfleet_measured(pwfleet_find(f, "b"), 1, now);
  pwfleet_measured(pwfleet_find(f, "a"), 12, now);
  int to_a = send_in_sequence(f, &r, 100, 1, 1, &now);
  printf("%d of 100 requests after one late sample\n", to_a);
  CHECK(to_a > 100 / 6);
  pwfleet_free(f);
}

/* One request in five seconds is enough to learn that a target is still slow. */
static void test_still_slow(void) {
  pw_random r = {.seed = test_seed(81)};
  int64_t now = 10000;
  pw_fleet *f = fleet_with_slow_a(now);
  int to_a = send_in_sequence(f, &r, 3000, SLOW_MS, 1, &now);
  printf("%d of 3000 requests in 30 s to a target that stays slow\n", to_a);
  CHECK(to_a >= 1 && to_a <= 6);
  pwfleet_free(f);
}

/* While its first request is in flight, a target without a recent measurement gets no second one for that reason. */
static void test_one_at_a_time(void) {
  pw_random r = {.seed = test_seed(82)};
  int64_t now = 10000;
  pw_fleet *f = fleet_with_slow_a(now);
  pw_target *a = pwfleet_find(f, "a");
  now += 60000;
  pwfleet_measured(pwfleet_find(f, "b"), 1, now);
  a->inflight = 1;
  CHECK(send_in_sequence(f, &r, 50, 1, 1, &now) == 0);
  a->inflight = 0;
  CHECK(send_in_sequence(f, &r, 50, 1, 1, &now) > 5);
  pwfleet_free(f);
}

/* A target whose answers take less than the clock's resolution is measured, too. */
static void test_below_resolution(void) {
  pw_fleet *f = fleet_of_two();
  pw_target *a = pwfleet_find(f, "a");
  pwfleet_measured(a, SLOW_MS, 10000);
  for (int i = 0; i < 100; i++)
    pwfleet_measured(a, 0, 10000 + i);
  CHECK(a->work_ms > 0 && a->work_ms < 2);
  pwfleet_free(f);
}

int main(void) {
  TESTS_BEGIN("durations");
  TEST(test_slow_once);
  TEST(test_equal_but_for_noise);
  TEST(test_one_late_sample);
  TEST(test_still_slow);
  TEST(test_one_at_a_time);
  TEST(test_below_resolution);
  TESTS_END();
}
