/* test_holdoff.c: unit tests of targets that ask for a hold-off or announce that they leave. They
** must get no requests, which they would only reject. 54_hold_off and 55_says_leaving test the
** same with processes. */
#include "pwbuf.h"
#include "pwfleet.h"
#include "pwholdoff.h"
#include "pwlimits.h"
#include "pwtest.h"

#include <stdio.h>
#include <string.h>

enum { BEAT_MS = 100, KEEP_MS = 1000 };

/* A shorter hold-off does not end a longer one, and none lasts longer than a day. */
static void test_durations(void) {
  pw_holdoff h = {0};
  CHECK(pwholdoff_left(&h, 5000) == 0);
  CHECK(pwholdoff_asked(&h, 3000, 1000));
  CHECK(pwholdoff_left(&h, 1000) == 3000 && pwholdoff_left(&h, 3999) == 1);
  CHECK(pwholdoff_left(&h, 4000) == 0);
  CHECK(!pwholdoff_asked(&h, 500, 2000));
  CHECK(pwholdoff_left(&h, 2000) == 2000);
  CHECK(pwholdoff_asked(&h, 2500, 2000)); /* extends it */
  CHECK(pwholdoff_left(&h, 2000) == 2500);
  CHECK(pwholdoff_asked(&h, 1, 9000) && pwholdoff_left(&h, 9000) == 1);
  CHECK(pwholdoff_asked(&h, INT64_MAX, 9000));
  CHECK(pwholdoff_left(&h, 9000) == PW_HOLD_OFF_MAX_MS);
}

/* --- targets --- */

static pw_heartbeat beat(const char *id, int port, uint64_t seq) {
  pw_heartbeat b = {.slots = 4, .seq = seq, .born = 1000};
  pw_copy(b.id, sizeof b.id, id);
  pw_copy(b.service, sizeof b.service, "s");
  snprintf(b.address, sizeof b.address, "10.0.0.1:%d", port);
  pw_copy(b.availability_zone, sizeof b.availability_zone, "az-1");
  return b;
}

/* Three targets: a, b, c. */
static pw_fleet *fleet_of_three(void) {
  static const char *const ids[] = {"a", "b", "c"};
  pw_fleet *f = pwfleet_new("az-1", BEAT_MS, KEEP_MS);
  for (int i = 0; i < 3; i++) {
    pw_heartbeat b = beat(ids[i], 80 + i, 1);
    CHECK(pwfleet_heartbeat(f, &b, 0, 1000) == PWFLEET_JOINED);
  }
  return f;
}

/* Picks a target for a request with this prompt key; 0: no prompt. */
static pw_target *pick(pw_fleet *f, uint64_t key, int64_t now) {
  pw_fleet_criteria ask = {.service = "s",
                           .how = PWPICK_BY_HOME,
                           .is_sticky = key != 0,
                           .key = key,
                           .wait_ms = 100,
                           .draw = 0.3,
                           .bound = {2, 3, 0, 0},
                           .part = 1};
  pw_fleet_picked got = pwfleet_pick(f, &ask, now);
  pwfleet_release(got.target);
  return got.target;
}

/* During its hold-off a target is not picked, neither as home nor by load, and its slots do not
** count. Afterwards it gets the prompts that have it as home again. */
static void test_one_holds_off(void) {
  pw_fleet *f = fleet_of_three();
  pw_target *home = pick(f, 7, 1000);
  CHECK(pwfleet_sum(f, "s", PWFLEET_ANY_VERSION, 1000).slots == 12);
  CHECK(pwfleet_note_hold_off(home, 3000, 1000));
  CHECK(!pwfleet_note_hold_off(home, 200, 1100));
  CHECK(!pwfleet_may_send(home, 1100) && pwfleet_usable(f, "s", 1100) == 2);
  CHECK(pwfleet_sum(f, "s", PWFLEET_ANY_VERSION, 1100).slots == 8);
  pw_target *other = pick(f, 7, 1100);
  CHECK(other && other != home && pick(f, 7, 1200) == other);
  for (uint64_t key = 0; key < 200; key++)
    CHECK(pick(f, key, 1300) != home);
  CHECK(pwfleet_held_off(f, "s", 1300) == 0); /* others are usable */
  pwfleet_answered(home, 1400);               /* a request sent before */
  CHECK(!pwfleet_may_send(home, 1400));
  pw_heartbeat b = beat(home->id, 80, home->seq + 1);
  b.born = 0; /* a heartbeat of an earlier incarnation */
  pwfleet_heartbeat(f, &b, 0, 1500);
  b = beat(home->id, ntohs(home->addr.sin_port), home->seq + 1);
  CHECK(pwfleet_heartbeat(f, &b, 0, 1500) == PWFLEET_RENEWED);
  CHECK(!pwfleet_may_send(home, 3999) && pwfleet_may_send(home, 4000));
  CHECK(pick(f, 7, 4000) == home);
  pwfleet_free(f);
}

/* While all targets are in a hold-off, none is picked, not even as a last resort, and the earliest
** end of a hold-off is known. Targets that leave do not count for it. */
static void test_all_hold_off(void) {
  pw_fleet *f = fleet_of_three();
  pwfleet_note_hold_off(pwfleet_find(f, "a"), 60000, 1000);
  pwfleet_note_hold_off(pwfleet_find(f, "b"), 1000, 1000);
  pwfleet_note_leaving(pwfleet_find(f, "c"));
  CHECK(pwfleet_usable(f, "s", 1100) == 0 && !pick(f, 0, 1100));
  CHECK(pwfleet_held_off(f, "s", 1100) == 900);
  CHECK(pwfleet_sum(f, "s", PWFLEET_ANY_VERSION, 1100).slots == 0);
  CHECK(pick(f, 0, 2000) == pwfleet_find(f, "b"));
  CHECK(pwfleet_held_off(f, "s", 2000) == 0);
  pwfleet_note_leaving(pwfleet_find(f, "a"));
  pwfleet_note_leaving(pwfleet_find(f, "b"));
  CHECK(pwfleet_held_off(f, "s", 1100) == 0 && !pick(f, 0, 2000));
  pwfleet_free(f);
}

/* A new incarnation of a target starts without a hold-off and is not leaving. Late answers of the
** earlier incarnation affect only that one. */
static void test_next_incarnation(void) {
  pw_fleet *f = fleet_of_three();
  pw_target *before = pwfleet_find(f, "a");
  pwfleet_retain(before);
  pwfleet_note_hold_off(before, 60000, 1000);
  pwfleet_note_leaving(before);
  pw_heartbeat b = beat("a", 80, 1);
  b.born = 2000;
  CHECK(pwfleet_heartbeat(f, &b, 0, 2000) == PWFLEET_RESTARTED);
  pw_target *t = pwfleet_find(f, "a");
  CHECK(t != before && pwfleet_may_send(t, 2000));
  pwfleet_note_hold_off(before, 90000, 2000); /* from a late answer */
  pwfleet_note_leaving(before);
  CHECK(pwfleet_may_send(t, 2000) && !pwfleet_may_send(before, 2000));
  pwfleet_release(before);
  pwfleet_free(f);
}

/* An announced leave is final for an incarnation: neither heartbeats without the leaving mark nor a
** silence revoke it, and a second announcement is no change. */
static void test_leaving(void) {
  pw_fleet *f = fleet_of_three();
  pw_target *t = pwfleet_find(f, "a");
  CHECK(pwfleet_note_leaving(t) && !pwfleet_note_leaving(t));
  CHECK(!pwfleet_may_send(t, 1000) && pwfleet_usable(f, "s", 1000) == 2);
  for (uint64_t seq = 2; seq < 20; seq++) {
    pw_heartbeat b = beat("a", 80, seq);
    b.leaving = seq % 3 == 0;
    pwfleet_heartbeat(f, &b, 0, 1000 + (int64_t)seq * BEAT_MS);
    CHECK(!pwfleet_may_send(t, 1000 + (int64_t)seq * BEAT_MS));
  }
  CHECK(pwfleet_set_silent(f, "a", 1000, 1, 3000) == PWFLEET_SILENT);
  CHECK(pwfleet_set_silent(f, "a", 1000, 0, 3100) == PWFLEET_BACK);
  CHECK(!pwfleet_may_send(t, 3100));
  pwfleet_free(f);
}

int main(void) {
  TESTS_BEGIN("holdoff");
  TEST(test_durations);
  TEST(test_one_holds_off);
  TEST(test_all_hold_off);
  TEST(test_next_incarnation);
  TEST(test_leaving);
  TESTS_END();
}
