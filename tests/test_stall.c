/* test_stall.c: decisions of agents and entries when agents find many
** requests at once after a stall, while the other targets of their pool fail
** and are ejected. */
#include "pwadmit.h"
#include "pwbudget.h"
#include "pwroute.h"
#include "pwtest.h"

#define TARGETS 4 /* the first two fail; the agents of the others stalled */
#define SLOTS 50
#define QUEUE 1000
#define COST 20.0 /* tokens of a request */
#define SHORT_MS 4
#define LONG_MS 5000
#define SERVED 400 /* requests that each agent has served before */

typedef struct fixture {
  uint64_t id[TARGETS];
  pw_route_target t[TARGETS];
  pw_place *place;
  pw_route_pool pool;
} fixture;

static int get(void *arg, uint64_t id, pw_route_target *out) {
  const fixture *b = arg;
  for (int i = 0; i < TARGETS; i++)
    if (b->id[i] == id) {
      *out = b->t[i];
      return 1;
    }
  return 0;
}

static void set_up(fixture *b) {
  pw_place_target pt[TARGETS];
  for (int i = 0; i < TARGETS; i++) {
    b->id[i] = (uint64_t)i + 1;
    b->t[i] = (pw_route_target){
        .id = b->id[i], .usable = 1, .ejected = i < 2, .limit = 1e9};
    pt[i] = (pw_place_target){b->id[i], 1};
  }
  b->place = pwplace_build(pt, TARGETS, NULL);
  b->pool = (pw_route_pool){b->place, b->id, TARGETS, b, get};
}

/* Failing targets are not used when the others are full: a request refused for
** load is queued at a working target. */
static void test_full_pool_avoids_ejected(void) {
  fixture b;
  set_up(&b);
  for (uint64_t key = 1; key < 200; key++) {
    pw_route_walk w = {.key = key, .draw = key * 77, .cost = COST};
    pw_route_pick pick = pwroute_next(&b.pool, &w);
    for (int k = 0; k < 2; k++) {
      CHECK(!b.t[pick.id - 1].ejected && !pick.may_queue);
      pwroute_refused(&w, pick.id, PW_REFUSED_BUSY, 2, 0);
      pick = pwroute_next(&b.pool, &w);
    }
    CHECK(pick.id && !b.t[pick.id - 1].ejected && pick.may_queue);
  }
  pwplace_free(b.place);
}

/* Once no budget is left for refusals, the next target may queue the
** request. */
static void test_no_budget_for_refusals(void) {
  fixture b;
  set_up(&b);
  pw_route_walk w = {.key = 5, .draw = 9, .cost = COST};
  pw_route_pick pick = pwroute_next(&b.pool, &w);
  pwroute_refused(&w, pick.id, PW_REFUSED_BUSY, 2, 0);
  pwroute_assume_full(&w);
  CHECK(pwroute_next(&b.pool, &w).may_queue);
  CHECK(pwroute_next(&b.pool, &w).id == 0);
  pwplace_free(b.place);
}

/* An agent whose target served SERVED requests one at a time, each in took_ms.
** Returns the time at the end. */
static int64_t serve(pw_admit *a, const pw_admit_request *request,
                     const pw_pool_sum *pool, int64_t took_ms) {
  int64_t now = 0;
  pwadmit_init(a, SLOTS, QUEUE, 1000, now);
  a->bound.floor = 1e9;
  for (int i = 0; i < SERVED; i++) {
    CHECK(pwadmit_decide(a, request, pool, now).verdict == PW_ADMIT_START);
    now += took_ms;
    pwadmit_end(a, COST, now);
  }
  return now;
}

/* How many of n simultaneous requests the agent refuses. */
static int count_refused(pw_admit *a, const pw_admit_request *request,
                         const pw_pool_sum *pool, int n, int64_t now) {
  int refused = 0;
  for (int i = 0; i < n; i++)
    refused +=
        pwadmit_decide(a, request, pool, now).verdict == PW_ADMIT_REFUSED;
  return refused;
}

static int refused_of(int n, int64_t took_ms, int64_t age_ms) {
  pw_admit a;
  pw_pool_sum pool = {.targets = 1};
  int job;
  pw_admit_request request = {.workspace = "w",
                              .weight = 1,
                              .cost = COST,
                              .deadline = INT64_MAX,
                              .job = &job};
  int64_t now = serve(&a, &request, &pool, took_ms);
  request.age_ms = age_ms;
  int refused = count_refused(&a, &request, &pool, n, now);
  pwadmit_free(&a);
  return refused;
}

/* Of 100 short requests at once 50 wait for 4 ms, which is less than a hop
** costs; of 100 long ones 50 are refused, to be tried elsewhere. */
static void test_short_waits(void) {
  CHECK(refused_of(2 * SLOTS, SHORT_MS, 0) == 0);
  CHECK(refused_of(2 * SLOTS, LONG_MS, 0) == SLOTS);
  /* Waits twice as long or more are refused as well. */
  CHECK(refused_of(SLOTS + SLOTS * 20 / SHORT_MS, SHORT_MS, 0) > 0);
}

/* After a stall of a second many more requests are queued, each for less than a
** tenth of that second. */
static void test_old_requests(void) {
  CHECK(refused_of(6 * SLOTS, SHORT_MS, 0) > 0);
  CHECK(refused_of(6 * SLOTS, SHORT_MS, 1000) == 0);
  CHECK(refused_of(2 * SLOTS, LONG_MS, 1000) >= SLOTS - 1);
}

int main(void) {
  TESTS_BEGIN("standstill");
  TEST(test_full_pool_avoids_ejected);
  TEST(test_no_budget_for_refusals);
  TEST(test_short_waits);
  TEST(test_old_requests);
  TESTS_END();
}
