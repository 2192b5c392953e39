/* test_silent_targets.c: unit tests of the choice of a target while most targets of a service are reported
** silent: they may be gone, or the receiver of their heartbeats may be at fault. */
#include "pwfleet.h"
#include "pwtest.h"

#include <string.h>

enum {
  TARGETS = 11,
  SILENT = 6,    /* gone, and reported silent: more than half */
  UNNOTICED = 2, /* gone, and not reported yet */
  ATTEMPTS = 7,  /* a request ends after as many connects have failed */
  BEAT_MS = 100,
  REQUESTS = 200,
  NOW = 10000
};

/* A fleet in which the first SILENT targets have been silent for a second. */
static pw_fleet *fleet_with_silent(void) {
  pw_fleet *f = pwfleet_new("az", BEAT_MS, 1000);
  for (int i = 0; i < TARGETS; i++) {
    pw_heartbeat b = {.slots = 64, .seq = 1};
    snprintf(b.id, sizeof b.id, "t%d", i);
    snprintf(b.service, sizeof b.service, "s");
    snprintf(b.address, sizeof b.address, "10.0.0.%d:80", i + 1);
    pwfleet_heartbeat(f, &b, 0, 1000);
    if (i < SILENT)
      pwfleet_set_silent(f, b.id, 0, 1, NOW - 1000);
  }
  return f;
}

static int number_of(const pw_target *t) {
  return atoi(t->id + 1);
}

static int is_live(const pw_target *t) {
  return number_of(t) >= SILENT + UNNOTICED;
}

static pw_fleet_criteria request(uint64_t key, pw_random *r) {
  return (pw_fleet_criteria){.service = "s",
                             .is_sticky = key != 0,
                             .key = key,
                             .wait_ms = 100,
                             .draw = pwrand_unit(r),
                             .part = 1,
                             .bound = {1.6, 2, 0, 0}};
}

/* Sends a request as a gateway does until a live target has it. Returns the number of connects that failed;
** ATTEMPTS: it reached none. */
static int send_request(pw_fleet *f, uint64_t key, pw_random *r) {
  pw_target *tried[ATTEMPTS];
  int n = 0, is_reached = 0;
  while (n < ATTEMPTS && !is_reached) {
    pw_fleet_criteria criteria = request(key, r);
    criteria.tried = tried;
    criteria.ntried = n;
    pw_target *t = pwfleet_pick(f, &criteria, NOW).target;
    CHECK(t != NULL);
    if (!t)
      break;
    is_reached = is_live(t);
    if (is_reached) {
      pwfleet_release(t);
    } else {
      pwfleet_connect_failed(t, NOW);
      tried[n++] = t;
    }
  }
  for (int i = 0; i < n; i++)
    pwfleet_release(tried[i]);
  return n;
}

static void check_requests(int is_sticky, int is_busy) {
  pw_random r = {.seed = test_seed(7)};
  int most = 0;
  for (int i = 0; i < REQUESTS; i++) {
    pw_fleet *f = fleet_with_silent();
    for (pw_target *t = pwfleet_first(f); t; t = t->hh.next)
      t->inflight = is_busy && is_live(t) ? t->slots - 4 : is_live(t);
    int failed = send_request(f, is_sticky ? pwrand(&r) | 1 : 0, &r);
    most = failed > most ? failed : most;
    for (pw_target *t = pwfleet_first(f); t; t = t->hh.next)
      t->inflight = 0;
    pwfleet_free(f);
  }
  printf("at most %d of %d attempts failed\n", most, ATTEMPTS);
  CHECK(most <= 1 + UNNOTICED);
}

/* Eight of eleven targets were gone, six of them reported silent. Gone targets are idle, so they came first:
** seven connects failed, which is all that a request may try, and the three live targets were never asked. */
static void test_live_targets_are_reached(void) {
  check_requests(0, 0);
  check_requests(1, 0);
}

/* The live targets are busy, and gone targets lower the mean load, so that the load bound would exclude the
** live ones. */
static void test_busy_live_targets_are_reached(void) {
  check_requests(0, 1);
  check_requests(1, 1);
}

/* If the receiver of the heartbeats is at fault, silent targets get first attempts as before: otherwise a third
** of the targets would get the load of all. */
static void test_receiver_at_fault(void) {
  pw_random r = {.seed = test_seed(8)};
  pw_fleet *f = fleet_with_silent();
  int picked[TARGETS] = {0}, silent = 0;
  for (int i = 0; i < REQUESTS; i++) {
    pw_fleet_criteria criteria = request(i % 2 ? pwrand(&r) | 1 : 0, &r);
    pw_target *t = pwfleet_pick(f, &criteria, NOW).target;
    CHECK(t != NULL);
    if (!t)
      break;
    picked[number_of(t)]++;
    pwfleet_release(t);
  }
  for (int i = 0; i < SILENT; i++)
    silent += picked[i] > 0;
  CHECK(silent == SILENT);
  pwfleet_free(f);
}

/* A request that failed elsewhere goes to a silent target that has answered lately, and to any silent target
** when it has tried all others. */
static void test_retry_at_silent_target(void) {
  pw_random r = {.seed = test_seed(9)};
  pw_fleet *f = fleet_with_silent();
  pw_target *tried[TARGETS];
  int n = 0, has_answered = 0;
  for (int i = SILENT; i < TARGETS; i++) {
    char id[8];
    snprintf(id, sizeof id, "t%d", i);
    tried[n++] = pwfleet_find(f, id);
  }
  pwfleet_answered(pwfleet_find(f, "t2"), NOW - BEAT_MS);
  for (int i = 0; i < SILENT; i++) {
    pw_fleet_criteria criteria = request(0, &r);
    criteria.tried = tried;
    criteria.ntried = n;
    pw_target *t = pwfleet_pick(f, &criteria, NOW).target;
    CHECK(t != NULL && t->is_silent);
    if (!t)
      break;
    has_answered += i == 0 && number_of(t) == 2;
    tried[n++] = t;
    pwfleet_release(t);
  }
  CHECK(has_answered && n == TARGETS);
  pwfleet_free(f);
}

int main(void) {
  TESTS_BEGIN("silent targets");
  TEST(test_live_targets_are_reached);
  TEST(test_busy_live_targets_are_reached);
  TEST(test_receiver_at_fault);
  TEST(test_retry_at_silent_target);
  TESTS_END();
}
