/* pwdedup.c: the set of hashed keys of requests that may not run again: a ring
** buffer of entries in order of insertion, and an open-addressing hash table
** with linear probing that maps keys to positions in the ring. */
#include "pwdedup.h"

#include "pwbuf.h"

#include <assert.h>
#include <endian.h>
#include <stdlib.h>
#include <string.h>

#define INITIAL_CAP 1024U    /* entries; every capacity is a power of two */
#define SLOTS_PER_ENTRY 2U   /* of the hash table */
#define ANSWERED 0x80000000U /* flag bit above the body's 31-bit hash */

#ifndef PW_MUTATION
#define PW_MUTATION 0
#endif
enum {
  MUT_EARLY_END = 17 /* a freed slot ends searches that must go past it */
};

typedef struct packed {
  uint8_t key[PWDEDUP_KEY_BYTES];
  uint32_t at;   /* little-endian, as in a snapshot */
  uint32_t body; /* little-endian; the top bit is ANSWERED */
} packed;

struct pw_dedup {
  packed *ring;
  uint32_t *index; /* hash table: position in the ring plus one; 0: free */
  uint32_t cap;
  uint32_t first; /* number of the oldest; its position is first % cap */
  uint32_t count;
};

static void alloc_tables(pw_dedup *d, uint32_t cap) {
  d->cap = cap;
  d->ring = pw_alloc(sizeof *d->ring * cap);
  d->index = pw_alloc(sizeof *d->index * cap * SLOTS_PER_ENTRY);
}

pw_dedup *pwdedup_new(void) {
  pw_dedup *d = pw_alloc(sizeof *d);
  alloc_tables(d, INITIAL_CAP);
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

/* The slot at which the search for a key begins. Keys are hashes already, so
** their first bytes serve as the hash value. */
static uint32_t first_slot(const pw_dedup *d, const uint8_t *key) {
  uint32_t h;
  memcpy(&h, key, sizeof h);
  return h & (d->cap * SLOTS_PER_ENTRY - 1);
}

static uint32_t next_slot(const pw_dedup *d, uint32_t i) {
  return (i + 1) & (d->cap * SLOTS_PER_ENTRY - 1);
}

/* The slot of a key, or the free slot that ends the search for it. */
static uint32_t find_slot(const pw_dedup *d, const uint8_t *key) {
  uint32_t i = first_slot(d, key);
  while (d->index[i] &&
         memcmp(d->ring[d->index[i] - 1].key, key, PWDEDUP_KEY_BYTES) != 0)
    i = next_slot(d, i);
  return i;
}

static void append(pw_dedup *d, const packed *p) {
  uint32_t at = (d->first + d->count++) & (d->cap - 1);
  d->ring[at] = *p;
  d->index[find_slot(d, p->key)] = at + 1;
}

static void grow(pw_dedup *d) {
  pw_dedup old = *d;
  alloc_tables(d, old.cap * 2);
  d->first = 0;
  d->count = 0;
  for (uint32_t i = 0; i < old.count; i++)
    append(d, &old.ring[(old.first + i) & (old.cap - 1)]);
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
  append(d, &p);
}

int pwdedup_find(const pw_dedup *d, const uint8_t key[PWDEDUP_KEY_BYTES],
                 pw_dedup_entry *out) {
  uint32_t at = d->index[find_slot(d, key)];
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

/* Frees a slot and moves back the entries after it that were placed beyond
** their first slot, so that the free slot ends no search too early. */
static void free_slot(pw_dedup *d, uint32_t free_at) {
  uint32_t mask = d->cap * SLOTS_PER_ENTRY - 1;
  for (uint32_t i = next_slot(d, free_at); d->index[i]; i = next_slot(d, i)) {
    uint32_t from = first_slot(d, d->ring[d->index[i] - 1].key);
    if (((i - from) & mask) < ((i - free_at) & mask) ||
        PW_MUTATION == MUT_EARLY_END)
      continue;
    d->index[free_at] = d->index[i];
    free_at = i;
  }
  d->index[free_at] = 0;
}

void pwdedup_expire(pw_dedup *d, uint32_t before) {
  while (d->count) {
    const packed *oldest = &d->ring[d->first & (d->cap - 1)];
    if (le32toh(oldest->at) >= before)
      return;
    free_slot(d, find_slot(d, oldest->key));
    d->first++;
    d->count--;
  }
}

uint8_t *pwdedup_pack(const pw_dedup *d, size_t *len) {
  _Static_assert(sizeof(packed) == PWDEDUP_ENTRY_BYTES, "no padding");
  *len = (size_t)d->count * PWDEDUP_ENTRY_BYTES;
  uint8_t *out = pw_alloc(*len + 1);
  for (uint32_t i = 0; i < d->count; i++)
    memcpy(out + (size_t)i * PWDEDUP_ENTRY_BYTES,
           &d->ring[(d->first + i) & (d->cap - 1)], PWDEDUP_ENTRY_BYTES);
  return out;
}

int pwdedup_load(pw_dedup *d, const uint8_t *bytes, size_t len) {
  if (len % PWDEDUP_ENTRY_BYTES != 0)
    return -1;
  free(d->ring);
  free(d->index);
  d->first = 0;
  d->count = 0;
  alloc_tables(d, INITIAL_CAP);
  for (size_t i = 0; i < len; i += PWDEDUP_ENTRY_BYTES) {
    packed p;
    memcpy(&p, bytes + i, sizeof p);
    if (pwdedup_find(d, p.key, NULL))
      continue; /* skips a repeated key */
    if (d->count == d->cap)
      grow(d);
    append(d, &p);
  }
  return 0;
}
