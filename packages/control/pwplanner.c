/* pwplanner.c: plans how the targets reach the state that operators declared
** for models. */
#include "pwplannerint.h"

#include "pwbuf.h"
#include "pwjson.h"

#include <stdlib.h>
#include <string.h>

#define PASS_MS 1000 /* interval of passes while nothing changes */
#define BATCH_MAX 8  /* targets whose assignments are written by one change */

pw_planner *pwplanner_new(const pw_res *res, const pw_treereport *treereport) {
  pw_planner *pl = pw_alloc(sizeof *pl);
  pl->res = res;
  pl->treereport = treereport;
  pl->loads_at_once = PWPL_LOADS_AT_ONCE;
  return pl;
}

void pwplanner_free(pw_planner *pl) {
  if (!pl)
    return;
  pwpl_clear(pl);
  free(pl);
}

void pwplanner_start_leading(pw_planner *pl, int64_t now) {
  pwpl_clear(pl);
  pl->next_load_at = now;
  pl->is_proposed = 0;
}

/* --- states of the targets --- */

static const Pw__ModelState *state_of(const Pw__TargetState *st,
                                      const char *name) {
  for (size_t i = 0; i < st->n_models; i++)
    if (!strcmp(st->models[i]->model, name))
      return st->models[i];
  return NULL;
}

static void note_result(slot *s, const Pw__ModelState *ms, int64_t now) {
  s->s.load_ended = 1;
  s->s.loaded = ms->loaded;
  if (ms->loaded) {
    s->s.failures = 0;
  } else if (s->failed_attempt != s->attempt) {
    s->failed_attempt = s->attempt;
    s->s.failures++;
    s->s.retry_at = now + pwplan_backoff(s->s.failures);
  }
}

/* Updates a slot from the reported state of its target. A target whose
** assignment does not name the model serves the version that it started
** with, until a rollout replaces that. */
static void update_slot(const pw_planner *pl, const model *m, slot *s,
                        int64_t now) {
  const Pw__TargetState *st = pwtreereport_target(pl->treereport, s->t->name);
  s->s.usable = st && !st->gone && !s->t->drain;
  s->s.load_ended = 0;
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

/* The slots of a model, in the form that pwplan takes. */
typedef struct slots {
  slot **of;
  pw_plan_slot *s;
  int n;
} slots;

static void collect_slots(const pw_planner *pl, const model *m, slots *out,
                          int64_t now) {
  size_t most = HASH_COUNT(pl->targets) + 1;
  out->of = pw_alloc(sizeof(slot *) * most);
  out->s = pw_alloc(sizeof *out->s * most);
  out->n = 0;
  for (const target *t = pl->targets; t; t = t->hh.next) {
    slot *s = (slot *)pwpl_find_slot(t->slot, t->nslots, m->name);
    if (!s || t->gone)
      continue;
    update_slot(pl, m, s, now);
    out->of[out->n] = s;
    out->s[out->n++] = s->s;
  }
}

static void slots_free(slots *sl) {
  free(sl->of);
  free(sl->s);
}

/* Counts the targets that should serve the model and have not reported yet. */
static int count_unreported(const pw_planner *pl, const slots *sl) {
  int n = 0;
  for (int i = 0; i < sl->n; i++) {
    const target *t = sl->of[i]->t;
    n += !t->drain && !pwtreereport_target(pl->treereport, t->name);
  }
  return n;
}

static int is_loading(const pw_plan_slot *s) {
  return s->usable && s->has_load && !s->load_ended;
}

static int count_loading(const pw_planner *pl) {
  int n = 0;
  for (const target *t = pl->targets; t; t = t->hh.next)
    for (int i = 0; i < t->nslots; i++)
      n += is_loading(&t->slot[i].s);
  return n;
}

/* --- resources to write --- */

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

/* Writes the step of one slot into the assignment of its target. */
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
    row->attempt += step->kind != PW_PLAN_PAUSE; /* ends the previous order */
  }
  if (row && step->kind == PW_PLAN_LOAD) {
    pw_copy(row->load, sizeof row->load, step->version);
    set_adapters(m, row);
  }
  if (row)
    add_put(ch, "assignment", s->t->name, a->version, pwassign_json(a));
  s->t->batch = pl->batch;
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

static void read_steps(const json_t *spec, pw_rollout_input *input) {
  size_t i;
  const json_t *step;
  json_array_foreach(json_object_get(spec, "steps"), i, step) {
    if (input->nsteps < PWROLLOUT_STEPS)
      input->step[input->nsteps++] = json_number_value(step);
  }
}

static void read_version(const pw_planner *pl, const char *name,
                         pw_rollout_input *input) {
  const pw_resource *one = pwres_get(pl->res, "version", name);
  json_t *spec = one ? json_loads(one->spec, 0, NULL) : NULL;
  read_steps(spec, input);
  input->max_errors = pwjson_number(spec, "max_error_share", PWROLLOUT_ERRORS);
  input->step_ms =
      (int64_t)(pwjson_number(spec, "step_s", PWROLLOUT_STEP_MS / 1000.0) *
                1000);
  input->min_requests = pwjson_number(spec, "min_requests", PWROLLOUT_REQUESTS);
  json_decref(spec);
}

static void sum_versions(const pw_planner *pl, const model *m, double *done_to,
                         double *failed_to, double *done_from,
                         double *failed_from) {
  char pool[PWASSIGN_POOL_BYTES];
  pwassign_pool_name(pool, m->name, m->rollout.to);
  pwtreereport_sum(pl->treereport, pool, done_to, failed_to);
  pwassign_pool_name(pool, m->name, m->rollout.from);
  pwtreereport_sum(pl->treereport, pool, done_from, failed_from);
}

/* Counts the attempts that ended since the rollout step began, and for how
** long its share has been in force. */
static void count_step(const pw_planner *pl, model *m, pw_rollout_input *input,
                       int64_t now) {
  const pw_rollout *r = &m->rollout;
  double done_to, failed_to, done_from, failed_from;
  sum_versions(pl, m, &done_to, &failed_to, &done_from, &failed_from);
  if (m->counted_step != r->step || strcmp(m->counted_version, r->to) != 0) {
    m->counted_step = r->step;
    pw_copy(m->counted_version, sizeof m->counted_version, r->to);
    m->done_to = done_to;
    m->failed_to = failed_to;
    m->done_from = done_from;
    m->failed_from = failed_from;
    m->share_reached_at = 0;
  }
  if (!m->share_reached_at && r->share >= pwrollout_goal(r, input))
    m->share_reached_at = now;
  input->done_to = done_to - m->done_to;
  input->failed_to = failed_to - m->failed_to;
  input->done_from = done_from - m->done_from;
  input->failed_from = failed_from - m->failed_from;
  input->in_step = m->share_reached_at ? now - m->share_reached_at : 0;
}

/* Counts the targets at which the version cannot be loaded. While it runs
** nowhere, repeated failures at one target count like failures at as many
** targets. */
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

static void advance_rollout(pw_planner *pl, model *m, const slots *sl,
                            Pw__Change *ch, int64_t now) {
  pw_rollout next;
  pw_rollout_input input = {.wanted = m->wanted_version,
                            .asked = m->resource_version,
                            .is_new =
                                !m->has_rollout && m->resource_version == 1};
  read_version(pl, m->wanted_version, &input);
  input.ready = pwplan_ready(sl->s, sl->n, m->rollout.to);
  input.loads_failed = count_failed(sl, m->rollout.to);
  count_step(pl, m, &input, now);
  if (!pwrollout_next(&m->rollout, &input, &next))
    return;
  m->rollout = next;
  put_rollout(ch, m);
}

/* --- the plan --- */

static double goal_share(const pw_planner *pl, const model *m) {
  pw_rollout_input input = {0};
  read_version(pl, m->rollout.to, &input);
  return pwrollout_goal(&m->rollout, &input);
}

/* Updates the slot as if the step were written already. */
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
  s->load_ended = 0;
  pw_copy(s->load, sizeof s->load, step->version);
  if (pl->weights_rate > 0) {
    double ms = load_bytes(pl, m, step->version) / pl->weights_rate * 1000;
    pl->next_load_at =
        (pl->next_load_at > now ? pl->next_load_at : now) + (int64_t)ms;
  }
}

static void plan_model(pw_planner *pl, model *m, slots *sl, Pw__Change *ch,
                       int *loading, uint64_t term, int64_t now) {
  pw_plan_input input = {.from = m->rollout.from,
                         .to = m->rollout.to,
                         .share = goal_share(pl, m),
                         .replicas = m->replicas};
  while (ch->n_puts < BATCH_MAX) {
    input.may_load = *loading < pl->loads_at_once && now >= pl->next_load_at;
    pw_plan_step step = pwplan_next(&input, sl->s, sl->n, now);
    if (step.kind == PW_PLAN_NONE)
      return;
    slot *s = sl->of[step.slot];
    if (s->t->batch == pl->batch)
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

/* Writes the assignment of a target if its adapters, role or models differ
** from the resources, and deletes it when the target was deleted. */
static void sync_target(pw_planner *pl, target *t, Pw__Change *ch,
                        uint64_t term) {
  pw_assignment *a = pw_alloc(sizeof *a);
  pwassign_read(pl->res, t->name, a);
  int is_changed = strcmp(a->role, t->role) != 0 && !t->gone;
  for (int i = 0; i < a->nmodels && !t->gone; i++) {
    pw_assigned *row = &a->model[i];
    const model *m;
    HASH_FIND_STR(pl->models, row->model, m);
    int is_listed = pwpl_find_slot(t->slot, t->nslots, row->model) != NULL;
    if (row->has_load && (!is_listed || !m)) {
      row->has_load = row->has_serve = 0;
      row->attempt++;
      is_changed = 1;
    } else if (row->has_serve && m && !same_adapters(m, row)) {
      set_adapters(m, row);
      row->attempt++;
      is_changed = 1;
    }
  }
  a->term = term;
  pw_copy(a->role, sizeof a->role, t->role);
  if (t->gone && a->version)
    add_put(ch, "assignment", t->name, a->version, NULL);
  else if (is_changed)
    add_put(ch, "assignment", t->name, a->version, pwassign_json(a));
  free(a);
}

/* Updates the assignments of targets until the batch is full; the rest
** follow in later passes. */
static void sync_targets(pw_planner *pl, Pw__Change *ch, uint64_t term) {
  for (target *t = pl->targets; t && ch->n_puts < BATCH_MAX; t = t->hh.next)
    if (t->batch != pl->batch)
      sync_target(pl, t, ch, term);
}

static void plan_all(pw_planner *pl, Pw__Change *ch, uint64_t term,
                     int64_t now) {
  for (model *m = pl->models; m; m = m->hh.next) {
    slots sl;
    if (!m->resource_version && m->has_rollout)
      add_put(ch, "rollout", m->name, m->rollout_version, NULL);
    if (!m->resource_version || (!m->managed && !m->has_rollout))
      continue;
    collect_slots(pl, m, &sl, now);
    advance_rollout(pl, m, &sl, ch, now);
    int loading = count_loading(pl);
    plan_model(pl, m, &sl, ch, &loading, term, now);
    slots_free(&sl);
    if (ch->n_puts >= BATCH_MAX)
      return;
  }
}

Pw__Change *pwplanner_next(pw_planner *pl, uint64_t term, int64_t now) {
  uint64_t changes = pwtreereport_changes(pl->treereport);
  int is_unchanged = pl->read_revision == pwres_revision(pl->res) &&
                     changes == pl->changes_seen;
  if (pl->is_proposed || (is_unchanged && now - pl->last_pass_at < PASS_MS))
    return NULL;
  pwpl_read(pl);
  pl->changes_seen = changes;
  pl->last_pass_at = now;
  pl->batch++;
  Pw__Change *ch = pw_alloc(sizeof *ch);
  pw__change__init(ch);
  ch->resend = pw_dup("");
  ch->puts =
      pw_alloc(sizeof *ch->puts * (BATCH_MAX * 2 + HASH_COUNT(pl->models)));
  plan_all(pl, ch, term, now);
  if (ch->n_puts == 0)
    sync_targets(pl, ch, term);
  if (ch->n_puts) {
    pl->is_proposed = 1;
    return ch;
  }
  pw__change__free_unpacked(ch, NULL);
  return NULL;
}

void pwplanner_done(pw_planner *pl, pw_code code) {
  pl->is_proposed = 0;
  pl->last_pass_at = 0;
  if (code != PW_OK)
    pl->read_revision = 0; /* another writer was first: read all again */
}

/* --- progress --- */

static uint64_t newer(const pw_planner *pl, const char *kind, const char *name,
                      uint64_t than) {
  const pw_resource *one = pwres_get(pl->res, kind, name);
  return one && one->revision > than ? one->revision : than;
}

/* The revision that must be in force for the current state of the model. */
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
  collect_slots(pl, m, &sl, now);
  int usable = 0, loading = 0, failed = 0;
  for (int i = 0; i < sl.n; i++) {
    usable += sl.s[i].usable;
    loading += is_loading(&sl.s[i]);
    failed += sl.s[i].has_load && sl.s[i].load_ended && !sl.s[i].loaded;
  }
  const pw_rollout *r = &m->rollout;
  int is_rolled_back = r->state == PW_ROLLOUT_ROLLED_BACK;
  int serving_goal = m->replicas && m->replicas < usable ? m->replicas : usable;
  int serving_right =
      pwplan_serving(sl.s, sl.n, is_rolled_back ? r->from : r->to);
  int unreported = count_unreported(pl, &sl);
  int is_in_force = in_force >= written_at(pl, m, &sl);
  int is_moving = r->state == PW_ROLLOUT_ROLLING && r->share < 100;
  json_t *o = pwassign_rollout_json(r);
  json_object_update_new(
      o,
      json_pack("{s:s,s:s,s:i,s:i,s:i,s:i,s:i,s:i,s:b}", "model", m->name,
                "wanted", m->wanted_version, "targets", serving_goal,
                "serving_to", pwplan_serving(sl.s, sl.n, r->to), "serving_from",
                pwplan_serving(sl.s, sl.n, r->from), "loading", loading,
                "failed", failed, "unheard", unreported, "settled",
                !is_moving && !unreported && is_in_force &&
                    serving_right == serving_goal &&
                    !strcmp(r->to, m->wanted_version)));
  slots_free(&sl);
  return o;
}

json_t *pwplanner_json(pw_planner *pl, uint64_t in_force, int64_t now) {
  json_t *list = json_array();
  pwpl_read(pl);
  for (const model *m = pl->models; m; m = m->hh.next)
    if (m->resource_version && (m->managed || m->has_rollout))
      json_array_append_new(list, model_json(pl, m, in_force, now));
  return list;
}
