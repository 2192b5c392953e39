/* pwwhere.c: affinity table, which maps a prompt to the target that got it last. */
#include "pwwhere.h"

#include "pwbuf.h"

#include <stdlib.h>
#include <xxhash.h>

#define ROWS 16384 /* most prompts in the table, a power of two */

typedef struct row {
  uint64_t key;
  int64_t at;
  uint32_t target;
} row;

struct pw_where {
  row rows[ROWS];
};

pw_where *pwwhere_new(void) {
  return pw_alloc(sizeof(pw_where));
}

void pwwhere_free(pw_where *w) {
  free(w);
}

static size_t index_of(uint64_t key) {
  return XXH3_64bits(&key, sizeof key) & (ROWS - 1);
}

void pwwhere_note(pw_where *w, uint64_t key, uint32_t target, int64_t now) {
  row *r = &w->rows[index_of(key)];
  if (r->key == key && r->at > now)
    return;
  *r = (row){key, now, target};
}

uint32_t pwwhere_find(const pw_where *w, uint64_t key, int64_t now,
                      int64_t keep_ms) {
  const row *r = &w->rows[index_of(key)];
  return r->key == key && r->target && now - r->at <= keep_ms ? r->target : 0;
}
