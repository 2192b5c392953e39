/* pwkvfeed.c: fetches the target's cache events. */
#include "pwkvfeed.h"

#include "pwbuf.h"
#include "pwclock.h"
#include "pwfetch.h"
#include "pwjson.h"
#include "pwthread.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TIMEOUT_S 5
#define ANSWER_MAX (16UL * 1024 * 1024) /* bytes: a snapshot of 65,536 chats */
#define RETRY_MS 2000                   /* after a failed request */
#define UNSUPPORTED_MS 60000 /* after a 404: the engine publishes no events */
#define STOP_MS 1000

struct pw_kvfeed {
  char *url;
  int64_t every_ms; /* between requests; 0: never */
  pw_thread thread;
  /* Protected by the thread's lock: */
  pw_cache_update update;
  int has_update; /* set from a fetch until polling is resumed */
  int is_taken;   /* `update` was taken */
  uint64_t seen;  /* number of the newest event known */
  int snapshot;   /* the next request is for a snapshot */
};

static void read_event(const json_t *one, int64_t sent_at,
                       pw_cache_update *out) {
  const char *key = pwjson_text(one, "key");
  double tokens = pwjson_number(one, "tokens", -1);
  double number = pwjson_number(one, "n", 0);
  if (!key[0] || strlen(key) >= sizeof out->event->chat || tokens < 0 ||
      tokens > UINT32_MAX || number < 0)
    return;
  pw_cache_event *e = &out->event[out->n++];
  pw_copy(e->chat, sizeof e->chat, key);
  e->tokens = (uint32_t)tokens;
  e->number = (uint64_t)number;
  e->at = sent_at - (int64_t)pwjson_number(one, "age_ms", 0);
}

int pwkvfeed_read(const char *text, size_t len, int64_t sent_at,
                  pw_cache_update *out) {
  json_t *doc = json_loadb(text, len, 0, NULL);
  const json_t *events = json_object_get(doc, "events");
  *out = (pw_cache_update){0};
  if (!json_is_array(events)) {
    json_decref(doc);
    return -1;
  }
  out->epoch = (uint64_t)pwjson_number(doc, "epoch", 0);
  out->newest = (uint64_t)pwjson_number(doc, "newest", 0);
  out->is_snapshot = json_is_true(json_object_get(doc, "all"));
  out->at = sent_at - (int64_t)pwjson_number(doc, "age_ms", 0);
  out->event = pw_alloc(sizeof *out->event * (json_array_size(events) + 1));
  size_t i;
  const json_t *one;
  json_array_foreach(events, i, one) {
    read_event(one, sent_at, out);
  }
  json_decref(doc);
  return 0;
}

/* Fetches the events after `seen`, or a snapshot. */
static pw_code fetch_events(const pw_kvfeed *f, uint64_t seen, int snapshot,
                            pw_cache_update *out) {
  char path[96];
  pw_buf text = {0};
  int status = 0;
  int64_t sent_at = pwclock_ms();
  snprintf(path, sizeof path, "/v1/cache/events?after=%llu&all=%d",
           (unsigned long long)seen, snapshot);
  pw_code rc = pwfetch_text(f->url, "GET", path, NULL, 0, NULL, TIMEOUT_S,
                            ANSWER_MAX, &status, &text);
  if (rc == PW_OK && status != 200)
    rc = status == 404 ? PW_E_PATH : PW_E_UPSTREAM;
  if (rc == PW_OK &&
      pwkvfeed_read(text.data ? text.data : "", text.len, sent_at, out) != 0)
    rc = PW_E_UPSTREAM;
  pwbuf_free(&text);
  return rc;
}

static int64_t work(void *arg) {
  pw_kvfeed *f = arg;
  pthread_mutex_lock(&f->thread.lock);
  int is_suspended = f->has_update;
  uint64_t seen = f->seen;
  int snapshot = f->snapshot;
  pthread_mutex_unlock(&f->thread.lock);
  if (is_suspended)
    return f->every_ms;
  pw_cache_update update;
  pw_code rc = fetch_events(f, seen, snapshot, &update);
  if (rc != PW_OK)
    return rc == PW_E_PATH ? UNSUPPORTED_MS : RETRY_MS;
  pthread_mutex_lock(&f->thread.lock);
  f->update = update;
  f->has_update = 1;
  f->is_taken = 0;
  pthread_mutex_unlock(&f->thread.lock);
  return f->every_ms;
}

pw_kvfeed *pwkvfeed_start(const char *url, int64_t every_ms) {
  pw_kvfeed *f = pw_alloc(sizeof *f);
  f->url = pw_dup(url);
  f->every_ms = every_ms;
  f->snapshot = 1;
  if (every_ms)
    pwthread_start(&f->thread, work, f, 0);
  return f;
}

int pwkvfeed_stop(pw_kvfeed *f) {
  if (f->every_ms && pwthread_stop(&f->thread, STOP_MS) != 0)
    return -1;
  if (f->has_update && !f->is_taken)
    pwkvfeed_clear(&f->update);
  free(f->url);
  free(f);
  return 0;
}

int pwkvfeed_take(pw_kvfeed *f, pw_cache_update *out) {
  if (!f->every_ms)
    return 0;
  pthread_mutex_lock(&f->thread.lock);
  int has = f->has_update && !f->is_taken;
  if (has) {
    *out = f->update;
    f->is_taken = 1;
  }
  pthread_mutex_unlock(&f->thread.lock);
  return has;
}

void pwkvfeed_clear(pw_cache_update *update) {
  free(update->event);
  *update = (pw_cache_update){0};
}

void pwkvfeed_resume(pw_kvfeed *f, uint64_t seen, int snapshot) {
  pthread_mutex_lock(&f->thread.lock);
  int at_once = snapshot && !f->snapshot; /* else at the next interval */
  f->seen = seen;
  f->snapshot = snapshot;
  f->has_update = 0;
  if (at_once)
    pwthread_wake(&f->thread);
  pthread_mutex_unlock(&f->thread.lock);
}
