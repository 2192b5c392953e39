/* pwaffinity.c: affinity table, which maps a prompt to the target that got it
** last. */
#include "pwaffinity.h"

#include "pwbuf.h"

#include <stdlib.h>
#include <xxhash.h>

#define ROWS 16384 /* most prompts in the table, a power of two */

typedef struct row {
  uint64_t key;
  int64_t at;
  uint32_t target;
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

static size_t index_of(uint64_t key) {
  return XXH3_64bits(&key, sizeof key) & (ROWS - 1);
}

void pwaffinity_note(pw_affinity *a, uint64_t key, uint32_t target,
                     int64_t now) {
  row *r = &a->rows[index_of(key)];
  if (r->key == key && r->at > now)
    return;
  *r = (row){key, now, target};
}

uint32_t pwaffinity_find(const pw_affinity *a, uint64_t key, int64_t now,
                         int64_t keep_ms) {
  const row *r = &a->rows[index_of(key)];
  return r->key == key && r->target && now - r->at <= keep_ms ? r->target : 0;
}
