/* pwdedup.c: keys of requests that have run: a ring of entries in order of
** adding, and an open hash table of places in the ring. */
#include "pwdedup.h"

#include "pwbuf.h"

#include <assert.h>
#include <endian.h>
#include <stdlib.h>
#include <string.h>

#define CAP_FIRST 1024U /* entries; a power of two, as all capacities */
#define INDEX_PER_ENTRY 2U
#define ANSWERED 0x80000000U /* bit beside the body's hash */

#ifndef PW_MUTATION
#define PW_MUTATION 0
#endif
enum {
  MUT_EARLY_END = 17 /* a freed place ends searches that went past it */
};

typedef struct packed {
  uint8_t key[PWDEDUP_KEY];
  uint32_t at;   /* little-endian, as in a snapshot */
  uint32_t body; /* the same */
} packed;

struct pw_dedup {
  packed *ring;
  uint32_t *index; /* place in the ring, plus one; 0: free */
  uint32_t cap;
  uint32_t first; /* number of the oldest; its place is first % cap */
  uint32_t count;
};

static void make_room(pw_dedup *d, uint32_t cap) {
  d->cap = cap;
  d->ring = pw_alloc(sizeof *d->ring * cap);
  d->index = pw_alloc(sizeof *d->index * cap * INDEX_PER_ENTRY);
}

pw_dedup *pwdedup_new(void) {
  pw_dedup *d = pw_alloc(sizeof *d);
  make_room(d, CAP_FIRST);
  return d;
}

void pwdedup_free(pw_dedup *d) {
  if (!d)
    return;
  free(d->ring);
  free(d->index);
  free(d);
}

size_t pwdedup_count(const pw_dedup *d) {
  return d->count;
}

/* Where the search for a key begins; keys are hashes already. */
static uint32_t home(const pw_dedup *d, const uint8_t *key) {
  uint32_t h;
  memcpy(&h, key, sizeof h);
  return h & (d->cap * INDEX_PER_ENTRY - 1);
}

static uint32_t after(const pw_dedup *d, uint32_t i) {
  return (i + 1) & (d->cap * INDEX_PER_ENTRY - 1);
}

/* Index of the key, or of the free place that ends the search for it. */
static uint32_t look(const pw_dedup *d, const uint8_t *key) {
  uint32_t i = home(d, key);
  while (d->index[i] &&
         memcmp(d->ring[d->index[i] - 1].key, key, PWDEDUP_KEY) != 0)
    i = after(d, i);
  return i;
}

static void put(pw_dedup *d, const packed *p) {
  uint32_t at = (d->first + d->count++) & (d->cap - 1);
  d->ring[at] = *p;
  d->index[look(d, p->key)] = at + 1;
}

static void grow(pw_dedup *d) {
  pw_dedup old = *d;
  make_room(d, old.cap * 2);
  d->first = 0;
  d->count = 0;
  for (uint32_t i = 0; i < old.count; i++)
    put(d, &old.ring[(old.first + i) & (old.cap - 1)]);
  free(old.ring);
  free(old.index);
}

void pwdedup_add(pw_dedup *d, const pw_dedup_entry *e) {
  packed p = {
      .at = htole32(e->at),
      .body = htole32((e->body & ~ANSWERED) | (e->answered ? ANSWERED : 0))};
  memcpy(p.key, e->key, sizeof p.key);
  assert(!pwdedup_find(d, e->key, NULL));
  if (d->count == d->cap)
    grow(d);
  put(d, &p);
}

int pwdedup_find(const pw_dedup *d, const uint8_t key[PWDEDUP_KEY],
                 pw_dedup_entry *out) {
  uint32_t at = d->index[look(d, key)];
  if (!at)
    return 0;
  if (!out)
    return 1;
  const packed *p = &d->ring[at - 1];
  uint32_t body = le32toh(p->body);
  *out = (pw_dedup_entry){.at = le32toh(p->at),
                          .body = body & ~ANSWERED,
                          .answered = (body & ANSWERED) != 0};
  memcpy(out->key, p->key, sizeof out->key);
  return 1;
}

/* Frees a place of the index and moves back those behind it that were pushed
** past it, so that no search ends early. */
static void unlink_at(pw_dedup *d, uint32_t hole) {
  uint32_t mask = d->cap * INDEX_PER_ENTRY - 1;
  for (uint32_t i = after(d, hole); d->index[i]; i = after(d, i)) {
    uint32_t from = home(d, d->ring[d->index[i] - 1].key);
    if (((i - from) & mask) < ((i - hole) & mask) ||
        PW_MUTATION == MUT_EARLY_END)
      continue;
    d->index[hole] = d->index[i];
    hole = i;
  }
  d->index[hole] = 0;
}

void pwdedup_expire(pw_dedup *d, uint32_t before) {
  while (d->count) {
    const packed *oldest = &d->ring[d->first & (d->cap - 1)];
    if (le32toh(oldest->at) >= before)
      return;
    unlink_at(d, look(d, oldest->key));
    d->first++;
    d->count--;
  }
}

uint8_t *pwdedup_pack(const pw_dedup *d, size_t *len) {
  _Static_assert(sizeof(packed) == PWDEDUP_BYTES, "no padding");
  *len = (size_t)d->count * PWDEDUP_BYTES;
  uint8_t *out = pw_alloc(*len + 1);
  for (uint32_t i = 0; i < d->count; i++)
    memcpy(out + (size_t)i * PWDEDUP_BYTES,
           &d->ring[(d->first + i) & (d->cap - 1)], PWDEDUP_BYTES);
  return out;
}

int pwdedup_load(pw_dedup *d, const uint8_t *bytes, size_t len) {
  if (len % PWDEDUP_BYTES != 0)
    return -1;
  free(d->ring);
  free(d->index);
  d->first = 0;
  d->count = 0;
  make_room(d, CAP_FIRST);
  for (size_t i = 0; i < len; i += PWDEDUP_BYTES) {
    packed p;
    memcpy(&p, bytes + i, sizeof p);
    if (pwdedup_find(d, p.key, NULL))
      continue; /* a key stands once */
    if (d->count == d->cap)
      grow(d);
    put(d, &p);
  }
  return 0;
}
