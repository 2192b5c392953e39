/* pwservedrecord.c: records in the replicated log which software versions of
** each service's targets serve or served lately. */
#include "pwservedrecord.h"

#include "pwbuf.h"
#include "pwlog.h"
#include "pworigins.h"

#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#define CHECK_MS 100 /* interval of comparisons of targets and record */

/* A proposal that was not applied is repeated after this time, ms. */
#define REPEAT_MS 1000

/* A software version of a service's targets. */
typedef struct version {
  uint64_t hash; /* of the service and the version */
  char service[PW_NAME_MAX];
  char name[PW_NAME_MAX];
  int64_t seen_at; /* when it last had a target, ms */
  UT_hash_handle hh;
} version;

struct pw_served_record {
  pw_group *group;
  const pw_watch *watch;
  version *versions; /* empty unless this instance leads */
  int64_t checked_at;
  int64_t proposed_at;
  /* pw_served.number once all that was proposed is applied */
  uint64_t awaited_number;
};

pw_served_record *pwservedrecord_new(pw_group *group, const pw_watch *watch) {
  pw_served_record *r = pw_alloc(sizeof *r);
  r->group = group;
  r->watch = watch;
  return r;
}

static void drop(pw_served_record *r, version *v) {
  HASH_DEL(r->versions, v);
  free(v);
}

static void drop_all(pw_served_record *r) {
  version *v, *tmp;
  HASH_ITER(hh, r->versions, v, tmp) {
    drop(r, v);
  }
}

void pwservedrecord_free(pw_served_record *r) {
  if (!r)
    return;
  drop_all(r);
  free(r);
}

static const pw_served *record_of(const pw_served_record *r) {
  return pwstate_served(pwgroup_state(r->group));
}

/* The entry of a version; it is added, as seen now, if there is none. */
static version *version_of(pw_served_record *r, const char *service,
                           const char *name, int64_t now) {
  uint64_t hash = pwfleet_version_hash(service, name);
  version *v;
  HASH_FIND(hh, r->versions, &hash, sizeof hash, v);
  if (v)
    return v;
  v = pw_alloc(sizeof *v);
  v->hash = hash;
  v->seen_at = now;
  pw_copy(v->service, sizeof v->service, service);
  pw_copy(v->name, sizeof v->name, name);
  HASH_ADD(hh, r->versions, hash, sizeof v->hash, v);
  return v;
}

static void note_recorded(pw_served_record *r, int64_t now) {
  const pw_served *s = record_of(r);
  for (size_t i = 0; i < s->n; i++)
    for (size_t k = 0; k < s->list[i]->n_versions; k++)
      version_of(r, s->list[i]->service, s->list[i]->versions[k], now);
}

typedef struct target_visit {
  pw_served_record *r;
  int64_t now;
} target_visit;

static void note_target(void *arg, const pw_target *t) {
  const target_visit *visit = arg;
  if (!t->is_gone)
    version_of(visit->r, t->service, t->version, visit->now)->seen_at =
        visit->now;
}

static int is_recorded(const pw_served_record *r, const version *v) {
  return pwserved_has(pwserved_get(record_of(r), v->service), v->name);
}

static int is_current(const version *v, int64_t now) {
  return now - v->seen_at <= PWORIGINS_KEEP_MS;
}

/* Drops versions that are over and not recorded any more. Those that still
** are recorded stay: they would count as just seen again. */
static void drop_ended(pw_served_record *r, int64_t now) {
  version *v, *tmp;
  HASH_ITER(hh, r->versions, v, tmp) {
    if (!is_current(v, now) && !is_recorded(r, v))
      drop(r, v);
  }
}

/* Fills `m` with the versions that the record of a service should have; those
** that it has come first, so that they stay if there are too many. */
static void fill(const pw_served_record *r, const char *service,
                 Pw__ServedVersions *m, char *list[PWSERVED_VERSIONS_MAX],
                 int64_t now) {
  pw__served_versions__init(m);
  m->service = (char *)service;
  m->versions = list;
  for (int recorded = 1; recorded >= 0; recorded--)
    for (version *v = r->versions; v; v = v->hh.next)
      if (!strcmp(v->service, service) && is_current(v, now) &&
          is_recorded(r, v) == recorded &&
          m->n_versions < PWSERVED_VERSIONS_MAX)
        list[m->n_versions++] = v->name;
}

static int differs(const pw_served_record *r, const Pw__ServedVersions *m) {
  const Pw__ServedVersions *old = pwserved_get(record_of(r), m->service);
  if (m->n_versions != (old ? old->n_versions : 0))
    return 1;
  for (size_t i = 0; i < m->n_versions; i++)
    if (!pwserved_has(old, m->versions[i]))
      return 1;
  return 0;
}

/* Proposes the record of a service if it has changed. */
static void propose(pw_served_record *r, const char *service, int64_t now) {
  Pw__ServedVersions m;
  char *list[PWSERVED_VERSIONS_MAX] = {0};
  fill(r, service, &m, list, now);
  if (!differs(r, &m))
    return;
  Pw__Command cmd = PW__COMMAND__INIT;
  cmd.wall = (uint64_t)pwclock_wall_ms();
  cmd.body_case = PW__COMMAND__BODY_SERVED;
  cmd.served = &m;
  uint64_t index = 0, term = 0;
  pw_code rc = pwgroup_propose(r->group, &cmd, &index, &term);
  r->proposed_at = now;
  r->awaited_number += rc == PW_OK;
  pwlog(rc == PW_OK ? LOG_NOTICE : LOG_WARNING, "served-versions",
        "service=%s versions=%zu first=%s last=%s code=%d", service,
        m.n_versions, m.n_versions ? list[0] : "-",
        m.n_versions ? list[m.n_versions - 1] : "-", (int)rc);
}

static int is_first_of_service(const version *v) {
  for (const version *u = v->hh.prev; u; u = u->hh.prev)
    if (!strcmp(u->service, v->service))
      return 0;
  return 1;
}

static void check(pw_served_record *r, int64_t now) {
  target_visit visit = {r, now};
  note_recorded(r, now);
  pwwatch_each_target(r->watch, note_target, &visit);
  drop_ended(r, now);
  uint64_t number = record_of(r)->number;
  if (number < r->awaited_number && now - r->proposed_at < REPEAT_MS)
    return;
  r->awaited_number = number;
  for (const version *v = r->versions; v; v = v->hh.next)
    if (is_first_of_service(v))
      propose(r, v->service, now);
}

void pwservedrecord_tick(pw_served_record *r, int64_t now) {
  if (!pwgroup_lease(r->group, now)) {
    drop_all(r);
    return;
  }
  if (now - r->checked_at < CHECK_MS)
    return;
  r->checked_at = now;
  check(r, now);
}
