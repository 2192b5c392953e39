/* test_treereport.c: reports of targets' states by children whose Hellos
** wait to be read.
**
** Guards against rollouts that never end on busy machines (scenario
** 17_rollout). A target's state is sent once, when it changes. When two
** Hellos of one entry waited while a control instance stalled for 0.4 s, the
** second state looked older by the few milliseconds that it had waited at
** the entry, and was dropped. The leader then waited for a state that had
** been sent already. */
#include "pwlimits.h"
#include "pwtest.h"
#include "pwtreereport.h"

#include <string.h>

#define NOW 100000

/* A state to report: its child, its content and its age in ms. */
typedef struct report {
  const char *from;
  uint64_t attempt;
  uint32_t age;
} report;

static void receive(pw_treereport *t, report r, int64_t now) {
  Pw__ModelState m = PW__MODEL_STATE__INIT;
  m.model = "register";
  m.version = "v1";
  m.loaded = 1;
  m.attempt = r.attempt;
  Pw__ModelState *models[] = {&m};
  Pw__TargetState s = PW__TARGET_STATE__INIT;
  s.target = "engine-1";
  s.models = models;
  s.n_models = 1;
  s.age = r.age;
  Pw__TargetState *states[] = {&s};
  Pw__Hello h = PW__HELLO__INIT;
  h.states = states;
  h.n_states = 1;
  Pw__Envelope e = PW__ENVELOPE__INIT;
  e.from = (char *)r.from;
  e.body_case = PW__ENVELOPE__BODY_HELLO;
  e.hello = &h;
  pwtreereport_hello(t, &e, now);
}

static uint64_t known_attempt(const pw_treereport *t) {
  const Pw__TargetState *s = pwtreereport_target(t, "engine-1");
  return s && s->n_models ? s->models[0]->attempt : 0;
}

/* Hellos of one child that are read together after a stall: the last one
** counts, whatever the ages of the states. */
static void test_same_child(void) {
  pw_random r = {.seed = test_seed(17)};
  pw_treereport *t = pwtreereport_new();
  for (uint64_t attempt = 1; attempt <= 1000; attempt++) {
    int64_t now = NOW + (int64_t)(attempt / 4);
    receive(t, (report){"entry-1", attempt, (uint32_t)pwrand_below(&r, 400)},
            now);
    CHECK(known_attempt(t) == attempt);
  }
  pwtreereport_free(t);
}

/* A target that changed to another entry: a state that the earlier entry sends
** again, as it does to a new leader, is older and ignored. */
static void test_other_child(void) {
  pw_treereport *t = pwtreereport_new();
  receive(t, (report){"entry-1", 1, 0}, NOW);
  receive(t, (report){"entry-2", 2, 10}, NOW + 5000);
  CHECK(known_attempt(t) == 2);
  receive(t, (report){"entry-1", 1, 6000}, NOW + 6000);
  CHECK(known_attempt(t) == 2);
  receive(t, (report){"entry-2", 3, 7000}, NOW + 7000);
  CHECK(known_attempt(t) == 3);
  pwtreereport_free(t);
}

/* A target whose agent left this parent is not gone when another child has
** reported it since. */
static void test_gone(void) {
  pw_treereport *t = pwtreereport_new();
  pw_child left = {.target = "engine-1", .last_hello_at = NOW};
  receive(t, (report){"agent-1", 1, 0}, NOW);
  receive(t, (report){"entry-2", 1, 0}, NOW + 5000);
  pwtreereport_child_left(t, &left, NOW + 15000);
  CHECK(!pwtreereport_target(t, "engine-1")->gone);
  left.last_hello_at = NOW + 6000;
  pwtreereport_child_left(t, &left, NOW + 21000);
  CHECK(pwtreereport_target(t, "engine-1")->gone);
  pwtreereport_free(t);
}

int main(void) {
  TESTS_BEGIN("news");
  TEST(test_same_child);
  TEST(test_other_child);
  TEST(test_gone);
  TESTS_END();
}
