/* pwcache.h: an agent's picture of its target's prefix cache.
**
** The engine says how much of a prompt it found cached only when it starts to
** answer, and its cache events come late and with gaps. So the agent keeps the
** chats it sent there, newest last, up to a size in tokens that it learns: a
** prefix that was expected and not found shrinks it, prefixes found near the
** old end let it grow. A wrong picture costs a hop or an estimate, never an
** answer. */
#ifndef PWCACHE_H
#define PWCACHE_H

#include "pwchat.h"

typedef struct pw_cache {
  pw_chats *chats;
  double room; /* tokens the target's cache is believed to hold */
} pw_cache;

void pwcache_init(pw_cache *c);
void pwcache_free(pw_cache *c);

/* Tokens of a chat's prefix believed to be cached; 0: none. */
uint32_t pwcache_expect(pw_cache *c, const char *chat, int64_t now);

/* The target answered a prompt of `prompt` tokens, of which it found `cached`;
** `expected` is what pwcache_expect gave before. */
void pwcache_seen(pw_cache *c, const char *chat, uint32_t prompt,
                  uint32_t cached, uint32_t expected, int64_t now);

/* The target evicted the chat, or was restarted. */
void pwcache_evicted(pw_cache *c, const char *chat);
void pwcache_restarted(pw_cache *c);

#endif
