/* test_parts.c: parts of prompts that crash targets, in one process. */
#include "pwlimits.h"
#include "pwparts.h"
#include "pwpartsmsg.h"
#include "pwtest.h"

#include <string.h>

/* A list of parts: keys up to the first 0. */
static pw_part_list list(uint64_t a, uint64_t b, uint64_t c) {
  pw_part_list l = {{a, b, c}, a ? b ? c ? 3 : 2 : 1 : 0};
  return l;
}

static void crash(pw_parts *q, pw_part_list parts, uint64_t target,
                  int64_t sent, int64_t at) {
  pw_part_crash c = {target, sent, at};
  pwparts_crashed(q, &parts, &c);
}

static void answer(pw_parts *q, pw_part_list parts, int64_t at) {
  pwparts_answered(q, &parts, at);
}

static int is_refused(pw_parts *q, pw_part_list parts, int64_t now) {
  return pwparts_refusal(q, &parts, now).left > 0;
}

/* Crashes with these parts, one after the other, 100 ms apart. */
static void crash_in_turn(pw_parts *q, pw_part_list parts, int n,
                          int64_t from) {
  for (int i = 0; i < n; i++)
    crash(q, parts, (uint64_t)(from + i), from + 100 * i, from + 100 * i + 50);
}

enum { FIRST = 1, BAD = 2, BESIDE = 3, OTHER = 4 };

/* --- one instance --- */

/* Three crashes one by one are enough while other prompts are answered, five
** without. */
static void test_refused(void) {
  pw_parts *q = pwparts_new();
  crash_in_turn(q, list(BAD, 0, 0), 3, 1000);
  CHECK(!is_refused(q, list(BAD, 0, 0), 2000));
  answer(q, list(OTHER, 0, 0), 2000);
  CHECK(is_refused(q, list(FIRST, BAD, 0), 2000));
  CHECK(!is_refused(q, list(FIRST, 0, 0), 2000));
  pw_part_list parts = list(FIRST, BAD, 0);
  pw_part_refusal r = pwparts_refusal(q, &parts, 2050);
  CHECK(r.part == 1 && r.crashes == 3 && r.left == PW_QUARANTINE_MS - 1000);
  CHECK(pwparts_count(q, 2000) == 1);
  pwparts_tick(q, 1050 + PW_QUARANTINE_MS);
  CHECK(!is_refused(q, list(BAD, 0, 0), 1050 + PW_QUARANTINE_MS));
  pwparts_free(q);
  q = pwparts_new();
  crash_in_turn(q, list(BAD, 0, 0), 4, 1000);
  CHECK(!is_refused(q, list(BAD, 0, 0), 2000));
  crash_in_turn(q, list(BAD, 0, 0), 1, 2000);
  CHECK(is_refused(q, list(BAD, 0, 0), 3000));
  pwparts_free(q);
}

/* However many targets crash at once, it is one crash: requests that were in
** flight then do not prove that their part is the cause. */
static void test_crashes_at_once(void) {
  pw_parts *q = pwparts_new();
  answer(q, list(OTHER, 0, 0), 1000);
  for (uint64_t t = 1; t <= 12; t++)
    crash(q, list(BAD, 0, 0), t, 900 + (int64_t)t, 1000 + (int64_t)t);
  answer(q, list(OTHER, 0, 0), 1100);
  CHECK(!is_refused(q, list(BAD, 0, 0), 1100));
  /* crashes one by one count though many others lie between them */
  for (uint64_t t = 20; t < 60; t++)
    crash(q, list(BAD, 0, 0), t, 600 + 40 * (int64_t)t, 1000 + 40 * (int64_t)t);
  answer(q, list(OTHER, 0, 0), 4000);
  CHECK(is_refused(q, list(BAD, 0, 0), 4000));
  pwparts_free(q);
}

/* A target that resets connections, but runs, does not put a part to blame. */
static void test_same_target(void) {
  pw_parts *q = pwparts_new();
  for (int i = 0; i < 19; i++)
    crash(q, list(BAD, 0, 0), 7, 1000 + 100 * i, 1050 + 100 * i);
  answer(q, list(OTHER, 0, 0), 3000);
  CHECK(!is_refused(q, list(BAD, 0, 0), 3000));
  pwparts_free(q);
}

/* An answer retracts all crashes before it. */
static void test_answered(void) {
  pw_parts *q = pwparts_new();
  crash_in_turn(q, list(BAD, 0, 0), 3, 1000);
  answer(q, list(OTHER, 0, 0), 2000);
  CHECK(is_refused(q, list(BAD, 0, 0), 2000));
  answer(q, list(BAD, 0, 0), 2001); /* in flight */
  CHECK(!is_refused(q, list(BAD, 0, 0), 2001) && pwparts_count(q, 2001) == 0);
  pw_part_change change[4];
  CHECK(pwparts_changes(q, change, 4, 2001) == 0);
  /* it is known to be harmless: three more are not enough, nor five while
  ** nothing else is answered */
  crash_in_turn(q, list(BAD, 0, 0), 3, 3000);
  answer(q, list(OTHER, 0, 0), 4000);
  CHECK(!is_refused(q, list(BAD, 0, 0), 4000));
  crash_in_turn(q, list(BAD, 0, 0), 2, 5000);
  CHECK(is_refused(q, list(BAD, 0, 0), 6000));
  CHECK(pwparts_changes(q, change, 4, 6000) == 1 && change[0].is_refused &&
        change[0].key == BAD && change[0].crashes == 5);
  /* and its crashes are kept for a minute only */
  pwparts_tick(q, 3050 + 60000);
  CHECK(!is_refused(q, list(BAD, 0, 0), 3050 + 60000));
  CHECK(pwparts_changes(q, change, 4, 3050 + 60000) == 1 &&
        !change[0].is_refused);
  pwparts_free(q);
}

/* A part that all prompts share is not refused for a loss of all targets, again
** and again. */
static void test_all_lost(void) {
  pw_parts *q = pwparts_new();
  answer(q, list(FIRST, OTHER, 0), 900);
  crash_in_turn(q, list(FIRST, OTHER, 0), 16, 1000);
  CHECK(!is_refused(q, list(FIRST, 0, 0), 3000));
  answer(q, list(FIRST, OTHER, 0), 3000);
  CHECK(!is_refused(q, list(FIRST, 0, 0), 3000));
  pwparts_free(q);
}

/* --- which of several parts --- */

/* Two parts that always come together cannot be told apart: only prompts with
** both are refused, until one with a single one of them tells. */
static void test_pair(void) {
  pw_parts *q = pwparts_new();
  crash_in_turn(q, list(FIRST, BAD, BESIDE), 3, 1000);
  answer(q, list(FIRST, OTHER, 0), 2000);
  CHECK(is_refused(q, list(FIRST, BAD, BESIDE), 2000));
  CHECK(!is_refused(q, list(FIRST, BAD, 0), 2000));
  CHECK(!is_refused(q, list(FIRST, BESIDE, 0), 2000));
  crash(q, list(FIRST, BAD, 0), 99, 2010, 2020);
  answer(q, list(FIRST, OTHER, 0), 2030);
  CHECK(is_refused(q, list(BAD, 0, 0), 2030));
  CHECK(!is_refused(q, list(FIRST, BESIDE, OTHER), 2030));
  pwparts_free(q);
  q = pwparts_new(); /* or it is answered */
  crash_in_turn(q, list(BAD, BESIDE, 0), 3, 1000);
  answer(q, list(BESIDE, OTHER, 0), 2000);
  CHECK(is_refused(q, list(FIRST, BAD, 0), 2000));
  CHECK(!is_refused(q, list(BESIDE, 0, 0), 2000));
  pwparts_free(q);
}

/* A part that all share, and that ran at each target that crashed, is explained
** by the one that is never answered. */
static void test_explained(void) {
  pw_parts *q = pwparts_new();
  answer(q, list(FIRST, OTHER, 0), 900);
  crash_in_turn(q, list(FIRST, BAD, 0), 8, 1000);
  answer(q, list(OTHER, 0, 0), 2000);
  CHECK(is_refused(q, list(FIRST, BAD, 0), 2000));
  CHECK(!is_refused(q, list(FIRST, OTHER, 0), 2000));
  pwparts_free(q);
}

/* Parts of another workspace under the same id are other parts. */
static void test_workspaces(void) {
  CHECK(pwparts_key("kett", 7) == pwparts_key("kett", 7));
  CHECK(pwparts_key("kett", 7) != pwparts_key("exams", 7));
  CHECK(pwparts_key("kett", 7) != pwparts_key("kett", 8));
  CHECK(pwparts_key("", 0) != 0);
}

/* The number of parts is bounded. A caller that sends a million new parts does
** not displace a refused one. */
static void test_bounded(void) {
  pw_parts *q = pwparts_new();
  crash_in_turn(q, list(BAD, 0, 0), 3, 1000);
  answer(q, list(OTHER, 0, 0), 2000);
  for (uint64_t i = 0; i < 1000000; i++)
    crash(q, list(1000 + i, 0, 0), 5, 2000, 2001);
  CHECK(pwparts_cases(q) <= 1024);
  CHECK(is_refused(q, list(BAD, 0, 0), 2002) && pwparts_count(q, 2002) == 1);
  pwparts_free(q);
}

/* --- several instances --- */

/* Sends what is due through a message, after `delay_ms`. */
static void tell(pw_parts *from, pw_parts *to, int64_t now, int64_t delay_ms) {
  pw_partsmsg m;
  pwpartsmsg_due(&m, from, now);
  if (to)
    pwpartsmsg_receive(to, m.list, m.n, now + delay_ms);
}

/* Instances that saw one crash each refuse the part together. */
static void test_told(void) {
  pw_parts *q[3];
  for (int i = 0; i < 3; i++) {
    q[i] = pwparts_new();
    crash(q[i], list(BAD, 0, 0), 10 + (uint64_t)i, 1000 + 100 * i,
          1050 + 100 * i);
    answer(q[i], list(OTHER, 0, 0), 1500);
  }
  for (int i = 0; i < 3; i++)
    CHECK(!is_refused(q[i], list(BAD, 0, 0), 1500));
  tell(q[1], q[0], 1600, 1);
  tell(q[2], q[0], 1600, 1);
  CHECK(is_refused(q[0], list(BAD, 0, 0), 1600));
  tell(q[0], q[1], 1700, 1);
  CHECK(is_refused(q[1], list(BAD, 0, 0), 1700));
  /* an answer at one of them releases it at all */
  answer(q[2], list(BAD, 0, 0), 1800);
  tell(q[0], q[2], 1900, 1);
  CHECK(!is_refused(q[2], list(BAD, 0, 0), 1900));
  tell(q[2], q[0], 2000, 1);
  tell(q[2], q[1], 2010, 1);
  CHECK(!is_refused(q[0], list(BAD, 0, 0), 2000));
  CHECK(!is_refused(q[1], list(BAD, 0, 0), 2010));
  for (int i = 0; i < 3; i++)
    pwparts_free(q[i]);
}

/* Reports that take a while and come back do not make crashes that happened at
** once look as if they had happened one by one. */
static void test_told_late(void) {
  pw_parts *a = pwparts_new(), *b = pwparts_new();
  for (uint64_t t = 1; t <= 9; t++)
    crash(a, list(BAD, 0, 0), t, 900, 1000 + (int64_t)t);
  for (int64_t now = 1100; now < 60000; now += 100) {
    answer(a, list(OTHER, 0, 0), now);
    answer(b, list(OTHER, 0, 0), now);
    tell(a, b, now, 30);
    tell(b, a, now + 40, 30);
    size_t at = 0;
    pw_partsmsg m;
    pwpartsmsg_list(&m, a, &at, now); /* as a control instance keeps it */
    pwpartsmsg_receive(b, m.list, m.n, now + 50);
    pwpartsmsg_list(&m, b, &at, now);
    pwpartsmsg_receive(a, m.list, m.n, now + 50);
  }
  CHECK(!is_refused(a, list(BAD, 0, 0), 60000));
  CHECK(!is_refused(b, list(BAD, 0, 0), 60000));
  pwparts_free(a);
  pwparts_free(b);
}

/* Malformed rows change nothing. */
static void test_bad_rows(void) {
  pw_parts *q = pwparts_new();
  pw_part_row bad[] = {{.key = 0, .n = 1},
                       {.key = 1, .n = -1},
                       {.key = 1, .n = PWPARTS_CRASHES + 1},
                       {.key = 1, .n = 1, .crash = {{1, 100, 50}}},
                       {.key = 1, .n = 1, .crash = {{1, -700000, -600001}}}};
  for (size_t i = 0; i < sizeof bad / sizeof bad[0]; i++)
    pwparts_receive(q, &bad[i], 1000);
  CHECK(pwparts_cases(q) == 0);
  uint64_t target[2] = {1, 2};
  uint32_t ms[2] = {1, 1};
  Pw__CrashingPart m = PW__CRASHING_PART__INIT, *one = &m;
  m.part = 1;
  m.targets = target;
  m.ages = m.spans = ms;
  m.n_targets = 2;
  m.n_ages = m.n_spans = 1;
  pwpartsmsg_receive(q, &one, 1, 1000);
  CHECK(pwparts_cases(q) == 0);
  pwparts_free(q);
}

/* --- a fleet --- */

enum {
  GATEWAYS = 5,
  TARGETS = 18,
  STEP_MS = 10,
  SIM_MS = 30000,
  UPDATE_MS = 100,
  BACK_MS = 3000, /* from a crash to the next start */
  SUBJECTS = 40,  /* parts that some of the sound requests share */
  SOUND_MS = 600, /* time from a sound request to its answer */
  FLIGHTS = 256,  /* most requests in flight */
  LATE_MS = 500,
  VERY_LATE_MS = 3000, /* from then on the platform allows three */
  LATE_MOST = 3,
  FAULT_MS = 5000 /* when the fault begins */
};

typedef enum fault {
  CRASHING_PART,  /* requests with a part crash what answers them */
  HALF_AT_ONCE,   /* half of the targets crash at the same time */
  ONE_BY_ONE,     /* a target crashes each 400 ms, of itself */
  ALL_EACH_SECOND /* all targets crash, again and again */
} fault;

typedef struct flight {
  int gateway, target; /* target -1: none */
  int64_t sent, ends;
  pw_part_list parts;
  int is_bad, attempt;
} flight;

typedef struct fleet {
  pw_parts *q[GATEWAYS];
  uint64_t incarnation[TARGETS];
  int64_t down_until[TARGETS];
  flight flight[FLIGHTS];
  int64_t fifth; /* time of the fifth crash under the part */
  int crashes;
  int late, very_late; /* sent later than LATE_MS and VERY_LATE_MS after it */
  int refused_sound, sound;
  pw_random *r;
} fleet;

static int pick_target(fleet *f, int64_t now) {
  for (int i = 0; i < 50; i++) {
    int t = (int)pwrand_below(f->r, TARGETS);
    if (now >= f->down_until[t])
      return t;
  }
  return -1;
}

/* Sends a request to a target, unless it is refused. */
static void send(fleet *f, flight *one, int bad_ms, int64_t now) {
  if (is_refused(f->q[one->gateway], one->parts, now)) {
    f->refused_sound += !one->is_bad;
    one->target = -1;
    return;
  }
  one->target = pick_target(f, now);
  one->sent = now;
  one->ends = now + (one->is_bad ? bad_ms : SOUND_MS);
  f->late += one->is_bad && f->fifth && now > f->fifth + LATE_MS;
  f->very_late += one->is_bad && f->fifth && now > f->fifth + VERY_LATE_MS;
}

static void arrive(fleet *f, pw_part_list parts, int is_bad, int bad_ms,
                   int64_t now) {
  for (int i = 0; i < FLIGHTS; i++)
    if (f->flight[i].target < 0) {
      f->flight[i] = (flight){.gateway = (int)pwrand_below(f->r, GATEWAYS),
                              .parts = parts,
                              .is_bad = is_bad,
                              .attempt = 1};
      f->sound += !is_bad;
      send(f, &f->flight[i], bad_ms, now);
      return;
    }
  CU_FAIL("too many requests in flight");
}

/* Each request that ran at the target is sent once more. */
static void crash_target(fleet *f, int t, int bad_ms, int64_t now) {
  f->down_until[t] = now + BACK_MS;
  for (int i = 0; i < FLIGHTS; i++) {
    flight *one = &f->flight[i];
    if (one->target != t)
      continue;
    crash(f->q[one->gateway], one->parts, f->incarnation[t], one->sent, now);
    one->target = -1;
    if (one->attempt++ == 1)
      send(f, one, bad_ms, now);
  }
  f->incarnation[t] = pwrand(f->r);
}

static void end_flights(fleet *f, int bad_ms, int64_t now) {
  for (int i = 0; i < FLIGHTS; i++) {
    flight *one = &f->flight[i];
    if (one->target < 0 || one->ends > now)
      continue;
    if (!one->is_bad) {
      answer(f->q[one->gateway], one->parts, now);
      one->target = -1;
      continue;
    }
    f->crashes++;
    f->fifth = f->crashes == 5 ? now : f->fifth;
    crash_target(f, one->target, bad_ms, now);
  }
}

/* One datagram in ten is lost. */
static void tell_all(fleet *f, int64_t now) {
  for (int i = 0; i < GATEWAYS; i++) {
    pw_partsmsg m;
    pwpartsmsg_due(&m, f->q[i], now);
    for (int k = 0; k < GATEWAYS; k++)
      if (k != i && m.n && pwrand_below(f->r, 10))
        pwpartsmsg_receive(f->q[k], m.list, m.n, now + 1);
  }
}

static void break_targets(fleet *f, fault how, int64_t now) {
  int64_t since = now - FAULT_MS;
  if (since < 0)
    return;
  if (how == HALF_AT_ONCE && since % 10000 == 0)
    for (int t = 0; t < TARGETS / 2; t++)
      crash_target(f, t, 0, now);
  if (how == ONE_BY_ONE && since % 400 == 0)
    crash_target(f, (int)pwrand_below(f->r, TARGETS), 0, now);
  if (how == ALL_EACH_SECOND && since % 1000 == 0)
    for (int t = 0; t < TARGETS; t++) {
      crash_target(f, t, 0, now);
      f->down_until[t] = now + 300;
    }
}

/* 200 sound requests a second share the first part, and a subject with some;
** with CRASHING_PART ten a second have the crashing part after the first. */
static void play(fleet *f, fault how, int bad_ms, pw_random *r) {
  *f = (fleet){.r = r};
  for (int i = 0; i < GATEWAYS; i++)
    f->q[i] = pwparts_new();
  for (int i = 0; i < FLIGHTS; i++)
    f->flight[i].target = -1;
  for (int t = 0; t < TARGETS; t++)
    f->incarnation[t] = pwrand(r);
  for (int64_t now = STEP_MS; now <= SIM_MS; now += STEP_MS) {
    end_flights(f, bad_ms, now);
    break_targets(f, how, now);
    for (int i = 0; i < 2; i++)
      arrive(f, list(FIRST, 100 + pwrand_below(r, SUBJECTS), 0), 0, bad_ms,
             now);
    if (how == CRASHING_PART && now >= FAULT_MS && now % 100 == 0)
      arrive(f, list(FIRST, BAD, 0), 1, bad_ms, now);
    if (now % UPDATE_MS == 0)
      tell_all(f, now);
  }
  for (int i = 0; i < GATEWAYS; i++)
    pwparts_free(f->q[i]);
}

/* A part that crashes targets soon or late in their work reaches few of them,
** and no sound request is refused for its sake. */
static void test_crashing_part(void) {
  static const int bad_ms[] = {20, 80, 400, 1200};
  static fleet f;
  pw_random r = {.seed = test_seed(66)};
  for (size_t s = 0; s < sizeof bad_ms / sizeof bad_ms[0]; s++) {
    int most = 0, late = 0, very_late = 0, refused = 0, sound = 0;
    for (int i = 0; i < 10; i++) {
      play(&f, CRASHING_PART, bad_ms[s], &r);
      very_late = f.very_late > very_late ? f.very_late : very_late;
      most = f.crashes > most ? f.crashes : most;
      late = f.late > late ? f.late : late;
      refused += f.refused_sound;
      sound += f.sound;
    }
    printf("crash after %d ms: %d crashes at most, %d sent later than 0.5 s "
           "after the fifth at most, %d later than 3 s; %d of %d sound ones "
           "refused\n",
           bad_ms[s], most, late, very_late, refused, sound);
    CHECK(refused == 0 && very_late <= LATE_MOST);
    CHECK(late <= LATE_MOST || bad_ms[s] > LATE_MS);
  }
}

/* Targets that crash for another reason: no request is refused for it. */
static void test_no_part_to_blame(void) {
  static const fault how[] = {HALF_AT_ONCE, ONE_BY_ONE, ALL_EACH_SECOND};
  static fleet f;
  pw_random r = {.seed = test_seed(67)};
  for (size_t s = 0; s < sizeof how / sizeof how[0]; s++) {
    int refused = 0, sound = 0;
    for (int i = 0; i < 10; i++) {
      play(&f, how[s], 0, &r);
      refused += f.refused_sound;
      sound += f.sound;
    }
    printf("fault %d: %d of %d sound ones refused\n", how[s], refused, sound);
    CHECK(refused == 0);
  }
}

int main(void) {
  TESTS_BEGIN("parts");
  TEST(test_refused);
  TEST(test_crashes_at_once);
  TEST(test_same_target);
  TEST(test_answered);
  TEST(test_all_lost);
  TEST(test_pair);
  TEST(test_explained);
  TEST(test_workspaces);
  TEST(test_bounded);
  TEST(test_told);
  TEST(test_told_late);
  TEST(test_bad_rows);
  TEST(test_crashing_part);
  TEST(test_no_part_to_blame);
  TESTS_END();
}
