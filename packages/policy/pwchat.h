/* pwchat.h: bounded tables of chats. An agent lists the chats whose prefix its
** target has cached, and the target that has the prefix of each chat served
** away from its home. */
#ifndef PWCHAT_H
#define PWCHAT_H

#include "pwlimits.h"

#include <stdint.h>

typedef struct pw_chats pw_chats;

/* A table of at most cap chats, each dropped keep_ms after it was last put. */
pw_chats *pwchat_new(int cap, int64_t keep_ms);
void pwchat_free(pw_chats *c);
int pwchat_count(const pw_chats *c);

/* Sum of the tokens of all chats. */
uint64_t pwchat_tokens(const pw_chats *c);

/* Drops the oldest chats until the sum is at most `tokens`; the newest
** stays. */
void pwchat_fit(pw_chats *c, uint64_t tokens);

/* Adds or updates a chat, as the newest; a full table drops the oldest.
** `target` is a target name or ""; `tokens` is the length of the cached
** prefix. */
void pwchat_put(pw_chats *c, const char *chat, const char *target,
                uint32_t tokens, int64_t now);

/* Looks up a chat; 0: unknown or expired. `target` and `tokens` may be NULL. */
int pwchat_get(pw_chats *c, const char *chat, char target[PW_NAME_MAX],
               uint32_t *tokens, int64_t now);

/* The time with which a chat was last put; INT64_MIN when unknown. */
int64_t pwchat_at(const pw_chats *c, const char *chat);

/* Drops all chats that were put before a time. */
void pwchat_forget_before(pw_chats *c, int64_t at);

/* Sorts the chats by the time with which they were put, after some were put
** with an earlier time. */
void pwchat_sort(pw_chats *c);

void pwchat_forget(pw_chats *c, const char *chat);
void pwchat_clear(pw_chats *c);

#endif
