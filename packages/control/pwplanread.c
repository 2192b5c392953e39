/* pwplanread.c: reads models, versions, adapters and targets from the
** resources, for the planner. */
#include "pwplannerint.h"

#include "pwbuf.h"
#include "pwjson.h"

#include <stdlib.h>
#include <string.h>

void pwpl_clear(pw_planner *pl) {
  target *t, *ttmp;
  HASH_ITER(hh, pl->targets, t, ttmp) {
    HASH_DEL(pl->targets, t);
    free(t->slot);
    free(t);
  }
  model *m, *mtmp;
  HASH_ITER(hh, pl->models, m, mtmp) {
    HASH_DEL(pl->models, m);
    free(m);
  }
  pl->read_revision = 0;
}

static model *model_of(pw_planner *pl, const char *name) {
  model *m;
  HASH_FIND_STR(pl->models, name, m);
  if (m)
    return m;
  m = pw_alloc(sizeof *m);
  pw_copy(m->name, sizeof m->name, name);
  m->rollout.share = 100;
  HASH_ADD_STR(pl->models, name, m);
  return m;
}

static target *target_of(pw_planner *pl, const char *name) {
  target *t;
  HASH_FIND_STR(pl->targets, name, t);
  if (t)
    return t;
  t = pw_alloc(sizeof *t);
  pw_copy(t->name, sizeof t->name, name);
  t->id = pwplace_id(name);
  HASH_ADD_STR(pl->targets, name, t);
  return t;
}

static void read_model(pw_planner *pl, const pw_resource *one,
                       const json_t *spec) {
  model *m = model_of(pl, one->name);
  m->resource_version = one->deleted ? 0 : one->version;
  m->replicas = (int)pwjson_number(spec, "replicas", 0);
  m->managed = json_object_get(spec, "version") || m->replicas;
  pw_copy(m->wanted_version, sizeof m->wanted_version,
          pwjson_text(spec, "version"));
}

static void read_rollout(pw_planner *pl, const pw_resource *one) {
  model *m = model_of(pl, one->name);
  m->has_rollout = pwassign_read_rollout(pl->res, one->name, &m->rollout);
  m->rollout_version = one->deleted ? 0 : one->version;
}

static void read_adapters(pw_planner *pl) {
  for (model *m = pl->models; m; m = m->hh.next)
    m->nadapters = 0;
  for (const pw_resource *one = pwres_first(pl->res); one; one = one->next) {
    if (!pwres_is_live(one, "adapter"))
      continue;
    json_t *spec = json_loads(one->spec, 0, NULL);
    model *m = model_of(pl, pwjson_text(spec, "model"));
    if (m->nadapters < PWASSIGN_ADAPTERS)
      pw_copy(m->adapter[m->nadapters++], PW_NAME_MAX, one->name);
    json_decref(spec);
  }
}

const slot *pwpl_find_slot(const slot *list, int n, const char *name) {
  for (int i = 0; i < n; i++)
    if (!strcmp(list[i].model, name))
      return &list[i];
  return NULL;
}

static void add_slot(target *t, const char *name, const pw_assigned *row,
                     const slot *old) {
  slot *s = &t->slot[t->nslots++];
  *s = (slot){.t = t};
  if (old) {
    s->failed_attempt = old->failed_attempt;
    s->s.failures = old->s.failures;
    s->s.retry_at = old->s.retry_at;
  }
  pw_copy(s->model, sizeof s->model, name);
  s->s.id = t->id;
  if (!row)
    return;
  s->attempt = row->attempt;
  s->s.has_load = row->has_load;
  s->s.has_serve = row->has_serve;
  pw_copy(s->s.load, sizeof s->s.load, row->load);
  pw_copy(s->s.serve, sizeof s->s.serve, row->serve);
}

/* Reads a target together with its assignment. */
static void read_target(pw_planner *pl, const char *name) {
  const pw_resource *one = pwres_get(pl->res, "target", name);
  json_t *spec = one ? json_loads(one->spec, 0, NULL) : NULL;
  target *t = target_of(pl, name);
  slot *old = t->slot;
  int nold = t->nslots;
  pw_assignment *a = pw_alloc(sizeof *a);
  pwassign_read(pl->res, name, a);
  t->gone = one == NULL;
  t->drain = json_is_true(json_object_get(spec, "drain"));
  pw_copy(t->role, sizeof t->role, pwjson_text(spec, "role"));
  t->slot = pw_alloc(sizeof *t->slot * PWASSIGN_MODELS);
  t->nslots = 0;
  size_t i;
  const json_t *m;
  json_array_foreach(json_object_get(spec, "models"), i, m) {
    const char *key = json_string_value(m);
    if (key && t->nslots < PWASSIGN_MODELS)
      add_slot(t, key, pwassign_model(a, key), pwpl_find_slot(old, nold, key));
  }
  free(old);
  free(a);
  json_decref(spec);
}

static void read_policy(pw_planner *pl, const json_t *spec) {
  pl->weights_rate = pwjson_number(spec, "weights_bytes_per_s", 0);
  pl->loads_at_once =
      (int)pwjson_number(spec, "loads_at_once", PWPL_LOADS_AT_ONCE);
}

static void read_one(pw_planner *pl, const pw_resource *one, int *adapters) {
  json_t *spec = json_loads(one->spec, 0, NULL);
  if (!strcmp(one->kind, "model"))
    read_model(pl, one, spec);
  else if (!strcmp(one->kind, "rollout"))
    read_rollout(pl, one);
  else if (!strcmp(one->kind, "adapter"))
    *adapters = 1;
  else if (!strcmp(one->kind, "target") || !strcmp(one->kind, "assignment"))
    read_target(pl, one->name);
  else if (!strcmp(one->kind, "policy") && !strcmp(one->name, "default"))
    read_policy(pl, spec);
  json_decref(spec);
}

void pwpl_read(pw_planner *pl) {
  int adapters = 0;
  if (pl->read_revision != pwres_revision(pl->res))
    pl->last_pass_at = 0; /* the next pass is due at once */
  if (pl->read_revision < pwres_floor(pl->res))
    pwpl_clear(pl);
  for (const pw_resource *one = pwres_after(pl->res, pl->read_revision); one;
       one = one->next)
    read_one(pl, one, &adapters);
  if (adapters)
    read_adapters(pl);
  pl->read_revision = pwres_revision(pl->res);
}
