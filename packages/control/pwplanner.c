/* pwplanner.c: makes what operators declare about models true. */
#include "pwplanner.h"

#include "pwassign.h"
#include "pwbuf.h"
#include "pwjson.h"
#include "pwplace.h"
#include "pwplan.h"

#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#define PASS_MS 1000 /* between passes in which nothing has changed */
#define BATCH_MAX 8  /* targets whose assignments one change writes */
#define LOADS_AT_ONCE 2

typedef struct target target;

/* One target as a carrier of one model. */
typedef struct slot {
  target *t;
  char model[PW_NAME_MAX];
  uint64_t attempt; /* of its order */
  uint64_t failed;  /* attempt whose failure was counted */
  pw_plan_slot s;
} slot;

struct target {
  char name[PW_NAME_MAX];
  uint64_t id;
  int drain;
  int gone; /* its resource is deleted */
  char role[PW_NAME_MAX];
  slot *slot;
  int nslots;
  int in_batch; /* number of the batch that writes it */
  UT_hash_handle hh;
};

typedef struct model {
  char name[PW_NAME_MAX];
  uint64_t asked; /* version of its resource; 0: deleted */
  char wanted[PW_NAME_MAX];
  int replicas;
  int managed;
  int has_rollout;
  pw_rollout rollout;
  uint64_t rollout_version;
  char adapter[PWASSIGN_ADAPTERS][PW_NAME_MAX];
  int nadapters;
  double done_to, failed_to, done_from, failed_from; /* when the step began */
  int counted_step; /* step and version that these are of */
  char counted[PW_NAME_MAX];
  int64_t full_at; /* when the step's share came in force; 0: not yet */
  UT_hash_handle hh;
} model;

struct pw_planner {
  const pw_res *res;
  const pw_news *news;
  target *targets;
  model *models;
  uint64_t read; /* revision up to which the resources were read */
  uint64_t seen; /* changes of the news that were looked at */
  int64_t passed;
  int64_t next_load; /* the weight store's limit */
  double weights;    /* its bytes a second; 0: no limit */
  int loads_at_once;
  int batch; /* number of the batch */
  int proposed;
};

pw_planner *pwplanner_new(const pw_res *res, const pw_news *news) {
  pw_planner *pl = pw_alloc(sizeof *pl);
  pl->res = res;
  pl->news = news;
  pl->loads_at_once = LOADS_AT_ONCE;
  return pl;
}

static void clear(pw_planner *pl) {
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
  pl->read = 0;
}

void pwplanner_free(pw_planner *pl) {
  if (!pl)
    return;
  clear(pl);
  free(pl);
}

void pwplanner_lead(pw_planner *pl, int64_t now) {
  clear(pl);
  pl->next_load = now;
  pl->proposed = 0;
}

/* --- reading resources --- */

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
  m->asked = one->deleted ? 0 : one->version;
  m->replicas = (int)pwjson_number(spec, "replicas", 0);
  m->managed = json_object_get(spec, "version") || m->replicas;
  pw_copy(m->wanted, sizeof m->wanted, pwjson_text(spec, "version"));
}

static void read_rollout(pw_planner *pl, const pw_resource *one) {
  model *m = model_of(pl, one->name);
  m->has_rollout = pwassign_rollout(pl->res, one->name, &m->rollout);
  m->rollout_version = one->deleted ? 0 : one->version;
}

static void read_adapters(pw_planner *pl) {
  for (model *m = pl->models; m; m = m->hh.next)
    m->nadapters = 0;
  for (const pw_resource *one = pwres_first(pl->res); one; one = one->next) {
    if (one->deleted || strcmp(one->kind, "adapter") != 0)
      continue;
    json_t *spec = json_loads(one->spec, 0, NULL);
    model *m = model_of(pl, pwjson_text(spec, "model"));
    if (m->nadapters < PWASSIGN_ADAPTERS)
      pw_copy(m->adapter[m->nadapters++], PW_NAME_MAX, one->name);
    json_decref(spec);
  }
}

static const slot *find_slot(const slot *list, int n, const char *name) {
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
    s->failed = old->failed;
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

/* A target and its assignment are read together. */
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
      add_slot(t, key, pwassign_model(a, key), find_slot(old, nold, key));
  }
  free(old);
  free(a);
  json_decref(spec);
}

static void read_policy(pw_planner *pl, const json_t *spec) {
  pl->weights = pwjson_number(spec, "weights_bytes_per_s", 0);
  pl->loads_at_once = (int)pwjson_number(spec, "loads_at_once", LOADS_AT_ONCE);
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

static void read_changes(pw_planner *pl) {
  int adapters = 0;
  if (pl->read != pwres_revision(pl->res))
    pl->passed = 0; /* whoever asked: the next pass is due */
  if (pl->read < pwres_floor(pl->res))
    clear(pl);
  for (const pw_resource *one = pwres_after(pl->res, pl->read); one;
       one = one->next)
    read_one(pl, one, &adapters);
  if (adapters)
    read_adapters(pl);
  pl->read = pwres_revision(pl->res);
}

/* --- what the targets are --- */

static const Pw__ModelState *state_of(const Pw__TargetState *st,
                                      const char *name) {
  for (size_t i = 0; i < st->n_models; i++)
    if (!strcmp(st->models[i]->model, name))
      return st->models[i];
  return NULL;
}

static void note_result(slot *s, const Pw__ModelState *ms, int64_t now) {
  s->s.acted = 1;
  s->s.loaded = ms->loaded;
  if (ms->loaded) {
    s->s.failures = 0;
  } else if (s->failed != s->attempt) {
    s->failed = s->attempt;
    s->s.failures++;
    s->s.retry_at = now + pwplan_backoff(s->s.failures);
  }
}

/* A target whose assignment does not name the model serves it as it came, as
** long as no version has taken over from that. */
static void look(const pw_planner *pl, const model *m, slot *s, int64_t now) {
  const Pw__TargetState *st = pwnews_target(pl->news, s->t->name);
  s->s.usable = st && !st->gone && !s->t->drain;
  s->s.acted = 0;
  s->s.loaded = 0;
  if (!s->attempt) {
    const pw_rollout *r = &m->rollout;
    s->s.has_serve = !r->to[0] || (!r->from[0] && r->state != PW_ROLLOUT_DONE);
    return;
  }
  const Pw__ModelState *ms = st ? state_of(st, s->model) : NULL;
  if (ms && ms->attempt == s->attempt && !strcmp(ms->version, s->s.load))
    note_result(s, ms, now);
}

/* The slots of a model, as pwplan takes them. */
typedef struct slots {
  slot **of;
  pw_plan_slot *s;
  int n;
} slots;

static void gather(const pw_planner *pl, const model *m, slots *out,
                   int64_t now) {
  size_t most = HASH_COUNT(pl->targets) + 1;
  out->of = pw_alloc(sizeof(slot *) * most);
  out->s = pw_alloc(sizeof *out->s * most);
  out->n = 0;
  for (const target *t = pl->targets; t; t = t->hh.next) {
    slot *s = (slot *)find_slot(t->slot, t->nslots, m->name);
    if (!s || t->gone)
      continue;
    look(pl, m, s, now);
    out->of[out->n] = s;
    out->s[out->n++] = s->s;
  }
}

static void slots_free(slots *sl) {
  free(sl->of);
  free(sl->s);
}

/* Targets that should carry the model and were never heard of. */
static int count_unheard(const pw_planner *pl, const slots *sl) {
  int n = 0;
  for (int i = 0; i < sl->n; i++) {
    const target *t = sl->of[i]->t;
    n += !t->drain && !pwnews_target(pl->news, t->name);
  }
  return n;
}

static int is_loading(const pw_plan_slot *s) {
  return s->usable && s->has_load && !s->acted;
}

static int count_loading(const pw_planner *pl) {
  int n = 0;
  for (const target *t = pl->targets; t; t = t->hh.next)
    for (int i = 0; i < t->nslots; i++)
      n += is_loading(&t->slot[i].s);
  return n;
}

/* --- writing --- */

static void add_put(Pw__Change *ch, const char *kind, const char *name,
                    uint64_t version, json_t *spec) {
  Pw__Put *p = pw_alloc(sizeof *p);
  pw__put__init(p);
  p->kind = pw_dup(kind);
  p->name = pw_dup(name);
  p->version = version;
  p->remove = spec == NULL;
  p->spec = spec ? json_dumps(spec, JSON_COMPACT | JSON_SORT_KEYS) : pw_dup("");
  ch->puts[ch->n_puts++] = p;
  json_decref(spec);
}

static void put_rollout(Pw__Change *ch, model *m) {
  add_put(ch, "rollout", m->name, m->rollout_version,
          pwassign_rollout_json(&m->rollout));
}

static void set_adapters(const model *m, pw_assigned *row) {
  row->nadapters = m->nadapters;
  memcpy(row->adapter, m->adapter, sizeof row->adapter);
}

/* Writes one slot's step into its target's assignment. */
static void put_step(pw_planner *pl, Pw__Change *ch, const model *m, slot *s,
                     const pw_plan_step *step, uint64_t term) {
  pw_assignment *a = pw_alloc(sizeof *a);
  pwassign_read(pl->res, s->t->name, a);
  pw_assigned *row = pwassign_add(a, m->name);
  a->term = term;
  pw_copy(a->role, sizeof a->role, s->t->role);
  if (row && step->kind == PW_PLAN_SERVE) {
    row->has_serve = 1;
    pw_copy(row->serve, sizeof row->serve, row->load);
  } else if (row) {
    row->has_serve = 0;
    row->has_load = step->kind != PW_PLAN_RETIRE;
    row->attempt += step->kind != PW_PLAN_PAUSE; /* its order has ended */
  }
  if (row && step->kind == PW_PLAN_LOAD) {
    pw_copy(row->load, sizeof row->load, step->version);
    set_adapters(m, row);
  }
  if (row)
    add_put(ch, "assignment", s->t->name, a->version, pwassign_json(a));
  s->t->in_batch = pl->batch;
  free(a);
}

static double load_bytes(const pw_planner *pl, const model *m,
                         const char *version) {
  const pw_resource *one = version[0] ? pwres_get(pl->res, "version", version)
                                      : pwres_get(pl->res, "model", m->name);
  json_t *spec = one ? json_loads(one->spec, 0, NULL) : NULL;
  double bytes = pwjson_number(spec, "size_bytes", 0);
  json_decref(spec);
  return bytes;
}

/* --- rollouts --- */

static void read_steps(const json_t *spec, pw_rollout_ask *ask) {
  size_t i;
  const json_t *step;
  json_array_foreach(json_object_get(spec, "steps"), i, step) {
    if (ask->nsteps < PWROLLOUT_STEPS)
      ask->step[ask->nsteps++] = json_number_value(step);
  }
}

static void read_version(const pw_planner *pl, const char *name,
                         pw_rollout_ask *ask) {
  const pw_resource *one = pwres_get(pl->res, "version", name);
  json_t *spec = one ? json_loads(one->spec, 0, NULL) : NULL;
  read_steps(spec, ask);
  ask->max_errors = pwjson_number(spec, "max_error_share", PWROLLOUT_ERRORS);
  ask->step_ms =
      (int64_t)(pwjson_number(spec, "step_s", PWROLLOUT_STEP_MS / 1000.0) *
                1000);
  ask->min_requests = pwjson_number(spec, "min_requests", PWROLLOUT_REQUESTS);
  json_decref(spec);
}

static void sum_versions(const pw_planner *pl, const model *m, double *done_to,
                         double *failed_to, double *done_from,
                         double *failed_from) {
  char pool[PWASSIGN_POOL];
  pwassign_pool(pool, m->name, m->rollout.to);
  pwnews_sum(pl->news, pool, done_to, failed_to);
  pwassign_pool(pool, m->name, m->rollout.from);
  pwnews_sum(pl->news, pool, done_from, failed_from);
}

/* What ended since the step began, and since when its share is in force. */
static void count_step(const pw_planner *pl, model *m, pw_rollout_ask *ask,
                       int64_t now) {
  const pw_rollout *r = &m->rollout;
  double dt, ft, df, ff;
  sum_versions(pl, m, &dt, &ft, &df, &ff);
  if (m->counted_step != r->step || strcmp(m->counted, r->to) != 0) {
    m->counted_step = r->step;
    pw_copy(m->counted, sizeof m->counted, r->to);
    m->done_to = dt;
    m->failed_to = ft;
    m->done_from = df;
    m->failed_from = ff;
    m->full_at = 0;
  }
  if (!m->full_at && r->share >= pwrollout_goal(r, ask))
    m->full_at = now;
  ask->done_to = dt - m->done_to;
  ask->failed_to = ft - m->failed_to;
  ask->done_from = df - m->done_from;
  ask->failed_from = ff - m->failed_from;
  ask->in_step = m->full_at ? now - m->full_at : 0;
}

/* Targets at which the version cannot be loaded. As long as it runs nowhere,
** one target's failures stand for all. */
static int count_failed(const slots *sl, const char *version) {
  int targets = 0, most = 0;
  for (int i = 0; i < sl->n; i++) {
    const pw_plan_slot *s = &sl->s[i];
    if (!s->failures || strcmp(s->load, version) != 0)
      continue;
    targets++;
    most = s->failures > most ? s->failures : most;
  }
  int runs = pwplan_serving(sl->s, sl->n, version) > 0;
  return runs || targets > most ? targets : most;
}

static void roll(pw_planner *pl, model *m, const slots *sl, Pw__Change *ch,
                 int64_t now) {
  pw_rollout next;
  pw_rollout_ask ask = {.wanted = m->wanted,
                        .asked = m->asked,
                        .is_new = !m->has_rollout && m->asked == 1};
  read_version(pl, m->wanted, &ask);
  ask.ready = pwplan_ready(sl->s, sl->n, m->rollout.to);
  ask.loads_failed = count_failed(sl, m->rollout.to);
  count_step(pl, m, &ask, now);
  if (!pwrollout_next(&m->rollout, &ask, &next))
    return;
  m->rollout = next;
  put_rollout(ch, m);
}

/* --- the plan --- */

static double goal_share(const pw_planner *pl, const model *m) {
  pw_rollout_ask ask = {0};
  read_version(pl, m->rollout.to, &ask);
  return pwrollout_goal(&m->rollout, &ask);
}

/* Takes a step into the slot as if it were written already. */
static void note_step(pw_planner *pl, const model *m, slots *sl,
                      const pw_plan_step *step, int64_t now) {
  pw_plan_slot *s = &sl->s[step->slot];
  s->has_serve = step->kind == PW_PLAN_SERVE;
  if (s->has_serve)
    pw_copy(s->serve, sizeof s->serve, s->load);
  if (step->kind == PW_PLAN_RETIRE)
    s->has_load = 0;
  if (step->kind != PW_PLAN_LOAD)
    return;
  s->has_load = 1;
  s->acted = 0;
  pw_copy(s->load, sizeof s->load, step->version);
  if (pl->weights > 0) {
    double ms = load_bytes(pl, m, step->version) / pl->weights * 1000;
    pl->next_load = (pl->next_load > now ? pl->next_load : now) + (int64_t)ms;
  }
}

static void plan_model(pw_planner *pl, model *m, slots *sl, Pw__Change *ch,
                       int *loading, uint64_t term, int64_t now) {
  pw_plan_ask ask = {.from = m->rollout.from,
                     .to = m->rollout.to,
                     .share = goal_share(pl, m),
                     .replicas = m->replicas};
  while (ch->n_puts < BATCH_MAX) {
    ask.may_load = *loading < pl->loads_at_once && now >= pl->next_load;
    pw_plan_step step = pwplan_next(&ask, sl->s, sl->n, now);
    if (step.kind == PW_PLAN_NONE)
      return;
    slot *s = sl->of[step.slot];
    if (s->t->in_batch == pl->batch)
      return;
    put_step(pl, ch, m, s, &step, term);
    note_step(pl, m, sl, &step, now);
    *loading += step.kind == PW_PLAN_LOAD;
  }
}

static int same_adapters(const model *m, const pw_assigned *row) {
  if (m->nadapters != row->nadapters)
    return 0;
  for (int i = 0; i < m->nadapters; i++)
    if (strcmp(m->adapter[i], row->adapter[i]) != 0)
      return 0;
  return 1;
}

/* Adapters and roles that differ from what the assignments say. */
static void tend_target(pw_planner *pl, target *t, Pw__Change *ch,
                        uint64_t term) {
  pw_assignment *a = pw_alloc(sizeof *a);
  pwassign_read(pl->res, t->name, a);
  int differs = strcmp(a->role, t->role) != 0 && !t->gone;
  for (int i = 0; i < a->nmodels && !t->gone; i++) {
    pw_assigned *row = &a->model[i];
    const model *m;
    HASH_FIND_STR(pl->models, row->model, m);
    int carried = find_slot(t->slot, t->nslots, row->model) != NULL;
    if (row->has_load && (!carried || !m)) {
      row->has_load = row->has_serve = 0;
      row->attempt++;
      differs = 1;
    } else if (row->has_serve && m && !same_adapters(m, row)) {
      set_adapters(m, row);
      row->attempt++;
      differs = 1;
    }
  }
  a->term = term;
  pw_copy(a->role, sizeof a->role, t->role);
  if (t->gone && a->version)
    add_put(ch, "assignment", t->name, a->version, NULL);
  else if (differs)
    add_put(ch, "assignment", t->name, a->version, pwassign_json(a));
  free(a);
}

/* Targets are looked at one after the other, some in each pass. */
static void tend_targets(pw_planner *pl, Pw__Change *ch, uint64_t term) {
  for (target *t = pl->targets; t && ch->n_puts < BATCH_MAX; t = t->hh.next)
    if (t->in_batch != pl->batch)
      tend_target(pl, t, ch, term);
}

static void plan_all(pw_planner *pl, Pw__Change *ch, uint64_t term,
                     int64_t now) {
  for (model *m = pl->models; m; m = m->hh.next) {
    slots sl;
    if (!m->asked && m->has_rollout)
      add_put(ch, "rollout", m->name, m->rollout_version, NULL);
    if (!m->asked || (!m->managed && !m->has_rollout))
      continue;
    gather(pl, m, &sl, now);
    roll(pl, m, &sl, ch, now);
    int loading = count_loading(pl);
    plan_model(pl, m, &sl, ch, &loading, term, now);
    slots_free(&sl);
    if (ch->n_puts >= BATCH_MAX)
      return;
  }
}

Pw__Change *pwplanner_next(pw_planner *pl, uint64_t term, int64_t now) {
  uint64_t changes = pwnews_changes(pl->news);
  int still = pl->read == pwres_revision(pl->res) && changes == pl->seen;
  if (pl->proposed || (still && now - pl->passed < PASS_MS))
    return NULL;
  read_changes(pl);
  pl->seen = changes;
  pl->passed = now;
  pl->batch++;
  Pw__Change *ch = pw_alloc(sizeof *ch);
  pw__change__init(ch);
  ch->resend = pw_dup("");
  ch->puts =
      pw_alloc(sizeof *ch->puts * (BATCH_MAX * 2 + HASH_COUNT(pl->models)));
  plan_all(pl, ch, term, now);
  if (ch->n_puts == 0)
    tend_targets(pl, ch, term);
  if (ch->n_puts) {
    pl->proposed = 1;
    return ch;
  }
  pw__change__free_unpacked(ch, NULL);
  return NULL;
}

void pwplanner_done(pw_planner *pl, pw_code code) {
  pl->proposed = 0;
  pl->passed = 0;
  if (code != PW_OK)
    pl->read = 0; /* somebody else wrote: read all again */
}

/* --- progress --- */

static uint64_t newer(const pw_planner *pl, const char *kind, const char *name,
                      uint64_t than) {
  const pw_resource *one = pwres_get(pl->res, kind, name);
  return one && one->revision > than ? one->revision : than;
}

/* As of which revision the model is what it is now. */
static uint64_t written_at(const pw_planner *pl, const model *m,
                           const slots *sl) {
  uint64_t at = newer(pl, "rollout", m->name, 0);
  for (int i = 0; i < sl->n; i++)
    at = newer(pl, "assignment", sl->of[i]->t->name, at);
  return at;
}

static json_t *model_json(pw_planner *pl, const model *m, uint64_t in_force,
                          int64_t now) {
  slots sl;
  gather(pl, m, &sl, now);
  int usable = 0, loading = 0, failed = 0;
  for (int i = 0; i < sl.n; i++) {
    usable += sl.s[i].usable;
    loading += is_loading(&sl.s[i]);
    failed += sl.s[i].has_load && sl.s[i].acted && !sl.s[i].loaded;
  }
  const pw_rollout *r = &m->rollout;
  int back = r->state == PW_ROLLOUT_BACK;
  int carry = m->replicas && m->replicas < usable ? m->replicas : usable;
  int right = pwplan_serving(sl.s, sl.n, back ? r->from : r->to);
  int unheard = count_unheard(pl, &sl);
  int is_told = in_force >= written_at(pl, m, &sl);
  int moves = r->state == PW_ROLLOUT_ROLLING && r->share < 100;
  json_t *o = pwassign_rollout_json(r);
  json_object_update_new(
      o, json_pack("{s:s,s:s,s:i,s:i,s:i,s:i,s:i,s:i,s:b}", "model", m->name,
                   "wanted", m->wanted, "targets", carry, "serving_to",
                   pwplan_serving(sl.s, sl.n, r->to), "serving_from",
                   pwplan_serving(sl.s, sl.n, r->from), "loading", loading,
                   "failed", failed, "unheard", unheard, "settled",
                   !moves && !unheard && is_told && right == carry &&
                       !strcmp(r->to, m->wanted)));
  slots_free(&sl);
  return o;
}

json_t *pwplanner_json(pw_planner *pl, uint64_t in_force, int64_t now) {
  json_t *list = json_array();
  read_changes(pl);
  for (const model *m = pl->models; m; m = m->hh.next)
    if (m->asked && (m->managed || m->has_rollout))
      json_array_append_new(list, model_json(pl, m, in_force, now));
  return list;
}
