/* pwcache.c: an agent's estimate of its target's prefix cache. */
#include "pwcache.h"

#include <stddef.h>

#define CHATS_MAX 65536
#define KEEP_MS (7LL * 24 * 3600 * 1000) /* of a chat without requests */
#define CAPACITY_FIRST 1e9               /* tokens, until the first miss */
#define CAPACITY_LEAST 2000.0            /* tokens */
#define SHRINK 0.97                      /* factor for each miss */
#define GROW 1.005 /* factor for each hit near the capacity */

void pwcache_init(pw_cache *c) {
  c->chats = pwchat_new(CHATS_MAX, KEEP_MS);
  c->capacity = CAPACITY_FIRST;
}

void pwcache_free(pw_cache *c) {
  pwchat_free(c->chats);
}

uint32_t pwcache_expect(pw_cache *c, const char *chat, int64_t now) {
  uint32_t tokens = 0;
  if (!pwchat_get(c->chats, chat, NULL, &tokens, now))
    return 0;
  return tokens;
}

/* Adjusts the estimated capacity after a prompt whose prefix was expected to be
** cached. A miss shows that the cache holds less than all chats in the
** table. */
static void adjust_capacity(pw_cache *c, uint32_t cached, uint32_t expected) {
  if (!expected)
    return;
  double tokens = (double)pwchat_tokens(c->chats);
  if (cached < expected / 2) {
    c->capacity = (tokens < c->capacity ? tokens : c->capacity) * SHRINK;
    if (c->capacity < CAPACITY_LEAST)
      c->capacity = CAPACITY_LEAST;
  } else if (tokens > c->capacity * SHRINK) {
    c->capacity *= GROW;
  }
}

void pwcache_note(pw_cache *c, const char *chat, uint32_t prompt,
                  uint32_t cached, uint32_t expected, int64_t now) {
  adjust_capacity(c, cached, expected);
  pwchat_put(c->chats, chat, "", prompt, now);
  pwchat_fit(c->chats, (uint64_t)c->capacity);
}

void pwcache_restarted(pw_cache *c) {
  pwchat_clear(c->chats);
  c->epoch = 0;
  c->seen = 0;
}

/* Applies an event, unless the agent itself saw the chat after it. */
static void apply(pw_cache *c, const pw_cache_event *e) {
  if (pwchat_at(c->chats, e->chat) > e->at)
    return;
  if (e->tokens)
    pwchat_put(c->chats, e->chat, "", e->tokens, e->at);
  else
    pwchat_forget(c->chats, e->chat);
}

static void apply_snapshot(pw_cache *c, const pw_cache_update *update) {
  pwchat_forget_before(c->chats, update->at);
  for (size_t i = 0; i < update->n; i++)
    apply(c, &update->event[i]);
}

/* Applies events in order of their numbers and skips those seen before;
** returns 0 at a gap. */
static int apply_changes(pw_cache *c, const pw_cache_update *update) {
  for (size_t i = 0; i < update->n; i++) {
    const pw_cache_event *e = &update->event[i];
    if (e->number <= c->seen)
      continue;
    if (e->number != c->seen + 1)
      return 0;
    apply(c, e);
    c->seen = e->number;
  }
  return c->seen >= update->newest;
}

int pwcache_update(pw_cache *c, const pw_cache_update *update) {
  int complete = 1;
  if (update->is_snapshot) {
    apply_snapshot(c, update);
    c->seen = update->newest;
  } else if (update->epoch != c->epoch) {
    pwcache_restarted(c);
    return 0;
  } else {
    complete = apply_changes(c, update);
  }
  c->epoch = update->epoch;
  if (update->n)
    pwchat_sort(c->chats);
  return complete;
}
