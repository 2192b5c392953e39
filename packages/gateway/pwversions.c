/* pwversions.c: rollouts of services to another version, and counts of their answers. */
#include "pwversions.h"

#include <stdlib.h>
#include <string.h>

/* Answer counts on one route. */
typedef struct answers {
  char route[PW_NAME_MAX];
  uint64_t good[2], bad[2]; /* [0]: of the old versions, [1]: of the new one */
} answers;

typedef struct rollout {
  pw_fleet_rollout fleet;
  uint64_t begun;
  answers route[PWCANARY_ROUTES_MAX];
  int nroutes;
} rollout;

struct pw_versions {
  pw_gate *g;
  uint64_t revision; /* of the notice that the list is from */
  rollout *list;
  size_t n;
};

pw_versions *pwversions_new(pw_gate *g) {
  pw_versions *v = pw_alloc(sizeof *v);
  v->g = g;
  return v;
}

void pwversions_free(pw_versions *v) {
  if (!v)
    return;
  free(v->list);
  free(v);
}

static rollout *find(const pw_versions *v, const char *service) {
  for (size_t i = 0; i < v->n; i++)
    if (!strcmp(v->list[i].fleet.service, service))
      return &v->list[i];
  return NULL;
}

static pw_canary_state state_of(const Pw__ServiceRollout *in) {
  return in->state <= PWCANARY_REVERTED ? (pw_canary_state)in->state
                                        : PWCANARY_RUNNING;
}

/* Unpacks a rollout and keeps its counts if it is already known. */
static void unpack(const pw_versions *v, const Pw__ServiceRollout *in,
                   rollout *out) {
  const rollout *before = find(v, in->service);
  if (before && before->begun == in->begun)
    *out = *before;
  pw_copy(out->fleet.service, sizeof out->fleet.service, in->service);
  pw_copy(out->fleet.version, sizeof out->fleet.version, in->version);
  out->begun = in->begun;
  out->fleet.canary = (pw_canary){state_of(in), (int)in->share};
}

static void log_change(const pw_versions *v, const rollout *now, int64_t at) {
  const rollout *before = find(v, now->fleet.service);
  const pw_canary *c = &now->fleet.canary;
  if (before && before->begun == now->begun &&
      before->fleet.canary.state == c->state &&
      before->fleet.canary.share == c->share)
    return;
  pwtrace_line(v->g->trace, PWTRACE_STATE, at, "service-rollout",
               "service=%s version=%s state=%s share=%d", now->fleet.service,
               now->fleet.version, pwcanary_state_name(c->state), c->share);
}

static void apply(pw_versions *v, rollout *list, size_t n) {
  pw_fleet_rollout *fleet = pw_alloc(sizeof *fleet * (n + 1));
  for (size_t i = 0; i < n; i++)
    fleet[i] = list[i].fleet;
  pwfleet_rollouts(v->g->fleet, fleet, n);
  free(fleet);
  free(v->list);
  v->list = list;
  v->n = n;
}

void pwversions_take(pw_versions *v, const Pw__Notice *n, int64_t now) {
  if (n->revision <= v->revision)
    return;
  v->revision = n->revision;
  if (n->n_rollouts == 0 && v->n == 0)
    return;
  size_t n_rollouts =
      n->n_rollouts < PW_ROLLOUTS_MAX ? n->n_rollouts : PW_ROLLOUTS_MAX;
  rollout *list = pw_alloc(sizeof *list * (n_rollouts + 1));
  for (size_t i = 0; i < n_rollouts; i++) {
    unpack(v, n->rollouts[i], &list[i]);
    log_change(v, &list[i], now);
  }
  apply(v, list, n_rollouts);
}

int pwversions_is_running(const pw_versions *v) {
  for (size_t i = 0; i < v->n; i++)
    if (v->list[i].fleet.canary.state == PWCANARY_RUNNING)
      return 1;
  return 0;
}

/* Counts of a route. The last entry is shared by all routes that exceed the limit. */
static answers *route_of(rollout *r, const char *route) {
  for (int i = 0; i < r->nroutes; i++)
    if (!strcmp(r->route[i].route, route))
      return &r->route[i];
  if (r->nroutes == PWCANARY_ROUTES_MAX)
    return &r->route[PWCANARY_ROUTES_MAX - 1];
  answers *one = &r->route[r->nroutes++];
  pw_copy(one->route, sizeof one->route, route);
  return one;
}

void pwversions_note(pw_versions *v, const pw_target *t, const char *route,
                     int is_bad) {
  rollout *r = find(v, t->service);
  if (!r || r->fleet.canary.state != PWCANARY_RUNNING ||
      t->side == PWFLEET_ANY_VERSION)
    return;
  answers *one = route_of(r, route);
  int is_new = t->side == PWFLEET_NEW_VERSION;
  if (is_bad)
    one->bad[is_new]++;
  else
    one->good[is_new]++;
}

static size_t running_routes(const pw_versions *v) {
  size_t n = 0;
  for (size_t i = 0; i < v->n; i++)
    if (v->list[i].fleet.canary.state == PWCANARY_RUNNING)
      n += (size_t)v->list[i].nroutes;
  return n;
}

static Pw__Answers *pack(const rollout *r, const answers *one) {
  Pw__Answers *a = pw_alloc(sizeof *a);
  pw__answers__init(a);
  a->service = (char *)r->fleet.service;
  a->route = (char *)one->route;
  a->begun = r->begun;
  a->good_to = one->good[1];
  a->bad_to = one->bad[1];
  a->good_from = one->good[0];
  a->bad_from = one->bad[0];
  return a;
}

void pwversions_fill(const pw_versions *v, Pw__Watch *m) {
  size_t n = running_routes(v);
  if (!n)
    return;
  m->answers = pw_alloc(sizeof *m->answers * n);
  for (size_t i = 0; i < v->n; i++) {
    const rollout *r = &v->list[i];
    for (int k = 0; k < r->nroutes && r->fleet.canary.state == PWCANARY_RUNNING;
         k++)
      m->answers[m->n_answers++] = pack(r, &r->route[k]);
  }
}

void pwversions_clear(Pw__Watch *m) {
  for (size_t i = 0; i < m->n_answers; i++)
    free(m->answers[i]);
  free(m->answers);
  m->answers = NULL;
  m->n_answers = 0;
}
