/* pwcache.h: an agent's picture of its target's prefix cache.
**
** The engine says how much of a prompt it found cached when it starts to
** answer. So the agent keeps the chats it sent there, newest last, up to a size
** in tokens that it learns: a prefix that was expected and not found shrinks
** it, prefixes found near the old end let it grow.
**
** Engines that publish cache events correct the picture. Events come late,
** twice and with gaps: each has a number and a time; one that was seen, or is
** older than what the agent itself saw of that chat, changes nothing; after a
** gap the whole picture is asked for anew. A wrong picture costs a hop or an
** estimate, never an answer. */
#ifndef PWCACHE_H
#define PWCACHE_H

#include "pwchat.h"

#include <stddef.h>

typedef struct pw_cache {
  pw_chats *chats;
  double room;    /* tokens the target's cache is believed to hold */
  uint64_t epoch; /* of the engine's events: its life; 0: none heard yet */
  uint64_t seen;  /* number of the newest event that counted */
} pw_cache;

/* One event: the engine holds `tokens` of the chat's prefix; 0: none. */
typedef struct pw_cache_event {
  uint64_t number; /* from 1, by 1 */
  char chat[PW_KEY_MAX + PW_NAME_MAX + 2];
  uint32_t tokens;
  int64_t at; /* when it happened, our clock in ms */
} pw_cache_event;

/* Events as they were told together. */
typedef struct pw_cache_news {
  uint64_t epoch;  /* another one: the engine was restarted */
  uint64_t newest; /* number of the newest event up to which this tells all */
  int is_picture;  /* all that the engine holds as of `at`, not what changed */
  int64_t at;      /* of a picture, our clock in ms */
  pw_cache_event *event;
  size_t n;
} pw_cache_news;

void pwcache_init(pw_cache *c);
void pwcache_free(pw_cache *c);

/* Tokens of a chat's prefix believed to be cached; 0: none. */
uint32_t pwcache_expect(pw_cache *c, const char *chat, int64_t now);

/* The target answered a prompt of `prompt` tokens, of which it found `cached`;
** `expected` is what pwcache_expect gave before. */
void pwcache_seen(pw_cache *c, const char *chat, uint32_t prompt,
                  uint32_t cached, uint32_t expected, int64_t now);

/* The target was restarted: it holds nothing, and its events begin anew. */
void pwcache_restarted(pw_cache *c);

/* Takes events. Gives 1 when the picture is whole up to news->newest, 0 when
** events are missing, so that a picture is to be asked for. */
int pwcache_news(pw_cache *c, const pw_cache_news *news);

#endif
