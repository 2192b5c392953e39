/* pwevent.c: ring buffer of typed events. */
#include "pwevent.h"

#include "pwbuf.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>

struct pw_events {
  pthread_mutex_t lock;
  pw_hlc *hlc;
  pw_event *ring;
  int cap;
  uint64_t count; /* events added since the start */
};

static const char *const names[] = {
#define PW_EVENT_NAME(id, name) name,
    PW_EVENT_KINDS(PW_EVENT_NAME)
#undef PW_EVENT_NAME
};

pw_events *pwevent_new(pw_hlc *hlc, int cap) {
  pw_events *r = pw_alloc(sizeof *r);
  pthread_mutex_init(&r->lock, NULL);
  r->hlc = hlc;
  r->cap = cap;
  r->ring = pw_alloc(sizeof(pw_event) * (size_t)cap);
  return r;
}

void pwevent_free(pw_events *r) {
  if (!r)
    return;
  pthread_mutex_destroy(&r->lock);
  free(r->ring);
  free(r);
}

void pwevent_add(pw_events *r, pw_event_kind kind, int code,
                 const char *request, const char *chat, const char *target,
                 const char *fmt, ...) {
  pw_event e = {.kind = kind, .code = code};
  pw_copy(e.request, sizeof e.request, request);
  pw_copy(e.chat, sizeof e.chat, chat);
  pw_copy(e.target, sizeof e.target, target);
  va_list ap;
  va_start(ap, fmt);
  vsnprintf(e.detail, sizeof e.detail, fmt, ap);
  va_end(ap);
  pthread_mutex_lock(&r->lock);
  e.hlc = pwhlc_tick(r->hlc, pwclock_wall_ms());
  r->ring[r->count % (uint64_t)r->cap] = e;
  r->count++;
  pthread_mutex_unlock(&r->lock);
}

static void put(json_t *o, const char *key, const char *value) {
  if (value[0])
    json_object_set_new(o, key, json_string(value));
}

static json_t *event_json(const pw_event *e, const char *instance) {
  json_t *o = json_object();
  json_object_set_new(o, "hlc", json_integer((json_int_t)e->hlc));
  put(o, "instance", instance);
  put(o, "event", names[e->kind]);
  if (e->code)
    json_object_set_new(o, "code", json_integer(e->code));
  put(o, "request", e->request);
  put(o, "chat", e->chat);
  put(o, "target", e->target);
  put(o, "detail", e->detail);
  return o;
}

json_t *pwevent_json(pw_events *r, uint64_t since, const char *instance) {
  json_t *list = json_array();
  pthread_mutex_lock(&r->lock);
  uint64_t cap = (uint64_t)r->cap;
  uint64_t first = r->count > cap ? r->count - cap : 0;
  for (uint64_t i = first; i < r->count; i++) {
    const pw_event *e = &r->ring[i % cap];
    if (e->hlc > since)
      json_array_append_new(list, event_json(e, instance));
  }
  pthread_mutex_unlock(&r->lock);
  return list;
}
