/* models.c: the models of the stand-in engine, and the orders that load and retire them. */
#include "models.h"

#include "pwbuf.h"
#include "pwclock.h"
#include "pwjson.h"

#include <pthread.h>
#include <string.h>

#define MODELS 8

typedef struct model {
  char name[64];
  char version[64];
  int64_t ready_at; /* ms; the load ends then */
  int fails;        /* the load fails at its end */
  int is_present;   /* 0: the model is retired, or its load has failed */
  json_t *adapters;
} model;

fake_faults faults = {.checks = 1, .load_ms = 50};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static model models[MODELS];
static int nmodels;
static char role[64] = "";
static uint64_t newest_term, newest_sequence;
static int orders, stale, refused, unloaded;
static json_t *served;

static model *find(const char *name) {
  for (int i = 0; i < nmodels; i++)
    if (!strcmp(models[i].name, name))
      return &models[i];
  return NULL;
}

static const char *state_of(model *m) {
  if (!m->is_present)
    return "";
  if (pwclock_ms() < m->ready_at)
    return "loading";
  if (m->fails)
    m->is_present = 0;
  return m->fails ? "" : "loaded";
}

static int is_old(uint64_t term, uint64_t sequence) {
  if (term != newest_term)
    return term < newest_term;
  return sequence < newest_sequence;
}

static int load(const json_t *order) {
  model *m = find(pwjson_text(order, "model"));
  if (faults.refuse_orders > 0) {
    faults.refuse_orders--;
    refused++;
    return 507;
  }
  if (!m && nmodels == MODELS)
    return 507;
  if (!m) {
    m = &models[nmodels++];
    pw_copy(m->name, sizeof m->name, pwjson_text(order, "model"));
  }
  int same =
      m->is_present && !strcmp(m->version, pwjson_text(order, "version"));
  pw_copy(m->version, sizeof m->version, pwjson_text(order, "version"));
  json_decref(m->adapters);
  m->adapters = json_deep_copy(json_object_get(order, "adapters"));
  m->fails = faults.fail_loads > 0;
  faults.fail_loads -= m->fails;
  m->is_present = 1;
  if (!same)
    m->ready_at = pwclock_ms() + (int64_t)faults.load_ms;
  return 202;
}

static int execute(const json_t *order) {
  const char *op = pwjson_text(order, "op");
  if (!strcmp(op, "load"))
    return load(order);
  model *m = find(pwjson_text(order, "model"));
  if (!strcmp(op, "retire") && m)
    m->is_present = 0;
  else if (!strcmp(op, "role"))
    pw_copy(role, sizeof role, pwjson_text(order, "role"));
  return 202;
}

int models_order(uint64_t term, uint64_t sequence, const json_t *order) {
  pthread_mutex_lock(&lock);
  int status = 409;
  if (is_old(term, sequence))
    stale++;
  if (!faults.checks || !is_old(term, sequence)) {
    orders++;
    newest_term = term;
    newest_sequence = sequence;
    status = execute(order);
  }
  pthread_mutex_unlock(&lock);
  return status;
}

json_t *models_list(void) {
  pthread_mutex_lock(&lock);
  json_t *list = json_array();
  for (int i = 0; i < nmodels; i++) {
    model *m = &models[i];
    const char *state = state_of(m);
    if (!m->is_present)
      continue;
    json_array_append_new(list, json_pack("{s:s,s:s,s:s,s:O}", "model", m->name,
                                          "version", m->version, "state", state,
                                          "adapters", m->adapters));
  }
  json_t *o = json_pack("{s:s,s:o}", "role", role, "models", list);
  pthread_mutex_unlock(&lock);
  return o;
}

/* A model that no order has named is served without a version, as at the engine's start. */
int models_may_run(const char *name, char version[64]) {
  pthread_mutex_lock(&lock);
  model *m = find(name);
  int may = !m || !strcmp(state_of(m), "loaded");
  pw_copy(version, 64, m ? m->version : "");
  unloaded += !may;
  if (!served)
    served = json_object();
  json_t *n = json_object_get(served, version);
  json_object_set_new(served, version,
                      json_integer(json_integer_value(n) + may));
  int bad = faults.bad[0] && !strcmp(version, faults.bad);
  pthread_mutex_unlock(&lock);
  return may && !bad;
}

void models_forget(void) {
  pthread_mutex_lock(&lock);
  for (int i = 0; i < nmodels; i++)
    models[i].is_present = 0;
  pthread_mutex_unlock(&lock);
}

json_t *models_stats(void) {
  pthread_mutex_lock(&lock);
  json_t *o =
      json_pack("{s:i,s:i,s:i,s:i,s:o}", "orders", orders, "stale", stale,
                "refused", refused, "unloaded", unloaded, "served",
                served ? json_deep_copy(served) : json_object());
  pthread_mutex_unlock(&lock);
  return o;
}
