/* cachelog.c: the stand-in engine's cache events. */
#include "cachelog.h"

#include "pwbuf.h"
#include "pwclock.h"

#define EVENTS_MAX 1024 /* older events are lost, which readers see as a gap */
#define KEY_BYTES 256

typedef struct event {
  uint64_t n;
  char key[KEY_BYTES];
  uint32_t tokens;
  int64_t at;
} event;

cachelog_faults cache_faults;
static event ring[EVENTS_MAX];
static uint64_t newest;
static int64_t epoch;

void cachelog_add(const char *key, uint32_t tokens) {
  newest++;
  event *e = &ring[newest % EVENTS_MAX];
  e->n = newest;
  if (cache_faults.lose > 0) {
    cache_faults.lose--;
    e->n = 0;
    return;
  }
  pw_copy(e->key, sizeof e->key, key);
  e->tokens = tokens;
  e->at = pwclock_ms();
}

json_t *cachelog_item(uint64_t n, const char *key, uint32_t tokens,
                      int64_t at) {
  return json_pack("{s:I,s:s,s:I,s:I}", "n", (json_int_t)n, "key", key,
                   "tokens", (json_int_t)tokens, "age_ms",
                   (json_int_t)(pwclock_ms() - at));
}

static json_t *head(int all, uint64_t last) {
  if (!epoch)
    epoch = pwclock_wall_ms();
  return json_pack("{s:I,s:I,s:b,s:[]}", "epoch", (json_int_t)epoch, "newest",
                   (json_int_t)last, "all", all, "events");
}

json_t *cachelog_all(void) {
  return head(1, newest);
}

json_t *cachelog_after(uint64_t after) {
  int64_t now = pwclock_ms();
  uint64_t last = after;
  json_t *list = json_array();
  for (uint64_t n = after + 1; n <= newest; n++) {
    const event *e = &ring[n % EVENTS_MAX];
    if (e->n == n && (double)(now - e->at) < cache_faults.late_ms)
      break;
    last = n;
    if (e->n == n)
      json_array_append_new(list, cachelog_item(n, e->key, e->tokens, e->at));
  }
  json_t *out = head(0, last);
  json_object_set_new(out, "events", list);
  return out;
}
