/* test_waiting.c: who waits at a gateway for a place at a target, who is refused. */
#include "pwtest.h"

#include "pwbuf.h"
#include "pwsurge.h"
#include "pwusual.h"
#include "pwwaiting.h"

#define GOAL_MS 400
#define TIME_MS 8000

static pw_waiting_ask ask_of(const char *workspace, int urgency, void *job) {
  return (pw_waiting_ask){.workspace = workspace,
                          .urgency = urgency,
                          .goal_ms = GOAL_MS,
                          .time_left_ms = TIME_MS,
                          .job = job};
}

/* So many places a second are got, for a second that ends at *now. */
static void get_places(pw_waiting *w, int rate, int64_t *now) {
  for (int i = 0; i < rate * 4; i++)
    pwwaiting_placed(w, *now + (int64_t)i * 1000 / rate);
  *now += 4000;
}

static void *take_next(pw_waiting *w) {
  int in_turn;
  pwwaiting_rewind(w);
  void *job = pwwaiting_next(w, &in_turn);
  if (job)
    pwwaiting_took(w, job);
  return job;
}

/* Who would wait longer than pays is refused at once, and told to come back when
** what waits has gone, in the time that it has. */
static void test_refused_at_once(void) {
  pw_waiting w;
  int64_t now = 0;
  static int jobs[100];
  int waiting = 0;
  pw_waiting_answer a = {0};
  pwwaiting_init(&w, now);
  get_places(&w, 100, &now);
  for (int i = 0; i < 100; i++) {
    pw_waiting_ask ask = ask_of("a", 0, &jobs[i]);
    a = pwwaiting_ask(&w, &ask, now);
    CHECK(a.patience_ms <= GOAL_MS / 4);
    CHECK(!a.may_wait || a.wait_ms <= (double)a.patience_ms);
    waiting += a.may_wait;
  }
  CHECK(waiting >= 3 && waiting <= 8); /* 100 a second, for 50 ms */
  CHECK(!a.may_wait);
  CHECK(pwqueue_count(w.queue) == waiting);
  for (int i = 0; i < 10; i++) {
    double draw = i / 10.0;
    int64_t retry = pwwaiting_retry(&a, TIME_MS, draw);
    CHECK((double)retry >= a.wait_ms && retry <= TIME_MS / 3);
  }
  pwwaiting_free(&w);
}

/* A place that comes free goes to the most urgent; one that comes later goes before
** the less urgent that wait. */
static void test_urgent_first(void) {
  pw_waiting w;
  int64_t now = 0;
  int low, middle, high, in_turn;
  pw_waiting_ask ask = ask_of("a", 2, &low);
  pwwaiting_init(&w, now);
  get_places(&w, 200, &now);
  CHECK(!pwwaiting_precedes(&w, 2, 0));
  CHECK(pwwaiting_ask(&w, &ask, now).may_wait);
  CHECK(pwwaiting_precedes(&w, 2, 0) && !pwwaiting_precedes(&w, 1, 0));
  ask = ask_of("b", 1, &middle);
  CHECK(pwwaiting_ask(&w, &ask, now).may_wait);
  ask = ask_of("c", 0, &high);
  CHECK(pwwaiting_ask(&w, &ask, now).may_wait);
  pwwaiting_rewind(&w);
  CHECK(pwwaiting_next(&w, &in_turn) == &high && !in_turn);
  CHECK(pwwaiting_next(&w, &in_turn) == &middle && !in_turn);
  CHECK(pwwaiting_next(&w, &in_turn) == &low && !in_turn);
  CHECK(pwwaiting_next(&w, &in_turn) == NULL);
  pwwaiting_left(&w, &middle);
  CHECK(take_next(&w) == &high);
  CHECK(take_next(&w) == &low);
  CHECK(take_next(&w) == NULL);
  pwwaiting_free(&w);
}

/* While the most urgent ask for more than there is, each class still gets a place now
** and then: none is starved, and none is served better than one more urgent. */
static void test_none_starves(void) {
  enum { CLASSES = 3, STEPS = 20000 };
  pw_random r = {test_seed(7), 0};
  pw_waiting w;
  static int jobs[STEPS];
  static int urgency_of[STEPS];
  int asked[CLASSES] = {0}, got[CLASSES] = {0};
  int64_t now = 0;
  pwwaiting_init(&w, now);
  get_places(&w, 500, &now);
  for (int i = 0; i < STEPS; i++) { /* 1000 a second ask, 500 get a place */
    int urgency = pwrand_below(&r, 10) < 8 ? 0 : 1 + (int)pwrand_below(&r, 2);
    pw_waiting_ask ask = ask_of("a", urgency, &jobs[i]);
    urgency_of[i] = urgency;
    asked[urgency]++;
    pw_waiting_answer a = pwwaiting_ask(&w, &ask, now);
    now += i % 2;
    if (a.pushed_out)
      pwwaiting_left(&w, a.pushed_out);
    if (i % 2 == 0)
      continue;
    int *job = take_next(&w);
    if (job)
      got[urgency_of[job - jobs]]++;
    pwwaiting_placed(&w, now);
  }
  for (int c = 0; c < CLASSES; c++)
    printf("class %d: %d asked, %d got a place\n", c, asked[c], got[c]);
  CHECK(got[1] * 20 > asked[1] && got[2] * 20 > asked[2]);
  CHECK((double)got[0] / asked[0] > (double)got[1] / asked[1]);
  pwwaiting_free(&w);
}

/* What is kept for an urgency follows how many of it find no place at once: none while
** all do, more while too many do not, never more than a tenth, and only less urgent ones
** leave it. */
static void test_reserve(void) {
  pw_waiting w;
  pwwaiting_init(&w, 0);
  for (int i = 0; i < 1000; i++)
    pwwaiting_found(&w, 0, 1);
  CHECK(pwwaiting_reserve(&w, 2, 0) == 0);
  for (int i = 0; i < 1000; i++)
    pwwaiting_found(&w, 0, i % 20 != 0); /* one in twenty does not */
  double kept = pwwaiting_reserve(&w, 1, 0);
  CHECK(kept > 0 && kept <= 0.1);
  CHECK(pwwaiting_reserve(&w, 0, 0) == 0 &&
        pwwaiting_reserve(&w, 2, 0) == kept);
  for (int i = 0; i < 1000; i++)
    pwwaiting_found(&w, 1, 0);
  CHECK(pwwaiting_reserve(&w, 1, 0) == kept);
  CHECK(pwwaiting_reserve(&w, 2, 0) > kept &&
        pwwaiting_reserve(&w, 2, 0) <= 0.2);
  for (int i = 0; i < 10000; i++)
    pwwaiting_found(&w, 0, 1);
  CHECK(pwwaiting_reserve(&w, 1, 0) == 0);
  pwwaiting_free(&w);
}

/* A workspace that asks for a hundred times as much as another takes nothing from
** it. */
static void test_surge(void) {
  enum { STEPS = 10000 };
  pw_waiting w;
  static int jobs[STEPS];
  int64_t now = 0;
  int quiet_asked = 0, quiet_got = 0;
  pwwaiting_init(&w, now);
  get_places(&w, 500, &now);
  for (int i = 0; i < STEPS; i++) {
    int quiet = i % 100 == 0;
    pw_waiting_ask ask = ask_of(quiet ? "quiet" : "surge", 1, &jobs[i]);
    quiet_asked += quiet;
    pwwaiting_ask(&w, &ask, now);
    if (i % 4)
      continue;
    now += 2;
    int *job = take_next(&w);
    quiet_got += job && (job - jobs) % 100 == 0;
    pwwaiting_placed(&w, now);
  }
  CHECK(quiet_got >= quiet_asked * 95 / 100);
  pwwaiting_free(&w);
}

/* The usual time is what most say for the first time, though as many come back with
** whatever they have left, and some have longer. */
static void test_usual(void) {
  pw_random r = {test_seed(8), 0};
  pw_usual u = {0};
  CHECK(pwusual_ms(&u) == 0);
  for (int i = 0; i < 20000; i++) {
    double kind = pwrand_unit(&r);
    int64_t ms = 9990 + (int64_t)pwrand_below(&r, 11);
    if (kind < 0.6)
      ms = 4000 + (int64_t)pwrand_below(&r, 5500);
    else if (kind < 0.64)
      ms = 30000;
    pwusual_note(&u, ms);
    if (i > 200)
      CHECK(pwusual_ms(&u) >= 9600 && pwusual_ms(&u) <= 10000);
  }
  for (int i = 0; i < 2000; i++) /* the callers change their minds */
    pwusual_note(&u, 600);
  CHECK(pwusual_ms(&u) >= 570 && pwusual_ms(&u) <= 600);
  pwusual_note(&u, 0);
  pwusual_note(&u, -5);
}

/* Of one urgency those that can be in their goal go before those that cannot. */
static void test_late_after(void) {
  pw_waiting w;
  int64_t now = 0;
  int late, in_time, less_urgent, in_turn;
  pw_waiting_ask ask = ask_of("a", 1, &late);
  pwwaiting_init(&w, now);
  get_places(&w, 200, &now);
  ask.is_last = 1;
  CHECK(pwwaiting_ask(&w, &ask, now).may_wait);
  CHECK(!pwwaiting_precedes(&w, 1, 0) && pwwaiting_precedes(&w, 1, 1));
  ask = ask_of("b", 2, &less_urgent);
  CHECK(pwwaiting_ask(&w, &ask, now).may_wait);
  ask = ask_of("b", 1, &in_time);
  CHECK(pwwaiting_ask(&w, &ask, now).may_wait);
  pwwaiting_rewind(&w);
  CHECK(pwwaiting_next(&w, &in_turn) == &in_time);
  CHECK(pwwaiting_next(&w, &in_turn) == &late);
  CHECK(pwwaiting_next(&w, &in_turn) == &less_urgent);
  for (int i = 0; i < 100; i++)
    pwwaiting_found(&w, 1, 0);
  CHECK(pwwaiting_reserve(&w, 1, 0) == 0 && pwwaiting_reserve(&w, 1, 1) > 0);
  CHECK(pwwaiting_reserve(&w, 2, 0) == pwwaiting_reserve(&w, 1, 1));
  pwwaiting_free(&w);
}

/* A workspace that sends many times its usual surges, down to about twice its usual
** part; one that is large does not, nor does any in a rush of all. */
static void test_surge_known(void) {
  enum { NAMES = 6, CALM = 800, RUSH = 10000 }; /* 8 s are known of it */
  static const char *const names[NAMES] = {"large", "b", "c", "d", "e", "f"};
  static const double usual[NAMES] = {0.5, 0.1, 0.1, 0.1, 0.1, 0.1};
  pw_random r = {test_seed(9), 0};
  pw_surge *s = pwsurge_new(0);
  double most_calm = 0, most_rush = 0, surplus_b = 0, surplus_others = 0;
  int asked_b = 0;
  int64_t now = 0;
  for (int step = 0; step < CALM + 3 * RUSH; step++) {
    int surging = step >= CALM + RUSH && step < CALM + 2 * RUSH;
    int rush = step >= CALM;
    if (step % (rush ? 10 : 1) == 0) /* 100 a second, 1000 in the rush */
      now += 10;
    double at = pwrand_unit(&r) * (surging ? 3.9 : 1); /* b: 30 times as much */
    int who = 1;
    for (int i = 0; i < NAMES && at < 1; i++) {
      at -= usual[i];
      who = i;
      if (at < 0)
        break;
    }
    double surplus = pwsurge_note(s, names[who], now);
    if (!rush && surplus > most_calm)
      most_calm = surplus;
    if (rush && !surging && step < CALM + RUSH && surplus > most_rush)
      most_rush = surplus;
    if (surging && step > CALM + RUSH + 2000) {
      asked_b += who == 1;
      *(who == 1 ? &surplus_b : &surplus_others) += surplus;
    }
  }
  printf("surplus: calm %.2f, rush of all %.2f at most; surging %.2f\n",
         most_calm, most_rush, surplus_b / asked_b);
  CHECK(most_calm == 0 && most_rush < 0.2);
  CHECK(surplus_b / asked_b > 0.7 && surplus_others == 0);
  pwsurge_free(s);
}

/* Without a goal patience is a part of the caller's time; never more than all. */
static void test_patience(void) {
  pw_waiting w;
  int64_t now = 0;
  int one, two;
  pw_waiting_ask ask = ask_of("a", 0, &one);
  ask.goal_ms = 0;
  pwwaiting_init(&w, now);
  get_places(&w, 100, &now);
  pw_waiting_answer a = pwwaiting_ask(&w, &ask, now);
  CHECK(a.may_wait && a.patience_ms > 0 && a.patience_ms < TIME_MS / 2);
  ask = ask_of("a", 0, &two);
  ask.time_left_ms = 30;
  a = pwwaiting_ask(&w, &ask, now);
  CHECK(a.patience_ms <= 30);
  CHECK(pwwaiting_retry(&a, 0, 0.5) > 0);
  pwwaiting_free(&w);
}

int main(void) {
  TESTS_BEGIN("waiting");
  TEST(test_refused_at_once);
  TEST(test_urgent_first);
  TEST(test_none_starves);
  TEST(test_reserve);
  TEST(test_surge);
  TEST(test_patience);
  TEST(test_surge_known);
  TEST(test_usual);
  TEST(test_late_after);
  TESTS_END();
}
