/* test_news.c: what is told of targets, by children that wait to be heard.
**
** What happened: in 17_rollout "v2 everywhere" never came, on busy machines. A target's state is told once,
** when it changes. Two Hellos of one entry waited while control stood still for 0.4 s; read one after the
** other, the second state seemed older by the few milliseconds that it had lain at the entry, and was
** dropped. The agents' last event was the order "load register v1 seq=24" for two of four targets, all of one
** entry, the leader's last revision 24: it waited for what had been told already. */
#include "pwlimits.h"
#include "pwnews.h"
#include "pwtest.h"

#include <string.h>

#define NOW 100000

typedef struct told {
  const char *from;
  uint64_t attempt;
  uint32_t age;
} told;

static void tell(pw_news *n, told t, int64_t now) {
  Pw__ModelState m = PW__MODEL_STATE__INIT;
  m.model = "register";
  m.version = "v1";
  m.loaded = 1;
  m.attempt = t.attempt;
  Pw__ModelState *models[] = {&m};
  Pw__TargetState s = PW__TARGET_STATE__INIT;
  s.target = "engine-1";
  s.models = models;
  s.n_models = 1;
  s.age = t.age;
  Pw__TargetState *states[] = {&s};
  Pw__Hello h = PW__HELLO__INIT;
  h.states = states;
  h.n_states = 1;
  Pw__Envelope e = PW__ENVELOPE__INIT;
  e.from = (char *)t.from;
  e.body_case = PW__ENVELOPE__BODY_HELLO;
  e.hello = &h;
  pwnews_hello(n, &e, now);
}

static uint64_t known(const pw_news *n) {
  const Pw__TargetState *s = pwnews_target(n, "engine-1");
  return s && s->n_models ? s->models[0]->attempt : 0;
}

/* Read in one go after a standstill, whatever each had waited before it was sent. */
static void test_same_child(void) {
  pw_random r = {.seed = test_seed(17)};
  pw_news *n = pwnews_new();
  for (uint64_t attempt = 1; attempt <= 1000; attempt++) {
    int64_t now = NOW + (int64_t)(attempt / 4);
    tell(n, (told){"entry-1", attempt, (uint32_t)pwrand_below(&r, 400)}, now);
    CHECK(known(n) == attempt);
  }
  pwnews_free(n);
}

/* A target that has gone to another entry: what the one before tells again, as to a new leader, is older. */
static void test_other_child(void) {
  pw_news *n = pwnews_new();
  tell(n, (told){"entry-1", 1, 0}, NOW);
  tell(n, (told){"entry-2", 2, 10}, NOW + 5000);
  CHECK(known(n) == 2);
  tell(n, (told){"entry-1", 1, 6000}, NOW + 6000);
  CHECK(known(n) == 2);
  tell(n, (told){"entry-2", 3, 7000}, NOW + 7000);
  CHECK(known(n) == 3);
  pwnews_free(n);
}

/* One that left this parent and was heard through another since is not gone. */
static void test_gone(void) {
  pw_news *n = pwnews_new();
  pw_child left = {.target = "engine-1", .heard = NOW};
  tell(n, (told){"agent-1", 1, 0}, NOW);
  tell(n, (told){"entry-2", 1, 0}, NOW + 5000);
  pwnews_child_left(n, &left, NOW + 15000);
  CHECK(!pwnews_target(n, "engine-1")->gone);
  left.heard = NOW + 6000;
  pwnews_child_left(n, &left, NOW + 21000);
  CHECK(pwnews_target(n, "engine-1")->gone);
  pwnews_free(n);
}

int main(void) {
  TESTS_BEGIN("news");
  TEST(test_same_child);
  TEST(test_other_child);
  TEST(test_gone);
  TESTS_END();
}
