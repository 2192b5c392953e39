/* pwwhere.c: where prompts were sent last. */
#include "pwwhere.h"

#include "pwbuf.h"

#include <stdlib.h>
#include <xxhash.h>

#define PLACES 16384 /* prompts that are remembered, a power of two */

typedef struct place {
  uint64_t key;
  int64_t at;
  uint32_t target;
} place;

struct pw_where {
  place places[PLACES];
};

pw_where *pwwhere_new(void) {
  return pw_alloc(sizeof(pw_where));
}

void pwwhere_free(pw_where *w) {
  free(w);
}

static size_t index_of(uint64_t key) {
  return XXH3_64bits(&key, sizeof key) & (PLACES - 1);
}

void pwwhere_note(pw_where *w, uint64_t key, uint32_t target, int64_t now) {
  place *p = &w->places[index_of(key)];
  if (p->key == key && p->at > now)
    return;
  *p = (place){key, now, target};
}

uint32_t pwwhere_find(const pw_where *w, uint64_t key, int64_t now,
                      int64_t keep_ms) {
  const place *p = &w->places[index_of(key)];
  return p->key == key && p->target && now - p->at <= keep_ms ? p->target : 0;
}
