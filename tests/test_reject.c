/* test_reject.c: unit tests of targets that reject requests though they have free slots.
**
** Five of 18 targets rejected six in ten of their requests, with a proof that these did not run and
** without a hold-off. Each rejection cost a retry. When the retries were used up, 84 of 692 callers in
** two seconds were refused though two thirds of the targets were free. A gateway sent the next request
** to the same target, since its load was the lowest:
**   ev=turned-away target=i-8ec6 status=503 hold_off_ms=0
**   ev=placed target=i-8ec6 n=1
** With 103 gateways and 180 targets, each gateway met such a target once in ten seconds and alone
** learned nothing from it. */
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
  for (int i = 0; i < 100; i++) /* the number does not matter */
    pwreject_note(&r, 2200);
  CHECK(pwreject_is_recent(&r, 3699) && !pwreject_is_recent(&r, 3700));
  CHECK(pwreject_had_room(9, 12) && !pwreject_had_room(10, 12));
}

/* --- targets --- */

static void join(pw_fleet *f, int i) {
  pw_heartbeat b = {.slots = SLOTS, .seq = 1, .born = 1000};
  snprintf(b.id, sizeof b.id, "t%d", i);
  pw_copy(b.service, sizeof b.service, "s");
  snprintf(b.address, sizeof b.address, "10.0.0.1:%d", 1000 + i);
  pw_copy(b.availability_zone, sizeof b.availability_zone, "az-1");
  CHECK(pwfleet_heartbeat(f, &b, 0, 1000) == PWFLEET_JOINED);
}

static pw_fleet *fleet_of(int targets) {
  pw_fleet *f = pwfleet_new("az-1", BEAT_MS, KEEP_MS);
  for (int i = 0; i < targets; i++)
    join(f, i);
  return f;
}

static int saves_retries; /* few retries are left */

static pw_target *pick(pw_fleet *f, uint64_t key, double draw,
                       pw_target *const *tried, int ntried, int64_t now) {
  pw_fleet_criteria ask = {.service = "s",
                           .save_retries = saves_retries,
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
    pwfleet_release(got.target);
  return got.target;
}

/* While few retries are left, other targets are preferred for a second and a half after a rejection.
** Without a free slot elsewhere, requests go there all the same. */
static void test_avoided(void) {
  pw_fleet *f = fleet_of(3);
  saves_retries = 0;
  pw_target *a = pick(f, 7, 0, NULL, 0, 1000);
  pwfleet_rejected(a, 1, 1000);
  CHECK(pick(f, 7, 0.5, NULL, 0, 1500) == a); /* retries are left */
  saves_retries = 1;
  for (uint64_t key = 0; key < 100; key++)
    CHECK(pick(f, key, 0.5, NULL, 0, 1500) != a);
  CHECK(pwfleet_usable(f, "s", 1500) == 3); /* its slots count */
  CHECK(pwfleet_sum(f, "s", PWFLEET_ANY_VERSION, 1500).slots == 3 * SLOTS);
  for (pw_target *t = pwfleet_first(f); t; t = t->hh.next)
    t->inflight = t == a ? 0 : SLOTS; /* the others are full */
  CHECK(pick(f, 7, 0.5, NULL, 0, 1500) == a);
  CHECK(pick(f, 0, 0.5, NULL, 0, 1500) == a);
  for (pw_target *t = pwfleet_first(f); t; t = t->hh.next)
    t->inflight = 0;
  CHECK(pick(f, 7, 0.5, NULL, 0, 2500) == a);
  pwfleet_free(f);
}

/* A rejection by a full target has no effect, and if all targets reject, none is preferred. */
static void test_full_or_all(void) {
  pw_fleet *f = fleet_of(3);
  pw_target *a = pick(f, 7, 0, NULL, 0, 1000);
  pwfleet_rejected(a, 0, 1000);
  saves_retries = 1;
  CHECK(pick(f, 7, 0, NULL, 0, 1000) == a);
  for (pw_target *t = pwfleet_first(f); t; t = t->hh.next)
    pwfleet_rejected(t, 1, 1000);
  CHECK(pick(f, 7, 0, NULL, 0, 1000) == a);
  pwfleet_free(f);
}

/* When a third of the targets became unresponsive, each of 103 gateways waited 0.3 s for a connection
** to each of them, and 401 of 3,563 callers in two seconds were answered up to eight seconds late. So
** a gateway reports failed connects to the others. A single failed connect to a target that has just
** sent something does not count, since one lost packet can cause it. */
static void test_unreachable(void) {
  pw_fleet *f[2] = {fleet_of(3), fleet_of(3)};
  pw_target *own_view = pwfleet_find(f[0], "t1"),
            *peer_view = pwfleet_find(f[1], "t1");
  pw_loads all = {0}, own = {0}, nothing = {0};
  saves_retries = 0;
  own_view->received_at = 60000;
  pwfleet_connect_failed(own_view, 60001);
  CHECK(!pwreject_is_recent(&own_view->connect_failures, 60001));
  own_view->failures = 0;
  pwfleet_connect_failed(own_view, 62000);
  CHECK(own_view->ejected_until > 62000);
  CHECK(pwreject_is_recent(&own_view->connect_failures, 62000));
  pwloads_add(&own, own_view->connect_failure_hash, 1);
  pwloads_add(&all, own_view->connect_failure_hash, 1);
  pwfleet_note_loads(f[1], &all, &nothing, 100);
  CHECK(peer_view->ejected_until == 0);
  for (uint64_t key = 0; key < 100; key++)
    CHECK(pick(f[1], key, 0.5, NULL, 0, 62100) != peer_view);
  pwfleet_note_loads(f[1], &nothing, &nothing, 100); /* no longer reported */
  int back = 0;
  for (uint64_t key = 0; key < 100; key++)
    back += pick(f[1], key, 0.5, NULL, 0, 64000) == peer_view;
  CHECK(back > 0);
  pwloads_free(&all);
  pwloads_free(&own);
  pwfleet_free(f[0]);
  pwfleet_free(f[1]);
}

/* --- simulation of many gateways --- */

/* What gateways learn from rejections: nothing, from their own alone, or also from reports of the
** others. */
typedef enum mode { NOTHING, ALONE, REPORTED } mode;

/* Size and load of the simulation. */
typedef struct load {
  int gateways, targets;
  double per_s;
  double slack; /* retries in ten seconds, besides a fifth of the requests */
  double reject_share; /* part of its requests that such a target rejects */
} load;

typedef struct result {
  double refused; /* share of the callers, while some targets reject */
  double during;  /* share of the running requests at rejecting targets */
  double after;   /* share of the requests sent to these targets from two
                  ** seconds after they stopped rejecting on */
} result;

enum {
  BEGIN_MS = 1000,
  REJECT_FROM_MS = 6000,
  REJECT_TO_MS = 14000,
  END_MS = 18000,
  WORK_MS = 300,
  REPORT_MS = 100, /* interval and age of reports */
  WINDOW_MS = 10000,
  TRIES_MAX = 5,
  IN_ONE_MS = 64, /* most requests that begin in one ms */
  GATEWAYS_MAX = 103
};

typedef struct world {
  const load *l;
  mode how;
  pw_random *r;
  pw_fleet *f[GATEWAYS_MAX];
  pw_retries retries[GATEWAYS_MAX];
  /* Targets of the running requests, by the ms of their end modulo WORK_MS. */
  pw_target *ends[WORK_MS][IN_ONE_MS];
  int nends[WORK_MS];
  long asked, refused; /* callers while some targets reject */
  long ran, ran_there; /* requests run meanwhile, and at rejecting targets */
  long after, after_there; /* the same after REJECT_TO_MS + 2000 */
} world;

/* Every gateway gets the loads that all gateways had 100 ms ago. */
static void report_all(world *w, int64_t now) {
  static pw_loads own[GATEWAYS_MAX];
  pw_loads all = {0};
  for (int g = 0; g < w->l->gateways; g++) {
    pwloads_clear(&own[g]);
    for (pw_target *t = pwfleet_first(w->f[g]); t; t = t->hh.next) {
      uint32_t rejects = w->how == REPORTED
                             ? (uint32_t)pwreject_is_recent(&t->rejects, now)
                             : 0;
      pwloads_add(&own[g], t->short_hash, (uint32_t)t->inflight);
      pwloads_add(&own[g], t->reject_hash, rejects);
      pwloads_add(&all, t->short_hash, (uint32_t)t->inflight);
      pwloads_add(&all, t->reject_hash, rejects);
    }
  }
  for (int g = 0; g < w->l->gateways; g++)
    pwfleet_note_loads(w->f[g], &all, &own[g], REPORT_MS);
  pwloads_free(&all);
}

static int is_rejecting(const world *w, const pw_target *t) {
  return atoi(t->id + 1) < w->l->targets * 3 / 10;
}

static void end_due_requests(world *w, int64_t now) {
  int slot = (int)(now % WORK_MS);
  for (int i = 0; i < w->nends[slot]; i++)
    w->ends[slot][i]->inflight--;
  w->nends[slot] = 0;
}

static void run_at(world *w, pw_target *t, int64_t now) {
  int slot = (int)(now % WORK_MS);
  int rejecting = now >= REJECT_FROM_MS && now < REJECT_TO_MS;
  w->ran += rejecting;
  w->ran_there += rejecting && is_rejecting(w, t);
  if (w->nends[slot] == IN_ONE_MS)
    return;
  t->inflight++;
  w->ends[slot][w->nends[slot]++] = t;
}

/* Sends one request, which is retried at another target after a rejection while retries are left. */
static void send_one(world *w, int64_t now) {
  int rejecting = now >= REJECT_FROM_MS && now < REJECT_TO_MS;
  int g = (int)(pwrand_unit(w->r) * w->l->gateways);
  uint64_t key = 1 + (uint64_t)(pwrand_unit(w->r) * 400);
  pw_target *tried[TRIES_MAX];
  pwretries_request(&w->retries[g], now);
  w->asked += rejecting;
  for (int n = 0; n < TRIES_MAX; n++) {
    saves_retries = pwretries_is_scarce(&w->retries[g], w->l->gateways,
                                        pwrand_unit(w->r), now);
    pw_target *t = pick(w->f[g], key, pwrand_unit(w->r), tried, n, now);
    if (!t)
      break;
    tried[n] = t;
    w->after += now > REJECT_TO_MS + 2000;
    w->after_there += now > REJECT_TO_MS + 2000 && is_rejecting(w, t);
    if (!rejecting || !is_rejecting(w, t) ||
        pwrand_unit(w->r) >= w->l->reject_share) {
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

/* Simulates three in ten targets that reject a share of their requests for eight seconds. */
static result simulate(const load *l, mode how, pw_random *r) {
  static world w;
  w = (world){.l = l, .how = how, .r = r};
  for (int g = 0; g < l->gateways; g++) {
    w.f[g] = fleet_of(l->targets);
    pwretries_init(&w.retries[g], 0.2, l->slack, WINDOW_MS);
  }
  double due = 0;
  for (int64_t now = BEGIN_MS; now < END_MS; now++) {
    end_due_requests(&w, now);
    if (now % REPORT_MS == 0)
      report_all(&w, now);
    due += l->per_s / 1000;
    while (due >= 1) {
      send_one(&w, now);
      due -= 1;
    }
  }
  for (int g = 0; g < l->gateways; g++)
    pwfleet_free(w.f[g]);
  return (result){(double)w.refused / (double)w.asked,
                  (double)w.ran_there / (double)w.ran,
                  (double)w.after_there / (double)w.after};
}

/* With reports, no callers are refused because of rejections, with few gateways and with many, where
** a gateway's own evidence is not enough. Two seconds after targets stop rejecting they get their share
** of requests again. Targets that reject four in ten still get requests while retries last: without
** them the others had half as much again to do, and at three times the load a third of the callers were
** refused or answered late. */
static void test_load(void) {
  static const load loads[] = {{5, 18, 330, 56, 0.9},
                               {5, 18, 330, 56, 0.4},
                               {GATEWAYS_MAX, TARGETS_MAX, 1800, 246, 0.9},
                               {GATEWAYS_MAX, TARGETS_MAX, 1800, 246, 0.4}};
  uint64_t seed = test_seed(41);
  for (int i = 0; i < 4; i++) {
    result p[3];
    for (int how = NOTHING; how <= REPORTED; how++) {
      pw_random r = {seed, 0};
      p[how] = simulate(&loads[i], (mode)how, &r);
    }
    printf("%d gateways, %.1f rejected: callers refused %.3f, alone %.3f, "
           "reported %.3f; share running there %.2f, %.2f, %.2f; after %.2f "
           "(%.2f)\n",
           loads[i].gateways, loads[i].reject_share, p[NOTHING].refused,
           p[ALONE].refused, p[REPORTED].refused, p[NOTHING].during,
           p[ALONE].during, p[REPORTED].during, p[REPORTED].after,
           p[NOTHING].after);
    CHECK(p[REPORTED].refused < 0.01);
    CHECK(p[REPORTED].after > 0.9 * p[NOTHING].after);
    if (loads[i].reject_share > 0.5) {
      CHECK(p[NOTHING].refused > 0.1);
      CHECK(loads[i].gateways < 100 || p[ALONE].refused > 0.1);
    } else {
      CHECK(p[REPORTED].during > 0.8 * p[NOTHING].during);
    }
  }
}

int main(void) {
  TESTS_BEGIN("reject");
  TEST(test_recent);
  TEST(test_avoided);
  TEST(test_full_or_all);
  TEST(test_unreachable);
  TEST(test_load);
  TESTS_END();
}
