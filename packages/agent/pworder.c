/* pworder.c: applies the assignment at the target. */
#include "pworder.h"

#include "pwbuf.h"
#include "pwfetch.h"
#include "pwjson.h"
#include "pwlog.h"
#include "pwthread.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define POLL_MS 200       /* interval while an order is in progress */
#define IDLE_MS 2000      /* else: detects models that the target has lost */
#define TIMEOUT_S 5       /* of one HTTP request */
#define ANSWER_MAX 262144 /* bytes of an answer */
#define STOP_MS 1000

/* Status of the order for one model. */
typedef struct order_status {
  char model[PW_NAME_MAX];
  char version[PW_NAME_MAX];
  uint64_t attempt;
  int sent;     /* the order of this attempt was sent */
  int loaded;   /* the target reports the version as loaded */
  int loading;  /* the target has accepted the order or reports loading */
  pw_code code; /* why the order failed, or PW_OK */
} order_status;

/* Whether the order has succeeded or failed. */
static int has_ended(const order_status *d) {
  return d->loaded || d->code != PW_OK;
}

struct pw_order {
  pw_proc *p;
  char *url;
  pw_thread thread;
  order_status status[PWASSIGN_MODELS]; /* used by the thread alone */
  int nstatus;

  /* Protected by the thread's lock: */
  pw_order_want want;
  int64_t until; /* no order is sent from this time on, ms */
  order_status published[PWASSIGN_MODELS]; /* copy of `status` */
  int npublished;
  uint64_t changes;
};

/* --- the target's protocol (docs/ENGINE.md) --- */

static pw_code call(pw_order *o, const char *method, const char *path,
                    const pw_fetch_header *h, int nh, const char *body,
                    json_t **out) {
  pw_buf text = {0};
  int status = 0;
  pw_code rc = pwfetch_text(o->url, method, path, h, nh, body, TIMEOUT_S,
                            ANSWER_MAX, &status, &text);
  if (rc == PW_OK && status == 409)
    rc = PW_E_STALE;
  else if (rc == PW_OK && status >= 300)
    rc = PW_E_ORDER;
  *out = rc == PW_OK ? json_loadb(text.data ? text.data : "", text.len, 0, NULL)
                     : NULL;
  pwbuf_free(&text);
  return rc;
}

static json_t *order_json(const char *op, const pw_assigned *m) {
  json_t *adapters = json_array();
  for (int i = 0; i < m->nadapters; i++)
    json_array_append_new(adapters, json_string(m->adapter[i]));
  return json_pack("{s:s,s:s,s:s,s:o}", "op", op, "model", m->model, "version",
                   m->load, "adapters", adapters);
}

/* Sends an order unless the agent's permission has expired or the desired state
** has changed. */
static pw_code send_order(pw_order *o, const pw_order_want *w, json_t *order) {
  char term[24], sequence[24];
  snprintf(term, sizeof term, "%llu", (unsigned long long)w->term);
  snprintf(sequence, sizeof sequence, "%llu", (unsigned long long)w->sequence);
  pw_fetch_header h[] = {{"Content-Type", "application/json"},
                         {"X-Order-Term", term},
                         {"X-Order-Sequence", sequence}};
  char *body = json_dumps(order, JSON_COMPACT);
  json_t *answer = NULL;
  pthread_mutex_lock(&o->thread.lock);
  int is_allowed = pwclock_ms() < o->until && o->want.sequence == w->sequence;
  pthread_mutex_unlock(&o->thread.lock);
  pw_code rc = is_allowed ? call(o, "POST", "/v1/orders", h, 3, body, &answer)
                          : PW_E_NOT_READY;
  pwcount_add(o->p->counters, PWC_ORDERS, is_allowed);
  pwevent_add(o->p->events, PWE_ORDER, rc, NULL, NULL, o->p->set->agent_target,
              "%s %s %s seq=%s", pwjson_text(order, "op"),
              pwjson_text(order, "model"), pwjson_text(order, "version"),
              sequence);
  json_decref(answer);
  json_decref(order);
  free(body);
  return rc;
}

/* --- one model --- */

static order_status *status_of(pw_order *o, const char *model) {
  for (int i = 0; i < o->nstatus; i++)
    if (!strcmp(o->status[i].model, model))
      return &o->status[i];
  if (o->nstatus == PWASSIGN_MODELS)
    return NULL;
  order_status *d = &o->status[o->nstatus++];
  *d = (order_status){0};
  pw_copy(d->model, sizeof d->model, model);
  return d;
}

static const json_t *find_model(const json_t *models, const char *model) {
  size_t i;
  const json_t *m;
  json_array_foreach(models, i, m) {
    if (!strcmp(pwjson_text(m, "model"), model))
      return m;
  }
  return NULL;
}

static int has_adapters(const json_t *m, const pw_assigned *want) {
  const json_t *list = json_object_get(m, "adapters");
  for (int k = 0; k < want->nadapters; k++) {
    size_t i;
    const json_t *name;
    int found = 0;
    json_array_foreach(list, i, name) {
      found |= json_is_string(name) &&
               !strcmp(json_string_value(name), want->adapter[k]);
    }
    if (!found)
      return 0;
  }
  return 1;
}

static int has_version(const json_t *m, const char *version) {
  return m && !strcmp(pwjson_text(m, "version"), version);
}

/* Updates the status from the target's report on the model. */
static void update_status(order_status *d, const json_t *m,
                          const pw_assigned *want) {
  int is_wanted = has_version(m, want->load);
  d->loaded = is_wanted && !strcmp(pwjson_text(m, "state"), "loaded");
  d->loading = is_wanted && !strcmp(pwjson_text(m, "state"), "loading");
  if (d->loaded || d->loading)
    d->code = PW_OK;
  else if (d->sent && d->code == PW_OK)
    d->code = PW_E_ORDER; /* accepted, but neither loading nor loaded */
}

/* Sends the order for one model if it was not sent yet. A version is exchanged
** only when no request is in progress on the previous one. */
static void apply_model(pw_order *o, const pw_order_want *w,
                        const pw_order_item *it, const json_t *models) {
  const pw_assigned *want = &it->want;
  order_status *d = status_of(o, want->model);
  if (!d)
    return;
  if (d->attempt != want->attempt || strcmp(d->version, want->load) != 0) {
    d->attempt = want->attempt;
    d->sent = 0;
    d->code = PW_OK;
    pw_copy(d->version, sizeof d->version, want->load);
  }
  const json_t *m = find_model(models, want->model);
  update_status(d, m, want);
  int complete = d->loaded && has_adapters(m, want);
  if (complete || d->loading || d->sent)
    return;
  if (!it->idle && !d->loaded)
    return;
  pw_code rc = send_order(o, w, order_json("load", want));
  if (rc == PW_E_NOT_READY)
    return;
  d->sent = 1;
  d->loading = rc == PW_OK && !d->loaded;
  d->code = rc;
}

/* Orders the target to retire models that it should no longer have. */
static void retire(pw_order *o, const pw_order_want *w, const json_t *models) {
  for (int k = 0; k < w->n; k++) {
    const pw_order_item *it = &w->item[k];
    if (!it->want.has_load && it->idle && find_model(models, it->want.model))
      send_order(o, w, order_json("retire", &it->want));
  }
}

static void set_role(pw_order *o, const pw_order_want *w, const json_t *doc) {
  if (!strcmp(pwjson_text(doc, "role"), w->role) || !w->role[0])
    return;
  send_order(o, w, json_pack("{s:s,s:s}", "op", "role", "role", w->role));
}

/* --- thread --- */

static int is_in_progress(const pw_order *o) {
  for (int i = 0; i < o->npublished; i++)
    if (!has_ended(&o->published[i]))
      return 1;
  return 0;
}

/* Copies the status for the wire thread. */
static void publish(pw_order *o) {
  pthread_mutex_lock(&o->thread.lock);
  if (o->npublished != o->nstatus ||
      memcmp(o->published, o->status, sizeof o->status) != 0) {
    memcpy(o->published, o->status, sizeof o->status);
    o->npublished = o->nstatus;
    o->changes++;
  }
  pthread_mutex_unlock(&o->thread.lock);
}

/* Polls the target once and sends due orders. Returns whether an order is in
** progress. */
static int run_round(pw_order *o) {
  json_t *doc;
  pthread_mutex_lock(&o->thread.lock);
  pw_order_want w = o->want;
  pthread_mutex_unlock(&o->thread.lock);
  if (!w.sequence)
    return 0;
  if (call(o, "GET", "/v1/models", NULL, 0, NULL, &doc) != PW_OK || !doc) {
    json_decref(doc);
    return 1;
  }
  const json_t *models = json_object_get(doc, "models");
  for (int i = 0; i < w.n; i++)
    if (w.item[i].want.has_load)
      apply_model(o, &w, &w.item[i], models);
  retire(o, &w, models);
  set_role(o, &w, doc);
  json_decref(doc);
  publish(o);
  return is_in_progress(o);
}

static int64_t work(void *arg) {
  return run_round(arg) ? POLL_MS : IDLE_MS;
}

pw_order *pworder_start(pw_proc *p, const char *url) {
  pw_order *o = pw_alloc(sizeof *o);
  o->p = p;
  o->url = pw_dup(url);
  pwthread_start(&o->thread, work, o, IDLE_MS);
  return o;
}

int pworder_stop(pw_order *o) {
  if (pwthread_stop(&o->thread, STOP_MS) != 0)
    return -1;
  free(o->url);
  free(o);
  return 0;
}

/* --- called by the wire thread --- */

/* Whether the new desired state gives the thread work at once. */
static int has_new_work(const pw_order *o, const pw_order_want *want) {
  if (o->want.sequence != want->sequence)
    return 1;
  for (int i = 0; i < want->n && i < o->want.n; i++)
    if (want->item[i].idle && !o->want.item[i].idle)
      return !o->npublished || is_in_progress(o);
  return 0;
}

void pworder_set_want(pw_order *o, const pw_order_want *want, int64_t until) {
  pthread_mutex_lock(&o->thread.lock);
  int wake = has_new_work(o, want);
  o->want = *want;
  o->until = until;
  if (wake)
    pwthread_wake(&o->thread);
  pthread_mutex_unlock(&o->thread.lock);
}

static Pw__ModelState *model_state(const order_status *d) {
  Pw__ModelState *m = pw_alloc(sizeof *m);
  pw__model_state__init(m);
  m->model = pw_dup(d->model);
  m->version = pw_dup(d->version);
  m->loaded = d->loaded;
  m->code = d->code;
  m->attempt = d->attempt;
  return m;
}

uint64_t pworder_changes(pw_order *o) {
  pthread_mutex_lock(&o->thread.lock);
  uint64_t changes = o->changes;
  pthread_mutex_unlock(&o->thread.lock);
  return changes;
}

void pworder_state(pw_order *o, Pw__TargetState *out) {
  pthread_mutex_lock(&o->thread.lock);
  out->models = pw_alloc(sizeof *out->models * PWASSIGN_MODELS);
  for (int i = 0; i < o->npublished; i++)
    if (has_ended(&o->published[i]))
      out->models[out->n_models++] = model_state(&o->published[i]);
  pthread_mutex_unlock(&o->thread.lock);
}

void pworder_state_clear(Pw__TargetState *s) {
  for (size_t i = 0; i < s->n_models; i++)
    pw__model_state__free_unpacked(s->models[i], NULL);
  free(s->models);
}
