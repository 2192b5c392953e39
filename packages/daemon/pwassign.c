/* pwassign.c: reads and writes assignments and rollouts. */
#include "pwassign.h"

#include "pwbuf.h"
#include "pwjson.h"

#include <stdio.h>
#include <string.h>

pw_assigned *pwassign_model(pw_assignment *a, const char *model) {
  for (int i = 0; i < a->nmodels; i++)
    if (!strcmp(a->model[i].model, model))
      return &a->model[i];
  return NULL;
}

pw_assigned *pwassign_add(pw_assignment *a, const char *model) {
  pw_assigned *m = pwassign_model(a, model);
  if (m || a->nmodels == PWASSIGN_MODELS)
    return m;
  m = &a->model[a->nmodels++];
  *m = (pw_assigned){0};
  pw_copy(m->model, sizeof m->model, model);
  return m;
}

static void read_model(pw_assigned *m, const json_t *o) {
  m->has_load = json_object_get(o, "load") != NULL;
  m->has_serve = json_object_get(o, "serve") != NULL;
  pw_copy(m->load, sizeof m->load, pwjson_text(o, "load"));
  m->attempt = (uint64_t)json_integer_value(json_object_get(o, "attempt"));
  pw_copy(m->serve, sizeof m->serve, pwjson_text(o, "serve"));
  size_t i;
  const json_t *name;
  json_array_foreach(json_object_get(o, "adapters"), i, name) {
    if (m->nadapters < PWASSIGN_ADAPTERS && json_is_string(name))
      pw_copy(m->adapter[m->nadapters++], PW_NAME_MAX, json_string_value(name));
  }
}

void pwassign_read(const pw_res *r, const char *target, pw_assignment *out) {
  const pw_resource *one = pwres_get(r, "assignment", target);
  *out = (pw_assignment){0};
  if (!one)
    return;
  json_t *spec = json_loads(one->spec, 0, NULL);
  const char *model;
  json_t *o;
  out->term = (uint64_t)json_number_value(json_object_get(spec, "term"));
  out->sequence = one->revision;
  out->version = one->version;
  pw_copy(out->role, sizeof out->role, pwjson_text(spec, "role"));
  json_object_foreach(json_object_get(spec, "models"), model, o) {
    pw_assigned *m = pwassign_add(out, model);
    if (m)
      read_model(m, o);
  }
  json_decref(spec);
}

static json_t *model_json(const pw_assigned *m) {
  json_t *o = json_pack("{s:I}", "attempt", (json_int_t)m->attempt);
  if (m->has_load)
    json_object_set_new(o, "load", json_string(m->load));
  if (m->has_serve)
    json_object_set_new(o, "serve", json_string(m->serve));
  if (m->nadapters) {
    json_t *list = json_array();
    for (int i = 0; i < m->nadapters; i++)
      json_array_append_new(list, json_string(m->adapter[i]));
    json_object_set_new(o, "adapters", list);
  }
  return o;
}

json_t *pwassign_json(const pw_assignment *a) {
  json_t *models = json_object();
  for (int i = 0; i < a->nmodels; i++)
    json_object_set_new(models, a->model[i].model, model_json(&a->model[i]));
  json_t *spec =
      json_pack("{s:I,s:o}", "term", (json_int_t)a->term, "models", models);
  if (a->role[0])
    json_object_set_new(spec, "role", json_string(a->role));
  return spec;
}

void pwassign_pool_name(char out[PWASSIGN_POOL_BYTES], const char *model,
                        const char *version) {
  snprintf(out, PWASSIGN_POOL_BYTES, version[0] ? "%s@%s" : "%s", model,
           version);
}

void pwassign_each_pool(const pw_assignment *a, const json_t *models,
                        void (*add)(void *arg, const char *pool), void *arg) {
  size_t i;
  const json_t *name;
  char pool[PWASSIGN_POOL_BYTES];
  json_array_foreach(models, i, name) {
    const char *model = json_string_value(name);
    if (!model)
      continue;
    const pw_assigned *m = pwassign_model((pw_assignment *)a, model);
    if (m && !m->has_serve)
      continue;
    pwassign_pool_name(pool, model, m ? m->serve : "");
    add(arg, pool);
  }
}

int pwassign_read_rollout(const pw_res *r, const char *model, pw_rollout *out) {
  const pw_resource *one = pwres_get(r, "rollout", model);
  *out = (pw_rollout){.share = 100};
  if (!one)
    return 0;
  json_t *spec = json_loads(one->spec, 0, NULL);
  pw_copy(out->from, sizeof out->from, pwjson_text(spec, "from"));
  pw_copy(out->to, sizeof out->to, pwjson_text(spec, "to"));
  out->step = (int)json_number_value(json_object_get(spec, "step"));
  out->share = json_number_value(json_object_get(spec, "share"));
  out->state = pwrollout_state_of(pwjson_text(spec, "state"));
  out->why = pwrollout_why_of(pwjson_text(spec, "why"));
  out->asked = (uint64_t)json_number_value(json_object_get(spec, "asked"));
  json_decref(spec);
  return 1;
}

json_t *pwassign_rollout_json(const pw_rollout *r) {
  return json_pack("{s:s,s:s,s:i,s:f,s:s,s:s,s:I}", "from", r->from, "to",
                   r->to, "step", r->step, "share", r->share, "state",
                   pwrollout_state_name(r->state), "why",
                   pwrollout_why_name(r->why), "asked", (json_int_t)r->asked);
}
