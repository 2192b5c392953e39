/* test_cache.c: an agent's picture of its target's cache, from cache events
** that come late, twice and with gaps. */
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

static int tell(pw_cache *c, uint64_t epoch, int picture, int64_t at,
                pw_cache_event *list, size_t n, uint64_t newest) {
  pw_cache_news news = {.epoch = epoch,
                        .newest = newest,
                        .is_picture = picture,
                        .at = at,
                        .event = list,
                        .n = n};
  return pwcache_news(c, &news);
}

static void test_order(void) {
  pw_cache c;
  pwcache_init(&c);
  pw_cache_event stored = event_of(1, 1, 100, 10);
  CHECK(tell(&c, 7, 1, 5, NULL, 0, 0) == 1); /* nothing cached at first */
  CHECK(tell(&c, 7, 0, 0, &stored, 1, 1) == 1);
  CHECK(pwcache_expect(&c, "c1", 20) == 100);
  pw_cache_event evicted = event_of(2, 1, 0, 30);
  pwcache_seen(&c, "c1", 150, 100, 100, 40); /* served again after that */
  CHECK(tell(&c, 7, 0, 0, &evicted, 1, 2) == 1);
  CHECK(pwcache_expect(&c, "c1", 50) == 150); /* late: nothing changes */
  evicted = event_of(3, 1, 0, 60);
  CHECK(tell(&c, 7, 0, 0, &evicted, 1, 3) == 1);
  CHECK(pwcache_expect(&c, "c1", 70) == 0);
  pwcache_seen(&c, "c1", 200, 0, 0, 55); /* twice: it was seen, and counted */
  CHECK(tell(&c, 7, 0, 0, &evicted, 1, 3) == 1);
  CHECK(pwcache_expect(&c, "c1", 70) == 200);
  pwcache_free(&c);
}

static void test_gap_and_restart(void) {
  pw_cache c;
  pwcache_init(&c);
  CHECK(tell(&c, 7, 1, 5, NULL, 0, 10) == 1);
  pw_cache_event later = event_of(12, 1, 100, 10);
  CHECK(tell(&c, 7, 0, 0, &later, 1, 12) == 0); /* 11 is missing */
  CHECK(tell(&c, 7, 0, 0, NULL, 0, 12) == 0);   /* and so it is at the end */
  pwcache_seen(&c, "c2", 50, 0, 0, 20);
  pwcache_seen(&c, "c3", 60, 0, 0, 40);
  pw_cache_event held = event_of(0, 1, 90, 10);
  CHECK(tell(&c, 7, 1, 30, &held, 1, 12) == 1);
  CHECK(pwcache_expect(&c, "c1", 50) == 90);
  CHECK(pwcache_expect(&c, "c2", 50) == 0);   /* not held when it was told */
  CHECK(pwcache_expect(&c, "c3", 50) == 60);  /* served after that */
  CHECK(tell(&c, 8, 0, 0, NULL, 0, 12) == 0); /* another life */
  CHECK(pwcache_expect(&c, "c1", 50) == 0);
  pwcache_free(&c);
}

/* An engine's cache as it is, and the log of what happened to it. */
typedef struct engine {
  uint32_t tokens[CHATS];
  int64_t used[CHATS];
  pw_cache_event log[LOG];
  uint64_t n;
} engine;

static void change(engine *g, int chat, uint32_t tokens, int64_t now) {
  g->tokens[chat] = tokens;
  g->used[chat] = now;
  g->log[g->n] = event_of(g->n + 1, chat, tokens, now);
  g->n++;
}

static int tell_all(pw_cache *c, const engine *g, int64_t now) {
  pw_cache_event list[CHATS];
  size_t n = 0;
  for (int i = 0; i < CHATS; i++)
    if (g->tokens[i])
      list[n++] = event_of(0, i, g->tokens[i], g->used[i]);
  return tell(c, 1, 1, now, list, n, g->n);
}

/* Answers with events from a random earlier number on, some lost, not yet up to
** the newest: whatever came, a picture at the end makes both equal; and as long
** as nothing was lost, so does the log alone. */
static void test_against_engine(void) {
  pw_random r = {test_seed(91), 0};
  engine *g = pw_alloc(sizeof *g);
  pw_cache c;
  pwcache_init(&c);
  int whole = tell_all(&c, g, 0);
  for (int64_t now = 1; now < LOG / 2; now++) {
    int chat = (int)pwrand_below(&r, CHATS);
    change(g, chat, pwrand_below(&r, 3) ? 1 + (uint32_t)now : 0, now);
    if (pwrand_below(&r, 5) == 0) { /* the agent sees this one itself */
      pwcache_seen(&c, g->log[g->n - 1].chat, 1 + (uint32_t)now, 0, 0, now);
      change(g, chat, 1 + (uint32_t)now, now);
    }
    if (pwrand_below(&r, 8))
      continue;
    uint64_t from = c.seen - pwrand_below(&r, c.seen < 20 ? c.seen + 1 : 20);
    uint64_t upto = from + pwrand_below(&r, g->n - from + 1);
    int lost = pwrand_below(&r, 10) == 0 && upto > c.seen;
    if (lost) { /* everything but what comes next */
      from = c.seen + 1;
      upto = upto > from ? upto : from;
    }
    if (upto < from || upto > g->n)
      continue;
    int got = tell(&c, 1, 0, 0, &g->log[from], upto - from, upto);
    CHECK(got == (upto <= c.seen));
    if (!got)
      CHECK(tell_all(&c, g, now) == 1);
    whole += got;
  }
  CHECK(tell(&c, 1, 0, 0, &g->log[c.seen], g->n - c.seen, g->n) == 1);
  for (int i = 0; i < CHATS; i++) {
    char name[16];
    snprintf(name, sizeof name, "c%d", i);
    CHECK(pwcache_expect(&c, name, LOG / 2) == g->tokens[i]);
  }
  CHECK(whole > 100);
  pwcache_free(&c);
  free(g);
}

/* What an engine may send, and must not harm. */
static void test_read(void) {
  static const char *const bad[] = {"", "{", "[]", "{}", "{\"events\": 1}"};
  pw_cache_news news;
  for (size_t i = 0; i < sizeof bad / sizeof bad[0]; i++)
    CHECK(pwkvfeed_read(bad[i], strlen(bad[i]), 100, &news) == -1);
  const char *text =
      "{\"epoch\": 5, \"newest\": 3, \"all\": true, \"age_ms\": 4, \"events\": "
      "[1, {}, {\"key\": \"\"}, {\"n\": 3, \"key\": \"w/c\", \"tokens\": -1}, "
      "{\"n\": 3, \"key\": \"w/c\", \"tokens\": 7, \"age_ms\": 10}]}";
  CHECK(pwkvfeed_read(text, strlen(text), 100, &news) == 0);
  CHECK(news.epoch == 5 && news.newest == 3 && news.is_picture);
  CHECK(news.at == 96 && news.n == 1 && news.event[0].at == 90);
  CHECK(!strcmp(news.event[0].chat, "w/c") && news.event[0].tokens == 7);
  pwkvfeed_clear(&news);
}

int main(void) {
  TESTS_BEGIN("cache");
  TEST(test_order);
  TEST(test_gap_and_restart);
  TEST(test_against_engine);
  TEST(test_read);
  TESTS_END();
}
