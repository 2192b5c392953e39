/* test_reject.c: targets that turn requests away though they have room, without a process.
**
** What happened: five of 18 targets turned away six in ten of what they got, by proof, and said nothing
** of when to come back. Each such request cost a retry; when these were used up, 84 of 692 callers in
** two seconds were refused though two thirds of the targets were free. Lines of one gateway:
**   ev=turned-away target=i-8ec6 status=503 hold_off_ms=0
**   ev=placed target=i-8ec6 n=1           a moment later, its load being the least
** With 103 gateways before 180 targets each met such a target once in ten seconds, and learned nothing. */
#include "pwbuf.h"
#include "pwfleet.h"
#include "pwreject.h"
#include "pwretries.h"
#include "pwtest.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum { BEAT_MS = 100, KEEP_MS = 1000, SLOTS = 12, TARGETS_MAX = 180 };

static void test_recent(void) {
  pw_reject r = {0};
  CHECK(!pwreject_is_recent(&r, 100) && !pwreject_is_recent(&r, 60000));
  pwreject_note(&r, 1000);
  CHECK(pwreject_is_recent(&r, 1000) && pwreject_is_recent(&r, 2499));
  for (int i = 0; i < 100; i++) /* however many they are */
    pwreject_note(&r, 2200);
  CHECK(pwreject_is_recent(&r, 3699) && !pwreject_is_recent(&r, 3700));
  CHECK(pwreject_had_room(9, 12) && !pwreject_had_room(10, 12));
}

/* --- targets --- */

static void join(pw_fleet *f, int i) {
  pw_beat b = {.slots = SLOTS, .seq = 1, .born = 1000};
  snprintf(b.id, sizeof b.id, "t%d", i);
  pw_copy(b.service, sizeof b.service, "s");
  snprintf(b.address, sizeof b.address, "10.0.0.1:%d", 1000 + i);
  pw_copy(b.availability_zone, sizeof b.availability_zone, "az-1");
  CHECK(pwfleet_beat(f, &b, 0, 1000) == PWFLEET_JOINED);
}

static pw_fleet *fleet_of(int targets) {
  pw_fleet *f = pwfleet_new("az-1", BEAT_MS, KEEP_MS);
  for (int i = 0; i < targets; i++)
    join(f, i);
  return f;
}

static int spares; /* whether retries are to be spared */

static pw_target *pick(pw_fleet *f, uint64_t key, double draw,
                       pw_target *const *tried, int ntried, int64_t now) {
  pw_fleet_ask ask = {.service = "s",
                      .spares_retries = spares,
                      .how = PWPICK_BY_HOME,
                      .is_sticky = key != 0,
                      .key = key,
                      .wait_ms = 0,
                      .draw = draw,
                      .bound = {2, 3, 0, 0},
                      .part = 1,
                      .tried = tried,
                      .ntried = ntried};
  pw_fleet_picked got = pwfleet_pick(f, &ask, now);
  if (got.target)
    pwfleet_drop(got.target);
  return got.target;
}

/* Another one is preferred for a second and a half while retries are short; who has nobody else left goes there all
** the same. */
static void test_put_off(void) {
  pw_fleet *f = fleet_of(3);
  spares = 0;
  pw_target *a = pick(f, 7, 0, NULL, 0, 1000);
  pwfleet_rejected(a, 1, 1000);
  CHECK(pick(f, 7, 0.5, NULL, 0, 1500) == a); /* there are enough of them */
  spares = 1;
  for (uint64_t key = 0; key < 100; key++)
    CHECK(pick(f, key, 0.5, NULL, 0, 1500) != a);
  CHECK(pwfleet_usable(f, "s", 1500) == 3); /* its places count */
  CHECK(pwfleet_sum(f, "s", PWFLEET_BOTH, 1500).slots == 3 * SLOTS);
  for (pw_target *t = pwfleet_first(f); t; t = t->hh.next)
    t->inflight = t == a ? 0 : SLOTS; /* the others are full */
  CHECK(pick(f, 7, 0.5, NULL, 0, 1500) == a);
  CHECK(pick(f, 0, 0.5, NULL, 0, 1500) == a);
  for (pw_target *t = pwfleet_first(f); t; t = t->hh.next)
    t->inflight = 0;
  CHECK(pick(f, 7, 0.5, NULL, 0, 2500) == a);
  pwfleet_free(f);
}

/* One that was full says nothing of itself by it; where all turn away, none is preferred. */
static void test_full(void) {
  pw_fleet *f = fleet_of(3);
  pw_target *a = pick(f, 7, 0, NULL, 0, 1000);
  pwfleet_rejected(a, 0, 1000);
  spares = 1;
  CHECK(pick(f, 7, 0, NULL, 0, 1000) == a);
  for (pw_target *t = pwfleet_first(f); t; t = t->hh.next)
    pwfleet_rejected(t, 1, 1000);
  CHECK(pick(f, 7, 0, NULL, 0, 1000) == a);
  pwfleet_free(f);
}

/* A third of the targets go dark: each of 103 gateways waited 0.3 s for a connection to each of them, and
** 401 of 3,563 callers in two seconds were answered late, up to eight seconds after. One that finds a
** target out of reach tells the others; one lost packet of a target that has just sent something says
** nothing. */
static void test_out_of_reach(void) {
  pw_fleet *f[2] = {fleet_of(3), fleet_of(3)};
  pw_target *here = pwfleet_find(f[0], "t1"), *there = pwfleet_find(f[1], "t1");
  pw_loads all = {0}, own = {0}, nothing = {0};
  spares = 0;
  here->seen_at = 60000;
  pwfleet_unreached(here, 60001);
  CHECK(!pwreject_is_recent(&here->misses, 60001));
  here->failures = 0;
  pwfleet_unreached(here, 62000);
  CHECK(here->set_aside > 62000);
  CHECK(pwreject_is_recent(&here->misses, 62000));
  pwloads_add(&own, here->miss_hash, 1);
  pwloads_add(&all, here->miss_hash, 1);
  pwfleet_note_loads(f[1], &all, &nothing, 100);
  CHECK(there->set_aside == 0);
  for (uint64_t key = 0; key < 100; key++)
    CHECK(pick(f[1], key, 0.5, NULL, 0, 62100) != there);
  pwfleet_note_loads(f[1], &nothing, &nothing, 100); /* it is told no more */
  int back = 0;
  for (uint64_t key = 0; key < 100; key++)
    back += pick(f[1], key, 0.5, NULL, 0, 64000) == there;
  CHECK(back > 0);
  pwloads_free(&all);
  pwloads_free(&own);
  pwfleet_free(f[0]);
  pwfleet_free(f[1]);
}

/* --- the load --- */

typedef enum way { NOTHING, ALONE, TOLD } way;

/* What is asked of how many. */
typedef struct load {
  int gateways, targets;
  double per_s;
  double slack; /* retries beside a fifth of the requests, in ten seconds */
  double x;     /* share of its requests that a refusing target turns away */
} load;

typedef struct played {
  double refused; /* share of the callers, while some targets turn away */
  double there;   /* share of what runs meanwhile that runs at these ... */
  double after;   /* ... and of what is sent from two seconds after on */
} played;

enum {
  BEGIN_MS = 1000,
  REFUSE_MS = 6000, /* from then ... */
  WELL_MS = 14000,  /* ... until then */
  END_MS = 18000,
  WORK_MS = 300,
  TELL_MS = 100,
  WINDOW_MS = 10000,
  TRIES_MAX = 5,
  IN_ONE_MS = 64,
  GATEWAYS_MAX = 103
};

typedef struct world {
  const load *l;
  way how;
  pw_random *r;
  pw_fleet *f[GATEWAYS_MAX];
  pw_retries retries[GATEWAYS_MAX];
  pw_target
      *ends[WORK_MS][IN_ONE_MS]; /* what begins in a ms ends WORK_MS later */
  int nends[WORK_MS];
  long asked, refused, ran, ran_there, late, late_there;
} world;

/* What gateways tell: all see at once what each had 100 ms ago. */
static void tell_all(world *w, int64_t now) {
  static pw_loads own[GATEWAYS_MAX];
  pw_loads all = {0};
  for (int g = 0; g < w->l->gateways; g++) {
    pwloads_clear(&own[g]);
    for (pw_target *t = pwfleet_first(w->f[g]); t; t = t->hh.next) {
      uint32_t told =
          w->how == TOLD ? (uint32_t)pwreject_is_recent(&t->rejects, now) : 0;
      pwloads_add(&own[g], t->short_hash, (uint32_t)t->inflight);
      pwloads_add(&own[g], t->reject_hash, told);
      pwloads_add(&all, t->short_hash, (uint32_t)t->inflight);
      pwloads_add(&all, t->reject_hash, told);
    }
  }
  for (int g = 0; g < w->l->gateways; g++)
    pwfleet_note_loads(w->f[g], &all, &own[g], TELL_MS);
  pwloads_free(&all);
}

static int is_refusing(const world *w, const pw_target *t) {
  return atoi(t->id + 1) < w->l->targets * 3 / 10;
}

static void end_what_is_done(world *w, int64_t now) {
  int slot = (int)(now % WORK_MS);
  for (int i = 0; i < w->nends[slot]; i++)
    w->ends[slot][i]->inflight--;
  w->nends[slot] = 0;
}

static void run_at(world *w, pw_target *t, int64_t now) {
  int slot = (int)(now % WORK_MS);
  int refuses = now >= REFUSE_MS && now < WELL_MS;
  w->ran += refuses;
  w->ran_there += refuses && is_refusing(w, t);
  if (w->nends[slot] == IN_ONE_MS)
    return;
  t->inflight++;
  w->ends[slot][w->nends[slot]++] = t;
}

/* One request: it goes on elsewhere as long as retries are left. */
static void ask_one(world *w, int64_t now) {
  int refuses = now >= REFUSE_MS && now < WELL_MS;
  int g = (int)(pwrand_unit(w->r) * w->l->gateways);
  uint64_t key = 1 + (uint64_t)(pwrand_unit(w->r) * 400);
  pw_target *tried[TRIES_MAX];
  pwretries_request(&w->retries[g], now);
  w->asked += refuses;
  for (int n = 0; n < TRIES_MAX; n++) {
    spares = pwretries_is_scarce(&w->retries[g], w->l->gateways,
                                 pwrand_unit(w->r), now);
    pw_target *t = pick(w->f[g], key, pwrand_unit(w->r), tried, n, now);
    if (!t)
      break;
    tried[n] = t;
    w->late += now > WELL_MS + 2000;
    w->late_there += now > WELL_MS + 2000 && is_refusing(w, t);
    if (!refuses || !is_refusing(w, t) || pwrand_unit(w->r) >= w->l->x) {
      run_at(w, t, now);
      return;
    }
    if (w->how != NOTHING)
      pwfleet_rejected(t, 1, now);
    if (!pwretries_spend(&w->retries[g], w->l->gateways, now))
      break;
  }
  w->refused++;
}

/* Three in ten targets turn a share of their requests away for eight seconds. */
static played play(const load *l, way how, pw_random *r) {
  static world w;
  w = (world){.l = l, .how = how, .r = r};
  for (int g = 0; g < l->gateways; g++) {
    w.f[g] = fleet_of(l->targets);
    pwretries_init(&w.retries[g], 0.2, l->slack, WINDOW_MS);
  }
  double due = 0;
  for (int64_t now = BEGIN_MS; now < END_MS; now++) {
    end_what_is_done(&w, now);
    if (now % TELL_MS == 0)
      tell_all(&w, now);
    due += l->per_s / 1000;
    while (due >= 1) {
      ask_one(&w, now);
      due -= 1;
    }
  }
  for (int g = 0; g < l->gateways; g++)
    pwfleet_free(w.f[g]);
  return (played){(double)w.refused / (double)w.asked,
                  (double)w.ran_there / (double)w.ran,
                  (double)w.late_there / (double)w.late};
}

/* Nobody is refused for it, with few gateways and with many, where each alone is not enough; and targets
** that take work again have their share of it two seconds after. Those that turn away four in ten are
** used for the rest while retries pay for that: without them the others had half as much again to do,
** and at three times the load a third of the callers were refused or late. */
static void test_load(void) {
  static const load loads[] = {{5, 18, 330, 56, 0.9},
                               {5, 18, 330, 56, 0.4},
                               {GATEWAYS_MAX, TARGETS_MAX, 1800, 246, 0.9},
                               {GATEWAYS_MAX, TARGETS_MAX, 1800, 246, 0.4}};
  uint64_t seed = test_seed(41);
  for (int i = 0; i < 4; i++) {
    played p[3];
    for (int how = NOTHING; how <= TOLD; how++) {
      pw_random r = {seed, 0};
      p[how] = play(&loads[i], (way)how, &r);
    }
    printf("%d gateways, %.1f turned away: refused %.3f, alone %.3f, told "
           "%.3f; of what ran %.2f, %.2f, %.2f; after %.2f (%.2f)\n",
           loads[i].gateways, loads[i].x, p[NOTHING].refused, p[ALONE].refused,
           p[TOLD].refused, p[NOTHING].there, p[ALONE].there, p[TOLD].there,
           p[TOLD].after, p[NOTHING].after);
    CHECK(p[TOLD].refused < 0.01);
    CHECK(p[TOLD].after > 0.9 * p[NOTHING].after);
    if (loads[i].x > 0.5) {
      CHECK(p[NOTHING].refused > 0.1);
      CHECK(loads[i].gateways < 100 || p[ALONE].refused > 0.1);
    } else {
      CHECK(p[TOLD].there > 0.8 * p[NOTHING].there);
    }
  }
}

int main(void) {
  TESTS_BEGIN("reject");
  TEST(test_recent);
  TEST(test_put_off);
  TEST(test_full);
  TEST(test_out_of_reach);
  TEST(test_load);
  TESTS_END();
}
