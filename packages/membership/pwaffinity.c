/* pwaffinity.c: affinity table, which maps a shared part of a prompt to the
** targets that have it cached. */
#include "pwaffinity.h"

#include "pwbuf.h"

#include <stdlib.h>
#include <xxhash.h>

#define ROWS 16384 /* most parts in the table, a power of two */
#define WAYS 4     /* rows among which a part is looked up */

/* Other gateways are told again after keep_ms divided by this, so that they do
** not forget a target that only this gateway uses for the part. */
#define ANNOUNCE_DIVISOR 2

typedef struct holder {
  uint32_t target; /* short hash; 0: unused */
  int64_t at;      /* when the part was last used there, ms */
  int64_t
      announced_at; /* when gateways last told each other so, ms; 0: never */
} holder;

typedef struct row {
  uint64_t key;
  holder holder[PWAFFINITY_HOLDERS]; /* the most recently used first */
} row;

struct pw_affinity {
  row rows[ROWS];
};

pw_affinity *pwaffinity_new(void) {
  return pw_alloc(sizeof(pw_affinity));
}

void pwaffinity_free(pw_affinity *a) {
  free(a);
}

/* The first of the rows among which a part is looked up. */
static size_t index_of(uint64_t key) {
  return XXH3_64bits(&key, sizeof key) & (ROWS - WAYS);
}

static const row *find(const pw_affinity *a, uint64_t key) {
  const row *r = &a->rows[index_of(key)];
  for (int i = 0; i < WAYS; i++)
    if (r[i].key == key)
      return &r[i];
  return NULL;
}

/* The row of a part; one that is not there replaces the least recently used one. */
static row *find_or_add(pw_affinity *a, uint64_t key) {
  row *r = &a->rows[index_of(key)], *oldest = r;
  for (int i = 0; i < WAYS; i++) {
    if (r[i].key == key)
      return &r[i];
    if (r[i].holder[0].at < oldest->holder[0].at)
      oldest = &r[i];
  }
  *oldest = (row){.key = key};
  return oldest;
}

/* Moves the target to the front of its row, adding it if it is not there. */
static holder *use(pw_affinity *a, uint64_t key, uint32_t target) {
  row *r = find_or_add(a, key);
  int i = 0;
  while (i < PWAFFINITY_HOLDERS - 1 && r->holder[i].target != target)
    i++;
  holder used = r->holder[i];
  if (used.target != target)
    used = (holder){.target = target};
  for (; i > 0; i--)
    r->holder[i] = r->holder[i - 1];
  r->holder[0] = used;
  return &r->holder[0];
}

int pwaffinity_note(pw_affinity *a, uint64_t key, uint32_t target, int64_t now,
                    int64_t keep_ms) {
  holder *h = use(a, key, target);
  h->at = now;
  if (h->announced_at && now - h->announced_at <= keep_ms / ANNOUNCE_DIVISOR)
    return 0;
  h->announced_at = now;
  return 1;
}

void pwaffinity_learn(pw_affinity *a, uint64_t key, uint32_t target,
                      int64_t now) {
  if (!target)
    return;
  holder *h = use(a, key, target);
  h->at = h->announced_at = now;
}

int pwaffinity_holders(const pw_affinity *a, uint64_t key, int64_t now,
                       int64_t keep_ms, uint32_t target[PWAFFINITY_HOLDERS]) {
  const row *r = find(a, key);
  int n = 0;
  for (int i = 0; r && i < PWAFFINITY_HOLDERS; i++)
    if (r->holder[i].target && now - r->holder[i].at <= keep_ms)
      target[n++] = r->holder[i].target;
  return n;
}

int pwaffinity_next(const pw_affinity *a, size_t *at, int64_t now,
                    int64_t keep_ms, uint64_t *key, uint32_t *target) {
  while (*at < (size_t)ROWS * PWAFFINITY_HOLDERS) {
    const row *r = &a->rows[*at / PWAFFINITY_HOLDERS];
    const holder *h = &r->holder[*at % PWAFFINITY_HOLDERS];
    ++*at;
    if (!h->target || now - h->at > keep_ms || r->key & PWAFFINITY_PREFILL)
      continue;
    *key = r->key;
    *target = h->target;
    return 1;
  }
  return 0;
}
