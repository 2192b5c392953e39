/* pwchat.c: bounded tables of chats; the oldest is dropped first. */
#include "pwchat.h"

#include "pwbuf.h"

#include <stdlib.h>
#include <uthash.h>
#include <xxhash.h>

/* uthash keeps the insertion order, so the first row is the oldest. The key is
** a 128-bit hash of the chat, so a row's size does not depend on the
** caller. */
typedef struct row {
  XXH128_hash_t key;
  char target[PW_NAME_MAX];
  uint32_t tokens;
  int64_t at;
  UT_hash_handle hh;
} row;

struct pw_chats {
  row *rows;
  int cap;
  int64_t keep;
  uint64_t tokens;
};

pw_chats *pwchat_new(int cap, int64_t keep_ms) {
  pw_chats *c = pw_alloc(sizeof *c);
  c->cap = cap;
  c->keep = keep_ms;
  return c;
}

static void drop(pw_chats *c, row *r) {
  c->tokens -= r->tokens;
  HASH_DEL(c->rows, r);
  free(r);
}

void pwchat_clear(pw_chats *c) {
  row *r, *tmp;
  HASH_ITER(hh, c->rows, r, tmp) {
    drop(c, r);
  }
}

void pwchat_free(pw_chats *c) {
  if (!c)
    return;
  pwchat_clear(c);
  free(c);
}

int pwchat_count(const pw_chats *c) {
  return (int)HASH_COUNT(c->rows);
}

uint64_t pwchat_tokens(const pw_chats *c) {
  return c->tokens;
}

void pwchat_fit(pw_chats *c, uint64_t tokens) {
  while (c->tokens > tokens && pwchat_count(c) > 1)
    drop(c, c->rows);
}

static row *find(const pw_chats *c, const char *chat) {
  XXH128_hash_t key = XXH3_128bits(chat, strlen(chat));
  row *r;
  HASH_FIND(hh, c->rows, &key, sizeof key, r);
  return r;
}

void pwchat_put(pw_chats *c, const char *chat, const char *target,
                uint32_t tokens, int64_t now) {
  row *r = find(c, chat);
  if (r) {
    HASH_DEL(c->rows, r);
  } else {
    r = pw_alloc(sizeof *r);
    r->key = XXH3_128bits(chat, strlen(chat));
  }
  pw_copy(r->target, sizeof r->target, target);
  c->tokens -= r->tokens;
  c->tokens += tokens;
  r->tokens = tokens;
  r->at = now;
  HASH_ADD(hh, c->rows, key, sizeof r->key, r);
  if (pwchat_count(c) > c->cap)
    drop(c, c->rows);
}

int pwchat_get(pw_chats *c, const char *chat, char target[PW_NAME_MAX],
               uint32_t *tokens, int64_t now) {
  row *r = find(c, chat);
  if (!r)
    return 0;
  if (now - r->at > c->keep) {
    drop(c, r);
    return 0;
  }
  if (target)
    pw_copy(target, PW_NAME_MAX, r->target);
  if (tokens)
    *tokens = r->tokens;
  return 1;
}

int64_t pwchat_at(const pw_chats *c, const char *chat) {
  const row *r = find(c, chat);
  return r ? r->at : INT64_MIN;
}

void pwchat_forget_before(pw_chats *c, int64_t at) {
  row *r, *tmp;
  HASH_ITER(hh, c->rows, r, tmp) {
    if (r->at < at)
      drop(c, r);
  }
}

static int by_time(const row *a, const row *b) {
  return (a->at > b->at) - (a->at < b->at);
}

void pwchat_sort(pw_chats *c) {
  HASH_SORT(c->rows, by_time);
}

void pwchat_forget(pw_chats *c, const char *chat) {
  row *r = find(c, chat);
  if (r)
    drop(c, r);
}
