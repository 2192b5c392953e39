/* pwcache.h: an agent's estimate of its target's prefix cache.
**
** The engine reports how much of a prompt it found cached when it starts to
** answer. From this the agent keeps a table of the chats that it sent there,
** newest last, up to a capacity in tokens that it learns: a prefix that was
** expected and not found shrinks it, prefixes found near the old end let it
** grow.
**
** Engines that publish cache events correct the estimate. Events arrive late,
** twice and with gaps: each has a number and a time. An event that was seen
** before, or is older than what the agent itself saw of that chat, changes
** nothing; after a gap a full snapshot is requested. A wrong estimate costs a
** hop or a wrongly estimated wait, never an answer. */
#ifndef PWCACHE_H
#define PWCACHE_H

#include "pwchat.h"

#include <stddef.h>

typedef struct pw_cache {
  pw_chats *chats;
  double capacity; /* tokens that the target's cache is believed to hold */
  uint64_t epoch;  /* epoch of the engine's events; 0: none arrived yet */
  uint64_t seen;   /* number of the newest event that was applied */
} pw_cache;

/* One event: the engine holds `tokens` of the chat's prefix; 0: none. */
typedef struct pw_cache_event {
  uint64_t number; /* consecutive, from 1 */
  char chat[PW_KEY_MAX + PW_NAME_MAX + 2];
  uint32_t tokens;
  int64_t at; /* when it happened, ms on this process's clock */
} pw_cache_event;

/* A batch of events. */
typedef struct pw_cache_update {
  uint64_t epoch;  /* changes when the engine restarts */
  uint64_t newest; /* number of the newest event covered by this batch */
  int is_snapshot; /* a snapshot of the whole cache as of `at`, not changes */
  int64_t at;      /* time of a snapshot, ms on this process's clock */
  pw_cache_event *event;
  size_t n;
} pw_cache_update;

void pwcache_init(pw_cache *c);
void pwcache_free(pw_cache *c);

/* Tokens of a chat's prefix believed to be cached; 0: none. */
uint32_t pwcache_expect(pw_cache *c, const char *chat, int64_t now);

/* The target answered a prompt of `prompt` tokens and found `cached` of them in
** its cache; `expected` is what pwcache_expect returned before. */
void pwcache_note(pw_cache *c, const char *chat, uint32_t prompt,
                  uint32_t cached, uint32_t expected, int64_t now);

/* The target restarted: its cache is empty and its events begin again. */
void pwcache_restarted(pw_cache *c);

/* Applies a batch of events. Returns 1 if nothing is missing up to
** update->newest, 0 if events are missing, so that a snapshot has to be
** requested. */
int pwcache_update(pw_cache *c, const pw_cache_update *update);

#endif
