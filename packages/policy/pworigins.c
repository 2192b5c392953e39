/* pworigins.c: which software version began a stream.
**
** Records are kept in two generations of hash tables with linear probing. Every PWORIGINS_KEEP_MS the older one is
** dropped, so that no record needs to be removed by itself. */
#include "pworigins.h"

#include "pwbuf.h"

#include <stdlib.h>

#define SLOTS_FIRST 1024 /* a power of two */
#define LOAD_DIVISOR 2   /* a table is at most half full */

typedef struct record {
  uint64_t stream; /* 0: unused */
  uint64_t version;
  int64_t at; /* when it was last noted, ms */
  int is_own;
} record;

typedef struct generation {
  record *slot;
  size_t nslots;
  size_t count;
} generation;

struct pw_origins {
  generation now, before;
  int64_t began_at; /* when `now` was begun, ms */
};

pw_origins *pworigins_new(void) {
  return pw_alloc(sizeof(pw_origins));
}

void pworigins_free(pw_origins *o) {
  if (!o)
    return;
  free(o->now.slot);
  free(o->before.slot);
  free(o);
}

static uint64_t key_of(uint64_t stream) {
  return stream ? stream : 1; /* 0 marks an unused slot */
}

/* The slot of a stream, or the unused one where it would be. */
static record *probe(const generation *g, uint64_t stream) {
  size_t at = stream & (g->nslots - 1);
  while (g->slot[at].stream && g->slot[at].stream != stream)
    at = (at + 1) & (g->nslots - 1);
  return &g->slot[at];
}

static record *find(const generation *g, uint64_t stream) {
  if (!g->nslots)
    return NULL;
  record *r = probe(g, stream);
  return r->stream ? r : NULL;
}

static void grow(generation *g) {
  generation old = *g;
  g->nslots = old.nslots ? 2 * old.nslots : SLOTS_FIRST;
  g->slot = pw_alloc(sizeof *g->slot * g->nslots);
  for (size_t i = 0; i < old.nslots; i++)
    if (old.slot[i].stream)
      *probe(g, old.slot[i].stream) = old.slot[i];
  free(old.slot);
}

static void begin_generation(pw_origins *o, int64_t now) {
  free(o->before.slot);
  o->before = o->now;
  o->now = (generation){0};
  o->began_at = now;
}

static const record *find_any(const pw_origins *o, uint64_t stream) {
  const record *r = find(&o->now, stream);
  return r ? r : find(&o->before, stream);
}

void pworigins_note(pw_origins *o, uint64_t stream, uint64_t version,
                    int is_own, int64_t now) {
  stream = key_of(stream);
  const record *known = find_any(o, stream);
  record r = {stream, version, now, is_own};
  if (known) {
    r.version = known->version == version ? version : PWORIGINS_CONFLICT;
    r.is_own |= known->is_own;
  }
  if (o->now.count >= PWORIGINS_MAX)
    begin_generation(o, now);
  if (LOAD_DIVISOR * (o->now.count + 1) > o->now.nslots)
    grow(&o->now);
  record *slot = probe(&o->now, stream);
  o->now.count += slot->stream == 0;
  *slot = r;
}

int pworigins_find(const pw_origins *o, uint64_t stream, int64_t now,
                   pw_origin *out) {
  const record *r = find_any(o, key_of(stream));
  if (!r)
    return 0;
  *out = (pw_origin){r->version, now - r->at, r->is_own};
  return 1;
}

void pworigins_tick(pw_origins *o, int64_t now) {
  if (now - o->began_at >= PWORIGINS_KEEP_MS)
    begin_generation(o, now);
}

size_t pworigins_count(const pw_origins *o) {
  return o->now.count + o->before.count;
}
