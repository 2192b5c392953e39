/* pwtreereport.c: the report of a process to its parent in the distribution
** tree: states of targets, and counts of attempts for each version. */
#include "pwtreereport.h"

#include "pwbuf.h"
#include "pwpb.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#define STATES_PER_HELLO 24
#define POOLS_MAX 64   /* versions that are counted; the oldest is evicted */
#define BASES_MAX 4096 /* pairs of child and version; the oldest is evicted */

/* The newest known state of a target. */
typedef struct state_row {
  char target[PW_NAME_MAX];
  Pw__TargetState *state;
  char from[PW_NAME_MAX]; /* the child that sent it; "": none */
  int64_t at;             /* the state is at least as new as this, ms */
  int64_t changed;        /* when it was added or changed here, ms */
  UT_hash_handle hh;
} state_row;

/* Attempts of a pool, counted here and at the processes below. */
typedef struct count_row {
  char pool[PW_NAME_MAX * 2];
  uint64_t done, failed;
  int64_t changed;
  UT_hash_handle hh;
} count_row;

/* Counts of a pool in a child's last Hello. */
typedef struct base_row {
  char key[PW_NAME_MAX * 3]; /* "CHILD POOL" */
  uint64_t incarnation, done, failed;
  UT_hash_handle hh;
} base_row;

struct pw_treereport {
  state_row *states;
  count_row *counts;
  base_row *bases;
  uint64_t changes;
};

pw_treereport *pwtreereport_new(void) {
  return pw_alloc(sizeof(pw_treereport));
}

static void drop_state(pw_treereport *t, state_row *r) {
  HASH_DEL(t->states, r);
  pw__target_state__free_unpacked(r->state, NULL);
  free(r);
}

void pwtreereport_free(pw_treereport *t) {
  if (!t)
    return;
  state_row *s, *stmp;
  HASH_ITER(hh, t->states, s, stmp) {
    drop_state(t, s);
  }
  count_row *c, *ctmp;
  HASH_ITER(hh, t->counts, c, ctmp) {
    HASH_DEL(t->counts, c);
    free(c);
  }
  base_row *b, *btmp;
  HASH_ITER(hh, t->bases, b, btmp) {
    HASH_DEL(t->bases, b);
    free(b);
  }
  free(t);
}

/* --- targets --- */

static int is_same_model(const Pw__ModelState *a, const Pw__ModelState *b) {
  return !strcmp(a->model, b->model) && !strcmp(a->version, b->version) &&
         a->loaded == b->loaded && a->code == b->code &&
         a->attempt == b->attempt;
}

static int is_same(const Pw__TargetState *a, const Pw__TargetState *b) {
  if (a->gone != b->gone || a->n_models != b->n_models)
    return 0;
  for (size_t i = 0; i < a->n_models; i++)
    if (!is_same_model(a->models[i], b->models[i]))
      return 0;
  return 1;
}

/* Whether a state of time `at` is older than the known one. Only states from
** different children are compared by age; those from one child arrive in
** order. An age omits the time for which a Hello waited here to be read:
** compared by age, the second of two Hellos that waited while a control
** instance stalled for 0.4 s would look older by 3 ms and be dropped,
** although its state is sent only once. */
static int is_older(const state_row *r, const char *from, int64_t at) {
  return strcmp(r->from, from) != 0 && at < r->at;
}

/* Stores a state unless a newer one is known. */
static void store_state(pw_treereport *t, const Pw__TargetState *s,
                        const char *from, int64_t at, int64_t now) {
  state_row *r;
  HASH_FIND_STR(t->states, s->target, r);
  if (r && is_older(r, from, at))
    return;
  if (!r) {
    r = pw_alloc(sizeof *r);
    pw_copy(r->target, sizeof r->target, s->target);
    HASH_ADD_STR(t->states, target, r);
  }
  pw_copy(r->from, sizeof r->from, from);
  r->at = at;
  if (r->state && is_same(r->state, s))
    return;
  if (r->state)
    pw__target_state__free_unpacked(r->state, NULL);
  r->state = PWPB_COPY(s);
  r->changed = now;
  t->changes++;
}

void pwtreereport_child_left(pw_treereport *t, const pw_child *c, int64_t now) {
  if (!c->target[0])
    return;
  Pw__TargetState gone = PW__TARGET_STATE__INIT;
  gone.target = (char *)c->target;
  gone.gone = 1;
  store_state(t, &gone, "", c->last_hello_at, now);
}

const Pw__TargetState *pwtreereport_target(const pw_treereport *t,
                                           const char *target) {
  const state_row *r;
  HASH_FIND_STR(t->states, target, r);
  return r ? r->state : NULL;
}

uint64_t pwtreereport_changes(const pw_treereport *t) {
  return t->changes;
}

/* --- counts of attempts --- */

static count_row *count_of(pw_treereport *t, const char *pool) {
  count_row *c;
  HASH_FIND_STR(t->counts, pool, c);
  if (c)
    return c;
  if (HASH_COUNT(t->counts) >= POOLS_MAX) {
    c = t->counts;
    HASH_DEL(t->counts, c);
    free(c);
  }
  c = pw_alloc(sizeof *c);
  pw_copy(c->pool, sizeof c->pool, pool);
  HASH_ADD_STR(t->counts, pool, c);
  return c;
}

static void add_attempts(pw_treereport *t, const char *pool, uint64_t done,
                         uint64_t failed, int64_t now) {
  if (!done && !failed)
    return;
  count_row *c = count_of(t, pool);
  c->done += done;
  c->failed += failed;
  c->changed = now;
}

void pwtreereport_count(pw_treereport *t, const char *pool, int failed) {
  add_attempts(t, pool, !failed, !!failed, pwclock_ms());
}

static base_row *base_of(pw_treereport *t, const char *child,
                         const char *pool) {
  char key[sizeof((base_row *)0)->key];
  base_row *b;
  snprintf(key, sizeof key, "%s %s", child, pool);
  HASH_FIND_STR(t->bases, key, b);
  if (b)
    return b;
  if (HASH_COUNT(t->bases) >= BASES_MAX) {
    b = t->bases;
    HASH_DEL(t->bases, b);
    free(b);
  }
  b = pw_alloc(sizeof *b);
  pw_copy(b->key, sizeof b->key, key);
  HASH_ADD_STR(t->bases, key, b);
  return b;
}

/* Whether this incarnation of the child has sent a Hello before. */
static int is_known_child(pw_treereport *t, const Pw__Envelope *e) {
  base_row *b = base_of(t, e->from, "");
  int known = b->incarnation == e->incarnation;
  b->incarnation = e->incarnation;
  return known;
}

/* Adds what a child's count has risen since its last Hello. The first Hello
** of an incarnation only sets the base: earlier attempts are not counted
** again. */
static void add_count(pw_treereport *t, const Pw__Envelope *e,
                      const Pw__VersionCount *v, int known, int64_t now) {
  base_row *b = base_of(t, e->from, v->pool);
  if (known && v->done >= b->done && v->failed >= b->failed)
    add_attempts(t, v->pool, v->done - b->done, v->failed - b->failed, now);
  b->done = v->done;
  b->failed = v->failed;
}

void pwtreereport_sum(const pw_treereport *t, const char *pool, double *done,
                      double *failed) {
  const count_row *c;
  HASH_FIND_STR(t->counts, pool, c);
  *done = c ? (double)c->done : 0;
  *failed = c ? (double)c->failed : 0;
}

/* --- Hellos --- */

void pwtreereport_hello(pw_treereport *t, const Pw__Envelope *e, int64_t now) {
  const Pw__Hello *h = e->hello;
  for (size_t i = 0; i < h->n_states; i++)
    store_state(t, h->states[i], e->from, now - h->states[i]->age, now);
  int known = is_known_child(t, e);
  for (size_t i = 0; i < h->n_counts; i++)
    add_count(t, e, h->counts[i], known, now);
}

static void fill_states(pw_treereport *t, Pw__Hello *h, int64_t confirmed_at,
                        int64_t now) {
  h->states = pw_alloc(sizeof *h->states * STATES_PER_HELLO);
  for (state_row *r = t->states; r; r = r->hh.next) {
    if (r->changed < confirmed_at)
      continue;
    if (h->n_states == STATES_PER_HELLO) {
      r->changed = now; /* left for the next Hello */
      continue;
    }
    r->state->age = (uint32_t)(now - r->at);
    h->states[h->n_states++] = r->state;
  }
}

static void fill_counts(pw_treereport *t, Pw__Hello *h, int64_t confirmed_at) {
  h->counts = pw_alloc(sizeof *h->counts * POOLS_MAX);
  for (count_row *c = t->counts; c; c = c->hh.next) {
    if (c->changed < confirmed_at)
      continue;
    Pw__VersionCount *v = pw_alloc(sizeof *v);
    pw__version_count__init(v);
    v->pool = c->pool;
    v->done = c->done;
    v->failed = c->failed;
    h->counts[h->n_counts++] = v;
  }
}

void pwtreereport_fill(pw_treereport *t, Pw__Hello *h, int64_t confirmed_at,
                       int64_t now) {
  fill_states(t, h, confirmed_at, now);
  fill_counts(t, h, confirmed_at);
}

void pwtreereport_clear(Pw__Hello *h) {
  for (size_t i = 0; i < h->n_counts; i++)
    free(h->counts[i]);
  free(h->counts);
  free(h->states);
}
