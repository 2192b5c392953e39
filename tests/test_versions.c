/* test_versions.c: which targets are picked while a service is rolled out to another version: a
** small share of requests goes to few new targets, none to new targets after the rollout was
** reverted, and none to old targets after it completed. */
#include "pwfleet.h"
#include "pwtest.h"

#include <string.h>

#define EACH 20
#define BEAT_MS 1000

static void join(pw_fleet *f, const char *version, int i, int64_t now) {
  pw_heartbeat b = {.born = 1, .slots = 4, .seq = 1};
  snprintf(b.id, sizeof b.id, "%s-%d", version, i);
  snprintf(b.service, sizeof b.service, "s");
  snprintf(b.address, sizeof b.address, "10.0.%d.%d:1", version[1] - '0', i);
  snprintf(b.version, sizeof b.version, "%s", version);
  snprintf(b.availability_zone, sizeof b.availability_zone, "az-1");
  pwfleet_heartbeat(f, &b, 0, now);
}

static pw_fleet *fleet_of_both(void) {
  pw_fleet *f = pwfleet_new("az-1", BEAT_MS, BEAT_MS);
  for (int i = 0; i < EACH; i++) {
    join(f, "v1", i, 0);
    join(f, "v2", i, 0);
  }
  return f;
}

static void set_rollout(pw_fleet *f, pw_canary_state state, int share) {
  pw_fleet_rollout r = {.service = "s", .version = "v2"};
  r.canary = (pw_canary){state, share};
  pwfleet_rollouts(f, &r, 1);
}

/* The number of targets of a version that are picked when many requests wait. */
static int picked(pw_fleet *f, pw_fleet_side side, const char *version) {
  pw_target *got[4 * EACH * 4];
  int n = 0, distinct = 0;
  for (; n < 4 * EACH * 4; n++) {
    pw_fleet_criteria ask = {.service = "s",
                             .side = side,
                             .wait_ms = 1,
                             .draw = (n % 10) / 10.0,
                             .bound = {1e9, 1e9, 0, 0}};
    pw_fleet_picked p = pwfleet_pick(f, &ask, 10);
    if (!p.target)
      break;
    got[n] = p.target;
    p.target->inflight++;
  }
  for (pw_target *t = pwfleet_first(f); t; t = t->hh.next)
    distinct += t->inflight > 0 && !strcmp(t->version, version);
  for (int i = 0; i < n; i++) {
    got[i]->inflight--;
    pwfleet_release(got[i]);
  }
  return distinct;
}

static void test_sides(void) {
  pw_fleet *f = fleet_of_both();
  CHECK(pwfleet_side(f, "s", 0) == PWFLEET_ANY_VERSION);
  CHECK(picked(f, PWFLEET_ANY_VERSION, "v2") == EACH);
  set_rollout(f, PWCANARY_RUNNING, 0);
  CHECK(pwfleet_side(f, "s", 0) == PWFLEET_OLD_VERSION);
  CHECK(picked(f, PWFLEET_OLD_VERSION, "v2") == 0);
  CHECK(picked(f, PWFLEET_OLD_VERSION, "v1") == EACH);
  set_rollout(f, PWCANARY_RUNNING, 90);
  CHECK(pwfleet_side(f, "s", 0.08) == PWFLEET_NEW_VERSION);
  CHECK(pwfleet_side(f, "s", 0.1) == PWFLEET_OLD_VERSION);
  CHECK(pwfleet_side(f, "other", 0.08) == PWFLEET_ANY_VERSION);
  int some = picked(f, PWFLEET_NEW_VERSION, "v2");
  CHECK(some >= 1 && some < EACH / 2);
  CHECK(picked(f, PWFLEET_NEW_VERSION, "v1") == 0);
  CHECK(pwfleet_sum(f, "s", PWFLEET_NEW_VERSION, 10).slots == 4 * some);
  CHECK(pwfleet_sum(f, "s", PWFLEET_OLD_VERSION, 10).slots == 4 * EACH);
  join(f, "v2", EACH, 10); /* joins during the rollout */
  CHECK(picked(f, PWFLEET_OLD_VERSION, "v2") == 0);
  set_rollout(f, PWCANARY_RUNNING, PWCANARY_ALL);
  CHECK(pwfleet_side(f, "s", 0.99) == PWFLEET_NEW_VERSION);
  CHECK(picked(f, PWFLEET_NEW_VERSION, "v2") == EACH + 1);
  pwfleet_free(f);
}

/* Among 3,000 targets only the last one that joined is usable. It must be found: when a pick
** considered only the first 1,024 targets, requests were refused without a log line. */
static void test_last_of_many(void) {
  pw_fleet *f = pwfleet_new("az-1", BEAT_MS, BEAT_MS);
  for (int i = 0; i < 3000; i++) {
    pw_heartbeat b = {.born = 1, .slots = 4, .seq = 1, .leaving = i < 2999};
    snprintf(b.id, sizeof b.id, "i-%d", i);
    snprintf(b.service, sizeof b.service, "s");
    snprintf(b.address, sizeof b.address, "10.1.%d.%d:1", i / 250, i % 250);
    pwfleet_heartbeat(f, &b, 0, 0);
  }
  pw_fleet_criteria ask = {
      .service = "s", .wait_ms = 1, .bound = {1e9, 1e9, 0, 0}};
  pw_fleet_picked p = pwfleet_pick(f, &ask, 10);
  CHECK(p.target && !strcmp(p.target->id, "i-2999"));
  pwfleet_release(p.target);
  pwfleet_free(f);
}

static void test_few_targets(void) {
  pw_fleet *f = pwfleet_new("az-1", BEAT_MS, BEAT_MS);
  join(f, "v1", 0, 0);
  set_rollout(f, PWCANARY_RUNNING, 90);
  CHECK(picked(f, PWFLEET_NEW_VERSION, "v2") == 0);
  join(f, "v2", 0, 0);
  CHECK(picked(f, PWFLEET_NEW_VERSION, "v2") ==
        1); /* the canary is never empty */
  pwfleet_free(f);
}

static void test_reverted(void) {
  pw_fleet *f = fleet_of_both();
  set_rollout(f, PWCANARY_RUNNING, PWCANARY_ALL);
  set_rollout(f, PWCANARY_REVERTED, 0);
  CHECK(pwfleet_side(f, "s", 0) == PWFLEET_OLD_VERSION);
  CHECK(picked(f, PWFLEET_OLD_VERSION, "v2") == 0);
  CHECK(picked(f, PWFLEET_NEW_VERSION, "v2") == 0);
  pwfleet_free(f);
}

static void test_complete(void) {
  pw_fleet *f = fleet_of_both();
  set_rollout(f, PWCANARY_RUNNING, PWCANARY_ALL);
  set_rollout(f, PWCANARY_COMPLETE, PWCANARY_ALL);
  CHECK(pwfleet_side(f, "s", 0.5) == PWFLEET_ANY_VERSION);
  CHECK(picked(f, PWFLEET_ANY_VERSION, "v1") == 0);
  CHECK(picked(f, PWFLEET_ANY_VERSION, "v2") == EACH);
  CHECK(!pwfleet_may_send(pwfleet_find(f, "v1-0"), 10));
  join(f, "v3", 0, 10); /* a version that joins later is not outdated */
  CHECK(picked(f, PWFLEET_ANY_VERSION, "v3") == 1);
  pwfleet_free(f);
}

/* A request that may go only to recorded versions is sent to no target of another one, even if no other is left. */
static void test_recorded_versions(void) {
  pw_fleet *f = fleet_of_both();
  pw_fleet_versions recorded = {{pwfleet_version_hash("s", "v1")}, 1};
  pw_fleet_criteria ask = {.service = "s",
                           .versions = &recorded,
                           .wait_ms = 1,
                           .bound = {1e9, 1e9, 0, 0}};
  for (int i = 0; i < EACH; i++) {
    ask.draw = i / (double)EACH;
    pw_fleet_picked p = pwfleet_pick(f, &ask, 10);
    CHECK(p.target && !strcmp(p.target->version, "v1"));
    if (p.target)
      pwfleet_release(p.target);
  }
  recorded.n = 0;
  CHECK(!pwfleet_pick(f, &ask, 10).target);
  pwfleet_free(f);
}

int main(void) {
  TESTS_BEGIN("versions");
  TEST(test_sides);
  TEST(test_last_of_many);
  TEST(test_few_targets);
  TEST(test_reverted);
  TEST(test_complete);
  TEST(test_recorded_versions);
  TESTS_END();
}
