/* pwplanner.c: makes what operators declare about models true: what comes next. */
#include "pwplannerint.h"

#include "pwbuf.h"
#include "pwjson.h"

#include <stdlib.h>
#include <string.h>

#define PASS_MS 1000 /* between passes in which nothing has changed */
#define BATCH_MAX 8  /* targets whose assignments one change writes */

pw_planner *pwplanner_new(const pw_res *res, const pw_news *news) {
  pw_planner *pl = pw_alloc(sizeof *pl);
  pl->res = res;
  pl->news = news;
  pl->loads_at_once = PWPL_LOADS_AT_ONCE;
  return pl;
}

void pwplanner_free(pw_planner *pl) {
  if (!pl)
    return;
  pwpl_clear(pl);
  free(pl);
}

void pwplanner_lead(pw_planner *pl, int64_t now) {
  pwpl_clear(pl);
  pl->next_load = now;
  pl->proposed = 0;
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
    slot *s = (slot *)pwpl_find_slot(t->slot, t->nslots, m->name);
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
    int carried = pwpl_find_slot(t->slot, t->nslots, row->model) != NULL;
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
  pwpl_read(pl);
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
  pwpl_read(pl);
  for (const model *m = pl->models; m; m = m->hh.next)
    if (m->asked && (m->managed || m->has_rollout))
      json_array_append_new(list, model_json(pl, m, in_force, now));
  return list;
}
