/* pwfleetroll.c: services that are rolled out to targets of another version. */
#include "pwfleetint.h"

#include "pwbuf.h"

#include <stdlib.h>
#include <string.h>

static const pw_fleet_rollout *find(const pw_fleet_rollout *list, size_t n,
                                    const char *service) {
  for (size_t i = 0; i < n; i++)
    if (!strcmp(list[i].service, service))
      return &list[i];
  return NULL;
}

static int is_under_way(const pw_fleet_rollout *r) {
  return r && r->canary.state != PWCANARY_COMPLETE;
}

static pw_fleet_side side_of(const pw_target *t, const pw_fleet_rollout *r) {
  if (!is_under_way(r))
    return PWFLEET_BOTH;
  return strcmp(t->version, r->version) ? PWFLEET_FROM : PWFLEET_TO;
}

/* One takes part at least, the same at all gateways: that with the least hash. */
static void choose_part(pw_fleet *f, const pw_fleet_rollout *r) {
  pw_target *least = NULL;
  int n = 0;
  for (pw_target *t = f->by_id; t; t = t->hh.next) {
    if (strcmp(t->service, r->service) != 0 || t->side != PWFLEET_TO)
      continue;
    t->takes_part = pwcanary_takes_part(t->hash, r->canary.share);
    n += t->takes_part;
    if (!t->is_gone && (!least || t->hash < least->hash))
      least = t;
  }
  if (n == 0 && least && r->canary.share > 0)
    least->takes_part = 1;
}

void pwflt_sort(pw_fleet *f, const char *service) {
  const pw_fleet_rollout *r = find(f->rollouts, f->nrollouts, service);
  for (pw_target *t = f->by_id; t; t = t->hh.next)
    if (!strcmp(t->service, service))
      t->side = side_of(t, r);
  if (is_under_way(r))
    choose_part(f, r);
}

/* What is complete leaves the targets of other versions that are there behind; those that
** come later belong to what comes next. */
static void note_complete(pw_fleet *f, const pw_fleet_rollout *before,
                          const pw_fleet_rollout *now) {
  if (!before || !now || before->canary.state != PWCANARY_RUNNING ||
      now->canary.state != PWCANARY_COMPLETE)
    return;
  for (pw_target *t = f->by_id; t; t = t->hh.next)
    if (!strcmp(t->service, now->service) && t->side == PWFLEET_FROM)
      t->is_outdated = 1;
}

void pwfleet_rollouts(pw_fleet *f, const pw_fleet_rollout *list, size_t n) {
  pw_fleet_rollout *before = f->rollouts;
  size_t nbefore = f->nrollouts;
  f->rollouts = pw_alloc(sizeof *f->rollouts * (n + 1));
  if (n)
    memcpy(f->rollouts, list, sizeof *list * n);
  f->nrollouts = n;
  for (size_t i = 0; i < n; i++) {
    note_complete(f, find(before, nbefore, list[i].service), &list[i]);
    pwflt_sort(f, list[i].service);
  }
  for (size_t i = 0; i < nbefore; i++)
    if (!find(list, n, before[i].service))
      pwflt_sort(f, before[i].service);
  free(before);
}

pw_fleet_side pwfleet_side(const pw_fleet *f, const char *service,
                           double draw) {
  const pw_fleet_rollout *r = find(f->rollouts, f->nrollouts, service);
  if (!is_under_way(r))
    return PWFLEET_BOTH;
  return draw * PWCANARY_ALL < r->canary.share ? PWFLEET_TO : PWFLEET_FROM;
}
