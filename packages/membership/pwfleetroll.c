/* pwfleetroll.c: sides of a service's targets while it is rolled out to another version. */
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

static int is_active(const pw_fleet_rollout *r) {
  return r && r->canary.state != PWCANARY_COMPLETE;
}

static pw_fleet_side side_of(const pw_target *t, const pw_fleet_rollout *r) {
  if (!is_active(r))
    return PWFLEET_ANY_VERSION;
  return strcmp(t->version, r->version) ? PWFLEET_OLD_VERSION
                                        : PWFLEET_NEW_VERSION;
}

/* Puts targets of the new version into the canary, at least one: the one with the least hash,
** so that all gateways choose the same. */
static void choose_canary(pw_fleet *f, const pw_fleet_rollout *r) {
  pw_target *least = NULL;
  int n = 0;
  for (pw_target *t = f->by_id; t; t = t->hh.next) {
    if (strcmp(t->service, r->service) != 0 || t->side != PWFLEET_NEW_VERSION)
      continue;
    t->is_in_canary = pwcanary_takes_part(t->hash, r->canary.share);
    n += t->is_in_canary;
    if (!t->is_gone && (!least || t->hash < least->hash))
      least = t;
  }
  if (n == 0 && least && r->canary.share > 0)
    least->is_in_canary = 1;
}

void pwflt_sort(pw_fleet *f, const char *service) {
  const pw_fleet_rollout *r = find(f->rollouts, f->nrollouts, service);
  for (pw_target *t = f->by_id; t; t = t->hh.next)
    if (!strcmp(t->service, service))
      t->side = side_of(t, r);
  if (is_active(r))
    choose_canary(f, r);
}

/* Marks the targets of other versions as outdated when a rollout completes. Targets of other
** versions that join later are not marked: they belong to the next rollout. */
static void mark_outdated(pw_fleet *f, const pw_fleet_rollout *before,
                          const pw_fleet_rollout *now) {
  if (!before || !now || before->canary.state != PWCANARY_RUNNING ||
      now->canary.state != PWCANARY_COMPLETE)
    return;
  for (pw_target *t = f->by_id; t; t = t->hh.next)
    if (!strcmp(t->service, now->service) && t->side == PWFLEET_OLD_VERSION)
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
    mark_outdated(f, find(before, nbefore, list[i].service), &list[i]);
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
  if (!is_active(r))
    return PWFLEET_ANY_VERSION;
  return draw * PWCANARY_ALL < r->canary.share ? PWFLEET_NEW_VERSION
                                               : PWFLEET_OLD_VERSION;
}
