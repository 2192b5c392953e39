/* pwproc.c: state and HTTP answers common to all roles of a process. */
#include "pwproc.h"

#include "pwlog.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

/* Limits of the listener at instance.metrics. */
#define METRICS_CONNECTIONS 64
#define METRICS_IDLE_S 60
#define METRICS_BODY 4096 /* bytes */

pw_code pwproc_init(pw_proc *p, const pw_settings *set, const char *role,
                    pw_buf *err) {
  p->set = set;
  p->role = role;
  pwhlc_init(&p->hlc);
  p->counters = pwcount_new();
  p->events = pwevent_new(&p->hlc, PW_EVENTS);
  p->wire = pwwire_new(set, p->counters, &p->hlc, err);
  if (!p->wire)
    return PW_E_SETTINGS;
  pwevent_add(p->events, PWE_START, 0, NULL, NULL, NULL, "role=%s", role);
  return PW_OK;
}

void pwproc_free(pw_proc *p) {
  pwwire_free(p->wire);
  pwevent_free(p->events);
  pwcount_free(p->counters);
}

void pwproc_set_ready(pw_proc *p, int ready) {
  if (atomic_exchange(&p->ready, ready) == ready)
    return;
  pwlog(LOG_NOTICE, ready ? "ready" : "not-ready", "%s", "");
}

static void reply_text(pw_http *h, int status, const char *text) {
  pwserve_reply(h, status, "text/plain; charset=utf-8", text, strlen(text));
}

static void reply_metrics(pw_proc *p, pw_http *h) {
  pw_buf b = {0};
  pwcount_render(p->counters, &b);
  pwserve_reply(h, 200, "text/plain; version=0.0.4", b.data, b.len);
  pwbuf_free(&b);
}

static void reply_events(pw_proc *p, pw_http *h) {
  const char *since = pwserve_query(h, "since");
  uint64_t from = since ? strtoull(since, NULL, 10) : 0;
  pwproc_json(h, 200, pwevent_json(p->events, from, p->set->name));
}

int pwproc_handle(pw_proc *p, pw_http *h) {
  const char *path = pwserve_path(h);
  int ready = atomic_load(&p->ready) && !atomic_load(&p->stopping);
  if (!strcmp(path, "/health/live"))
    reply_text(h, 200, "live\n");
  else if (!strcmp(path, "/health/ready"))
    reply_text(h, ready ? 200 : 503, ready ? "ready\n" : "not ready\n");
  else if (!strcmp(path, "/metrics"))
    reply_metrics(p, h);
  else if (!strcmp(path, "/v1/events"))
    reply_events(p, h);
  else
    return 0;
  return 1;
}

static void handle_metrics(void *arg, pw_http *h, int again) {
  (void)again; /* no request is answered later */
  if (!pwproc_handle(arg, h))
    pwproc_refuse(h, PW_E_PATH, "", "not-run", 0);
}

int pwproc_serve_metrics(pw_proc *p, pw_server **out, pw_buf *err) {
  pw_serve_setup setup = {.addr = p->set->metrics,
                          .threads = 1,
                          .max_body = METRICS_BODY,
                          .max_connections = METRICS_CONNECTIONS,
                          .idle_timeout = METRICS_IDLE_S,
                          .memory = p->memory,
                          .is_reserved = 1,
                          .arg = p,
                          .handle = handle_metrics};
  *out = NULL;
  if (!p->set->metrics[0])
    return 0;
  *out = pwserve_start(&setup, err);
  return *out ? 0 : -1;
}

void pwproc_json(pw_http *h, int status, json_t *value) {
  char *text = json_dumps(value, JSON_COMPACT | JSON_SORT_KEYS);
  json_decref(value);
  pwserve_reply(h, status, "application/json", text ? text : "{}",
                text ? strlen(text) : 2);
  free(text);
}

void pwproc_refuse(pw_http *h, pw_code code, const char *message,
                   const char *outcome, uint32_t retry_ms) {
  char number[16];
  snprintf(number, sizeof number, "%d", (int)code);
  pwserve_add_header(h, "Peatwell-Code", number);
  pwserve_add_header(h, "Peatwell-Outcome", outcome);
  if (retry_ms) {
    snprintf(number, sizeof number, "%u", (retry_ms + 999) / 1000);
    pwserve_add_header(h, "Retry-After", number);
  }
  const char *text = message && message[0] ? message : pwcode_text(code);
  pwproc_json(h, pwcode_http(code),
              json_pack("{s:{s:i,s:s,s:s}}", "error", "code", (int)code, "name",
                        pwcode_name(code), "message", text));
}

const char *pwproc_bearer(pw_http *h) {
  const char *v = pwserve_header(h, "Authorization");
  if (!v || strncasecmp(v, "Bearer ", 7) != 0)
    return "";
  return v + 7;
}
