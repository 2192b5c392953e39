/* pwchat.h: bounded tables of chats: whose prefix is cached here, and where a
** displaced chat's prefix lies. */
#ifndef PWCHAT_H
#define PWCHAT_H

#include "pwlimits.h"

#include <stdint.h>

typedef struct pw_chats pw_chats;

/* At most cap chats, each forgotten keep_ms after it was last put. */
pw_chats *pwchat_new(int cap, int64_t keep_ms);
void pwchat_free(pw_chats *c);
int pwchat_count(const pw_chats *c);

/* Sum of the tokens, and forgetting the oldest until the sum fits. */
uint64_t pwchat_tokens(const pw_chats *c);
void pwchat_fit(pw_chats *c, uint64_t tokens);

/* Remembers a chat, as the newest; the oldest makes room. `where` is a target
** name or ""; tokens is the length of the cached prefix. */
void pwchat_put(pw_chats *c, const char *chat, const char *where,
                uint32_t tokens, int64_t now);

/* Looks a chat up; 0 when unknown or expired. where and tokens may be NULL. */
int pwchat_get(pw_chats *c, const char *chat, char where[PW_NAME_MAX],
               uint32_t *tokens, int64_t now);

/* When a chat was last put, as it was told; INT64_MIN when unknown. */
int64_t pwchat_at(const pw_chats *c, const char *chat);

/* Forgets all that were put before a time. */
void pwchat_forget_before(pw_chats *c, int64_t at);

/* Puts the chats in order of when they were put: for times told late. */
void pwchat_sort(pw_chats *c);

void pwchat_forget(pw_chats *c, const char *chat);
void pwchat_clear(pw_chats *c);

#endif
