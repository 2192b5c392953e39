/* test_shed.c: load shedding: urgency classes, shares, timeouts, load
** spikes. */
#include "pwtest.h"

#include "pwbuf.h"
#include "pwshed.h"
#include "pwslotorder.h"
#include "pwspike.h"
#include "pwtimeouts.h"

/* The reserve of an urgency class follows how many of its requests get no slot:
** none while all get one, more while too many do not, at most a tenth, and only
** less urgent classes leave it. */
static void test_reserve(void) {
  pw_shed p;
  pwshed_init(&p, 0);
  for (int i = 0; i < 1000; i++)
    pwshed_note(&p, 0, 0, 1, i);
  CHECK(pwshed_reserve(&p, 2, 0) == 0 && pwshed_admitted_share(&p) == 1);
  for (int i = 0; i < 1000; i++) /* one in twenty gets none */
    pwshed_note(&p, 0, 0, i % 20 != 0, 1000 + i);
  double reserved = pwshed_reserve(&p, 1, 0);
  CHECK(reserved > 0 && reserved <= 0.1);
  CHECK(pwshed_reserve(&p, 0, 0) == 0 && pwshed_reserve(&p, 2, 0) == reserved);
  for (int i = 0; i < 1000; i++)
    pwshed_note(&p, 1, 0, i % 8 != 0, 2000 + i);
  CHECK(pwshed_reserve(&p, 1, 0) == reserved);
  CHECK(pwshed_reserve(&p, 2, 0) > reserved && pwshed_reserve(&p, 2, 0) <= 0.2);
  for (int i = 0; i < 10000; i++)
    pwshed_note(&p, 0, 0, 1, 3000 + i);
  CHECK(pwshed_reserve(&p, 1, 0) == 0);
}

/* Requests that go last leave the reserve of their own class to the others, and
** their refusals do not raise it. */
static void test_last(void) {
  pw_shed p;
  pwshed_init(&p, 0);
  for (int i = 0; i < 100; i++)
    pwshed_note(&p, 1, 1, i % 2, i);
  CHECK(pwshed_reserve(&p, 1, 1) == 0);
  for (int i = 0; i < 100; i++)
    pwshed_note(&p, 1, 0, i % 2, 100 + i);
  CHECK(pwshed_reserve(&p, 1, 0) == 0 && pwshed_reserve(&p, 1, 1) > 0);
  CHECK(pwshed_reserve(&p, 2, 0) == pwshed_reserve(&p, 1, 1));
}

/* Slots become free one at a time while three times as many requests arrive:
** each class is served at most as much as the more urgent ones, and none less
** than about half of the overall share, even if one class alone could use all
** slots. */
static void play_shares(double urgent_share, uint64_t seed) {
  enum { CLASSES = 3, STEPS = 60000, SLOTS = 48 };
  pw_random r = {seed, 0};
  pw_shed p;
  double asked[CLASSES] = {0}, got[CLASSES] = {0}, load = 0;
  pwshed_init(&p, 0);
  for (int now = 0; now < STEPS; now++) {
    double who = pwrand_unit(&r);
    int urgency = who < urgent_share ? 0 : 1 + (int)pwrand_below(&r, 2);
    double reserve = pwshed_reserve(&p, urgency, 0);
    int has = load < (int)(SLOTS * (1 - reserve));
    pwshed_note(&p, urgency, 0, has, now);
    asked[urgency]++;
    got[urgency] += has;
    load += has;
    if (now % 3 == 0 && load > 0) /* a third of what arrives */
      load--;
  }
  double all = (got[0] + got[1] + got[2]) / STEPS;
  for (int c = 0; c < CLASSES; c++) {
    printf("urgent %.1f, class %d: %.2f of its requests\n", urgent_share, c,
           got[c] / asked[c]);
    CHECK(got[c] / asked[c] > 0.8 * all / 2);
    CHECK(c == 0 || got[c] / asked[c] <= got[c - 1] / asked[c - 1] + 0.02);
  }
}

static void test_shares(void) {
  uint64_t seed = test_seed(7);
  play_shares(0.2, seed);
  play_shares(0.5, seed);
  play_shares(0.9, seed);
}

/* A refused caller retries within the part of its timeout that it would
** wait. */
static void test_retry(void) {
  for (int i = 0; i < 10; i++) {
    int64_t ms = pwshed_retry_ms(9000, 0, i / 10.0);
    CHECK(ms >= 100 && ms <= 3000);
  }
  CHECK(pwshed_retry_ms(9000, 0, 0.1) < pwshed_retry_ms(9000, 0, 0.9));
  CHECK(pwshed_retry_ms(0, 0, 0.5) > 0 && pwshed_retry_ms(-10, 0, 0.5) > 0);
  /* from 1200 ms on the request is recognized as a retry */
  for (int i = 0; i < 10; i++) {
    int64_t ms = pwshed_retry_ms(9000, 1200, i / 10.0);
    CHECK(ms >= 1200 && ms <= 3000);
  }
  CHECK(pwshed_retry_ms(900, 1200, 0.5) == 300); /* it would not retry later */
}

/* The baseline timeout is that of most first attempts, though as many retries
** have whatever time is left, and some requests have longer timeouts. */
static void test_baseline_timeout(void) {
  pw_random r = {test_seed(8), 0};
  pw_timeouts u = {.all = {.total = 0}};
  CHECK(pwtimeouts_baseline(&u) == 0);
  for (int i = 0; i < 20000; i++) {
    double kind = pwrand_unit(&r);
    int64_t ms = 9990 + (int64_t)pwrand_below(&r, 11);
    if (kind < 0.6)
      ms = 4000 + (int64_t)pwrand_below(&r, 5500);
    else if (kind < 0.64)
      ms = 30000;
    pwtimeouts_note(&u, ms, 0);
    if (i > 200)
      CHECK(pwtimeouts_baseline(&u) >= 9600 &&
            pwtimeouts_baseline(&u) <= 10000);
  }
  for (int i = 0; i < 2000; i++) /* the callers change their timeout */
    pwtimeouts_note(&u, 600, 0);
  CHECK(pwtimeouts_baseline(&u) >= 570 && pwtimeouts_baseline(&u) <= 600);
  pwtimeouts_note(&u, 0, 1);
  pwtimeouts_note(&u, -5, 1);
}

/* It guards against taking callers with short timeouts for retries: timeouts
** are from 0.85 to 1 of eight seconds; at six times the load four in ten
** requests are refused and retried once, when their callers are asked to.
** Retries are recognized and first attempts are not taken for them; by the
** longest timeout alone most of them would be. */
static void play_timeouts(double spread, int unloaded, uint64_t seed) {
  enum { GOAL = 400, LONGEST = 8000, ASKED = 20000 };
  pw_random r = {seed, 0};
  pw_timeouts u = {.all = {.total = 0}};
  double firsts = 0, firsts_wrong = 0, naive_wrong = 0, retries = 0,
         retries_wrong = 0;
  for (int i = 0; i < ASKED; i++) {
    int is_unloaded = i < unloaded;
    double most = LONGEST * (1 - spread * pwrand_unit(&r));
    int64_t late = GOAL / 4;
    pwtimeouts_note(&u, (int64_t)most, is_unloaded);
    int64_t least = pwtimeouts_baseline(&u) - pwtimeouts_shortest(&u) + late;
    int is_taken_for_retry = most + late < pwtimeouts_shortest(&u);
    int is_naive = most + late < pwtimeouts_baseline(&u);
    if (!is_unloaded) {
      firsts++;
      firsts_wrong += is_taken_for_retry;
      naive_wrong += is_naive;
    }
    if (pwrand_unit(&r) > (is_unloaded ? 0.01 : 0.4))
      continue;
    int64_t after = pwshed_retry_ms((int64_t)most, least, pwrand_unit(&r));
    int64_t left = (int64_t)most - after;
    pwtimeouts_note(&u, left, is_unloaded);
    if (is_unloaded)
      continue;
    retries++;
    retries_wrong += left + late >= pwtimeouts_shortest(&u);
  }
  printf(
      "spread %.2f, %d requests before: of 100 first attempts %.1f taken for "
      "retries (%.1f by the longest), of 100 retries %.1f not recognized\n",
      spread, unloaded, 100 * firsts_wrong / firsts, 100 * naive_wrong / firsts,
      100 * retries_wrong / retries);
  CHECK(firsts_wrong <= 0.1 * firsts);
  /* A caller waits for at most a third of its timeout: above that spread some
  ** retries are not recognized. */
  CHECK(retries_wrong <= (spread > 0.25 ? 0.3 : 0.1) * retries);
  if (spread > 0.1)
    CHECK(naive_wrong > 0.4 * firsts);
}

static void test_short_timeouts(void) {
  uint64_t seed = test_seed(31);
  play_timeouts(0.15, 1000, seed);
  play_timeouts(0.15, 15, seed);
  play_timeouts(0.01, 1000, seed);
  play_timeouts(0.3, 1000, seed);
}

/* Retries stay behind first attempts, also in a class that gets less than its
** share: a slot given to a retry is taken from a caller who then retries
** itself. */
static void test_last_of_starved_class(void) {
  pw_shed p;
  pwshed_init(&p, 0);
  for (int i = 0; i < 400; i++) {
    pwshed_note(&p, 0, 0, i % 10 != 0, i);
    pwshed_note(&p, 2, 0, 0, i); /* gets no slot */
  }
  CHECK(pwshed_reserve(&p, 2, 0) == 0);
  CHECK(pwshed_reserve(&p, 2, 1) >= 0.1);
}

/* Whether the second try of a request that may be repeated may take a slot. */
static int may_try_again(const pw_shed *p, double draw) {
  pw_slotorder_attempt t = {.rank = PWSLOTORDER_SECOND_ATTEMPT,
                            .may_repeat = 1};
  return pwslotorder_may_take(&t, pwshed_first_admitted(p), draw);
}

/* Second tries get a slot while all first tries do, and none when one in ten of
** those does not. */
static void test_may_retry(void) {
  pw_shed p;
  pwshed_init(&p, 0);
  CHECK(may_try_again(&p, 0));
  for (int i = 0; i < 200; i++)
    pwshed_note(&p, 2, 0, 1, i);
  CHECK(may_try_again(&p, 0));
  /* refused retries do not count as refused first attempts */
  for (int i = 0; i < 200; i++)
    pwshed_note(&p, 2, 1, 0, 200 + i);
  CHECK(may_try_again(&p, 0));
  for (int i = 0; i < 12; i++)
    pwshed_note(&p, 2, 0, 0, 400 + i); /* one in eighteen */
  CHECK(!may_try_again(&p, 0.3) && may_try_again(&p, 0.8));
  for (int i = 0; i < 40; i++)
    pwshed_note(&p, 2, 0, 0, 500 + i);
  CHECK(!may_try_again(&p, 0.99));
  for (int i = 0; i < 400; i++)
    pwshed_note(&p, 2, 0, 1, 20000 + i);
  CHECK(may_try_again(&p, 0.01));
}

/* A workspace that sends many times its baseline spikes, down to about twice
** its baseline share; a large one does not, nor does any when the whole load
** rises. */
static void test_spike(void) {
  enum { NAMES = 6, CALM = 800, RUSH = 10000 }; /* 8 s of baseline */
  static const char *const names[NAMES] = {"large", "b", "c", "d", "e", "f"};
  static const double baseline[NAMES] = {0.5, 0.1, 0.1, 0.1, 0.1, 0.1};
  pw_random r = {test_seed(9), 0};
  pw_spike *s = pwspike_new("", 0);
  double most_baseline = 0, most_raised = 0, surplus_b = 0, surplus_others = 0;
  int asked_b = 0;
  int64_t now = 0;
  for (int step = 0; step < CALM + 3 * RUSH; step++) {
    int spiking = step >= CALM + RUSH && step < CALM + 2 * RUSH;
    int raised = step >= CALM;
    if (step % (raised ? 10 : 1) == 0) /* 100 a second, then 1000 */
      now += 10;
    double at =
        pwrand_unit(&r) * (spiking ? 3.9 : 1); /* b sends 30 times as much */
    int who = 1;
    for (int i = 0; i < NAMES && at < 1; i++) {
      at -= baseline[i];
      who = i;
      if (at < 0)
        break;
    }
    double surplus = pwspike_note(s, names[who], now);
    if (!raised && surplus > most_baseline)
      most_baseline = surplus;
    if (raised && !spiking && step < CALM + RUSH && surplus > most_raised)
      most_raised = surplus;
    if (spiking && step > CALM + RUSH + 2000) {
      asked_b += who == 1;
      *(who == 1 ? &surplus_b : &surplus_others) += surplus;
    }
  }
  printf(
      "surplus: baseline %.2f, whole load raised %.2f at most; spiking %.2f\n",
      most_baseline, most_raised, surplus_b / asked_b);
  CHECK(most_baseline == 0 && most_raised < 0.2);
  CHECK(surplus_b / asked_b > 0.7 && surplus_others == 0);
  pwspike_free(s);
}

int main(void) {
  TESTS_BEGIN("places");
  TEST(test_reserve);
  TEST(test_last);
  TEST(test_shares);
  TEST(test_retry);
  TEST(test_baseline_timeout);
  TEST(test_short_timeouts);
  TEST(test_last_of_starved_class);
  TEST(test_may_retry);
  TEST(test_spike);
  TESTS_END();
}
