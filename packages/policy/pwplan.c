/* pwplan.c: which target is to load which version of a model next. */
#include "pwplan.h"

#include "pwbuf.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#define ALL 100.0

/* A slot with its rank for sorting. */
typedef struct choice {
  const pw_plan_slot *s;
  int at;   /* index of the slot */
  int rank; /* lower is first */
} choice;

static int by_rank(const void *a, const void *b) {
  const choice *x = a;
  const choice *y = b;
  if (x->rank != y->rank)
    return x->rank - y->rank;
  return (x->s->id > y->s->id) - (x->s->id < y->s->id);
}

static int loads(const pw_plan_slot *s, const char *version) {
  return s->has_load && !strcmp(s->load, version);
}

static int is_loading(const pw_plan_slot *s) {
  return s->has_load && !s->load_ended;
}

int pwplan_serving(const pw_plan_slot *slot, int n, const char *version) {
  int count = 0;
  for (int i = 0; i < n; i++) {
    const pw_plan_slot *s = &slot[i];
    if (s->usable && s->has_serve)
      count += !version || !strcmp(s->serve, version);
  }
  return count;
}

double pwplan_ready(const pw_plan_slot *slot, int n, const char *version) {
  int all = pwplan_serving(slot, n, NULL);
  return all ? ALL * pwplan_serving(slot, n, version) / all : 0;
}

int64_t pwplan_backoff(int failures) {
  int64_t ms = PWPLAN_RETRY_MS;
  for (int i = 1; i < failures && ms < PWPLAN_RETRY_MAX_MS; i++)
    ms *= 2;
  return ms < PWPLAN_RETRY_MAX_MS ? ms : PWPLAN_RETRY_MAX_MS;
}

/* Before anything else, loaded versions go into service and lost ones out of
** it. */
static pw_plan_step follow_loads(const pw_plan_slot *slot, int n) {
  for (int i = 0; i < n; i++) {
    const pw_plan_slot *s = &slot[i];
    int in_service = s->has_serve && !strcmp(s->serve, s->load);
    if (!s->has_load || !s->load_ended)
      continue;
    if (s->loaded && !in_service)
      return (pw_plan_step){PW_PLAN_SERVE, i, NULL};
    if (!s->loaded && s->has_serve)
      return (pw_plan_step){PW_PLAN_PAUSE, i, NULL};
  }
  return (pw_plan_step){0};
}

/* Sorts the usable slots by which are to serve the model first: in service,
** then with an order, then the rest. Returns their number. */
static int order_slots(const pw_plan_slot *slot, int n, choice *out) {
  int count = 0;
  for (int i = 0; i < n; i++) {
    if (!slot[i].usable)
      continue;
    int rank = slot[i].has_serve ? 0 : slot[i].has_load ? 1 : 2;
    out[count++] = (choice){&slot[i], i, rank};
  }
  qsort(out, (size_t)count, sizeof *out, by_rank);
  return count;
}

/* Sorts by which are to serve `to` first: ordered to load it, then out of
** service, then the rest. */
static void order_for(const char *to, choice *c, int n) {
  for (int i = 0; i < n; i++)
    c[i].rank = loads(c[i].s, to) ? 0 : c[i].s->has_serve ? 2 : 1;
  qsort(c, (size_t)n, sizeof *c, by_rank);
}

/* Number of slots out of service, without those that fail again and again: one
** broken target does not block all others. */
static int count_out(const choice *c, int n) {
  int out_of_service = 0;
  for (int i = 0; i < n; i++)
    out_of_service +=
        !c[i].s->has_serve && c[i].s->failures < PWPLAN_FAILURES_MAX;
  return out_of_service;
}

/* Whether the slot is to be ordered to load the version, or ordered again. */
static int needs_load(const pw_plan_slot *s, const char *version, int64_t now) {
  if (is_loading(s))
    return 0;
  if (!s->has_load)
    return !s->has_serve || strcmp(s->serve, version) != 0;
  if (strcmp(s->load, version) != 0)
    return 1;
  return !s->loaded && now >= s->retry_at;
}

static pw_plan_step next_load(const pw_plan_input *in, const choice *c, int n,
                              int64_t now) {
  int to = (int)ceil(n * in->share / ALL);
  int most = (int)(n * PWPLAN_OUT_SHARE);
  int room = (most > 1 ? most : 1) - count_out(c, n);
  for (int i = 0; i < n; i++) {
    const char *version = i < to ? in->to : in->from;
    if (!needs_load(c[i].s, version, now))
      continue;
    if (!c[i].s->has_serve || room > 0)
      return (pw_plan_step){PW_PLAN_LOAD, c[i].at, version};
  }
  return (pw_plan_step){0};
}

pw_plan_step pwplan_next(const pw_plan_input *in, const pw_plan_slot *slot,
                         int n, int64_t now) {
  pw_plan_step step = follow_loads(slot, n);
  if (step.kind != PW_PLAN_NONE || n <= 0)
    return step;
  choice *c = pw_alloc(sizeof *c * (size_t)n);
  int count = order_slots(slot, n, c);
  int wanted = in->replicas && in->replicas < count ? in->replicas : count;
  for (int i = wanted; i < count && step.kind == PW_PLAN_NONE; i++)
    if (c[i].s->has_load || c[i].s->has_serve)
      step = (pw_plan_step){PW_PLAN_RETIRE, c[i].at, NULL};
  order_for(in->to, c, wanted);
  if (step.kind == PW_PLAN_NONE && in->may_load)
    step = next_load(in, c, wanted, now);
  free(c);
  return step;
}
