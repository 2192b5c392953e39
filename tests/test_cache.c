/* test_cache.c: an agent's estimate of its target's prefix cache must stay
** correct when cache events arrive late, twice or with gaps. */
#include "pwbuf.h"
#include "pwcache.h"
#include "pwkvfeed.h"
#include "pwtest.h"

#include <string.h>

#define CHATS 40
#define LOG 20000

static pw_cache_event event_of(uint64_t number, int chat, uint32_t tokens,
                               int64_t at) {
  pw_cache_event e = {.number = number, .tokens = tokens, .at = at};
  snprintf(e.chat, sizeof e.chat, "c%d", chat);
  return e;
}

/* Applies events, or a snapshot; returns whether the estimate is complete. */
static int apply(pw_cache *c, uint64_t epoch, int snapshot, int64_t at,
                 pw_cache_event *list, size_t n, uint64_t newest) {
  pw_cache_update update = {.epoch = epoch,
                            .newest = newest,
                            .is_snapshot = snapshot,
                            .at = at,
                            .event = list,
                            .n = n};
  return pwcache_update(c, &update);
}

static void test_order(void) {
  pw_cache c;
  pwcache_init(&c);
  pw_cache_event stored = event_of(1, 1, 100, 10);
  CHECK(apply(&c, 7, 1, 5, NULL, 0, 0) == 1); /* an empty cache */
  CHECK(apply(&c, 7, 0, 0, &stored, 1, 1) == 1);
  CHECK(pwcache_expect(&c, "c1", 20) == 100);
  pw_cache_event evicted = event_of(2, 1, 0, 30);
  pwcache_note(&c, "c1", 150, 100, 100, 40); /* served after the eviction */
  CHECK(apply(&c, 7, 0, 0, &evicted, 1, 2) == 1);
  CHECK(pwcache_expect(&c, "c1", 50) == 150); /* a late event changes nothing */
  evicted = event_of(3, 1, 0, 60);
  CHECK(apply(&c, 7, 0, 0, &evicted, 1, 3) == 1);
  CHECK(pwcache_expect(&c, "c1", 70) == 0);
  pwcache_note(&c, "c1", 200, 0, 0, 55);
  CHECK(apply(&c, 7, 0, 0, &evicted, 1, 3) == 1); /* repeated: no effect */
  CHECK(pwcache_expect(&c, "c1", 70) == 200);
  pwcache_free(&c);
}

static void test_gap_and_restart(void) {
  pw_cache c;
  pwcache_init(&c);
  CHECK(apply(&c, 7, 1, 5, NULL, 0, 10) == 1);
  pw_cache_event later = event_of(12, 1, 100, 10);
  CHECK(apply(&c, 7, 0, 0, &later, 1, 12) == 0); /* event 11 is missing */
  CHECK(apply(&c, 7, 0, 0, NULL, 0, 12) == 0);   /* event 11 is still missing */
  pwcache_note(&c, "c2", 50, 0, 0, 20);
  pwcache_note(&c, "c3", 60, 0, 0, 40);
  pw_cache_event cached = event_of(0, 1, 90, 10);
  CHECK(apply(&c, 7, 1, 30, &cached, 1, 12) == 1);
  CHECK(pwcache_expect(&c, "c1", 50) == 90);
  CHECK(pwcache_expect(&c, "c2", 50) == 0);    /* not in the snapshot */
  CHECK(pwcache_expect(&c, "c3", 50) == 60);   /* served after the snapshot */
  CHECK(apply(&c, 8, 0, 0, NULL, 0, 12) == 0); /* the engine was restarted */
  CHECK(pwcache_expect(&c, "c1", 50) == 0);
  pwcache_free(&c);
}

/* A simulated engine: its cache and the log of its cache events. */
typedef struct engine {
  uint32_t tokens[CHATS];
  int64_t used[CHATS];
  pw_cache_event log[LOG];
  uint64_t n;
} engine;

static void log_change(engine *g, int chat, uint32_t tokens, int64_t now) {
  g->tokens[chat] = tokens;
  g->used[chat] = now;
  g->log[g->n] = event_of(g->n + 1, chat, tokens, now);
  g->n++;
}

/* Applies a snapshot of the engine's cache. */
static int apply_snapshot(pw_cache *c, const engine *g, int64_t now) {
  pw_cache_event list[CHATS];
  size_t n = 0;
  for (int i = 0; i < CHATS; i++)
    if (g->tokens[i])
      list[n++] = event_of(0, i, g->tokens[i], g->used[i]);
  return apply(c, 1, 1, now, list, n, g->n);
}

/* Applies ranges of the log that begin at a random earlier event, end at a random
** one, and sometimes leave out an event. A gap must be detected, a snapshot must
** repair it, and at the end the estimate must equal the engine's cache. */
static void test_against_engine(void) {
  pw_random r = {test_seed(91), 0};
  engine *g = pw_alloc(sizeof *g);
  pw_cache c;
  pwcache_init(&c);
  int completed = apply_snapshot(&c, g, 0);
  for (int64_t now = 1; now < LOG / 2; now++) {
    int chat = (int)pwrand_below(&r, CHATS);
    log_change(g, chat, pwrand_below(&r, 3) ? 1 + (uint32_t)now : 0, now);
    if (pwrand_below(&r, 5) == 0) { /* the agent itself sends a request */
      pwcache_note(&c, g->log[g->n - 1].chat, 1 + (uint32_t)now, 0, 0, now);
      log_change(g, chat, 1 + (uint32_t)now, now);
    }
    if (pwrand_below(&r, 8))
      continue;
    uint64_t from = c.seen - pwrand_below(&r, c.seen < 20 ? c.seen + 1 : 20);
    uint64_t upto = from + pwrand_below(&r, g->n - from + 1);
    int lost = pwrand_below(&r, 10) == 0 && upto > c.seen;
    if (lost) { /* the next event is missing */
      from = c.seen + 1;
      upto = upto > from ? upto : from;
    }
    if (upto < from || upto > g->n)
      continue;
    int got = apply(&c, 1, 0, 0, &g->log[from], upto - from, upto);
    CHECK(got == (upto <= c.seen));
    if (!got)
      CHECK(apply_snapshot(&c, g, now) == 1);
    completed += got;
  }
  CHECK(apply(&c, 1, 0, 0, &g->log[c.seen], g->n - c.seen, g->n) == 1);
  for (int i = 0; i < CHATS; i++) {
    char name[16];
    snprintf(name, sizeof name, "c%d", i);
    CHECK(pwcache_expect(&c, name, LOG / 2) == g->tokens[i]);
  }
  CHECK(completed > 100);
  pwcache_free(&c);
  free(g);
}

/* Malformed answers of an engine must be rejected, and malformed events skipped. */
static void test_read(void) {
  static const char *const bad[] = {"", "{", "[]", "{}", "{\"events\": 1}"};
  pw_cache_update update;
  for (size_t i = 0; i < sizeof bad / sizeof bad[0]; i++)
    CHECK(pwkvfeed_read(bad[i], strlen(bad[i]), 100, &update) == -1);
  const char *text =
      "{\"epoch\": 5, \"newest\": 3, \"all\": true, \"age_ms\": 4, \"events\": "
      "[1, {}, {\"key\": \"\"}, {\"n\": 3, \"key\": \"w/c\", \"tokens\": -1}, "
      "{\"n\": 3, \"key\": \"w/c\", \"tokens\": 7, \"age_ms\": 10}]}";
  CHECK(pwkvfeed_read(text, strlen(text), 100, &update) == 0);
  CHECK(update.epoch == 5 && update.newest == 3 && update.is_snapshot);
  CHECK(update.at == 96 && update.n == 1 && update.event[0].at == 90);
  CHECK(!strcmp(update.event[0].chat, "w/c") && update.event[0].tokens == 7);
  pwkvfeed_clear(&update);
}

int main(void) {
  TESTS_BEGIN("cache");
  TEST(test_order);
  TEST(test_gap_and_restart);
  TEST(test_against_engine);
  TEST(test_read);
  TESTS_END();
}
