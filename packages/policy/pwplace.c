/* pwplace.c: weighted rendezvous hashing through a slot table. */
#include "pwplace.h"

#include "pwbuf.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define NONE 0xffff

struct pw_place {
  int n;
  int weighted; /* the weights differ */
  pw_place_target *t;
  /* Row of each slot: indexes into t, best first, or NONE. */
  uint16_t (*slot)[PW_PLACEMENT_RANKS];
};

uint64_t pwplace_id(const char *name) {
  uint64_t id = XXH3_64bits(name, strlen(name));
  return id ? id : 1;
}

uint64_t pwplace_key(const char *pool, const char *chat) {
  uint64_t seed = XXH3_64bits(pool, strlen(pool));
  return XXH3_64bits_withSeed(chat, strlen(chat), seed);
}

static uint32_t slot_of(uint64_t key) {
  return (uint32_t)(key % PW_PLACEMENT_SLOTS);
}

/* Hash of slot and target, uniformly distributed. */
static uint64_t mix(uint32_t slot, uint64_t id) {
  uint64_t x = id ^ (slot * 0x9e3779b97f4a7c15ULL);
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
  return x ^ (x >> 31);
}

/* The largest score ranks first. With equal weights the hash itself gives the
** same order. */
static double score(uint32_t slot, const pw_place_target *t, int weighted) {
  uint64_t m = mix(slot, t->id);
  if (!weighted)
    return (double)(m >> 11);
  double u = ((double)(m >> 11) + 0.5) / 9007199254740992.0;
  return -(double)t->weight / log(u);
}

/* Equal scores, which only equal hashes give, go to the smaller id. */
static int is_better(double a, uint64_t a_id, double b, uint64_t b_id) {
  return a > b || (a == b && a_id < b_id);
}

/* Puts target i into the row of a slot if it is among its best. */
static void insert(const pw_place *p, uint32_t slot, double *scores, int i) {
  uint16_t *row = p->slot[slot];
  double s = score(slot, &p->t[i], p->weighted);
  int at = PW_PLACEMENT_RANKS;
  while (at > 0 &&
         (row[at - 1] == NONE ||
          is_better(s, p->t[i].id, scores[at - 1], p->t[row[at - 1]].id)))
    at--;
  if (at == PW_PLACEMENT_RANKS)
    return;
  for (int j = PW_PLACEMENT_RANKS - 1; j > at; j--) {
    row[j] = row[j - 1];
    scores[j] = scores[j - 1];
  }
  row[at] = (uint16_t)i;
  scores[at] = s;
}

/* Computes the row of a slot from all targets. */
static void fill_slot(const pw_place *p, uint32_t slot) {
  double scores[PW_PLACEMENT_RANKS];
  for (int j = 0; j < PW_PLACEMENT_RANKS; j++)
    p->slot[slot][j] = NONE;
  for (int i = 0; i < p->n; i++)
    insert(p, slot, scores, i);
}

/* Copies a row of the old table and adds the new targets. A row that lost a
** target is computed from all targets. */
static void update_slot(const pw_place *p, const pw_place *old, uint32_t slot,
                        const uint16_t *now_at, const int *added, int nadded) {
  double scores[PW_PLACEMENT_RANKS];
  uint16_t *row = p->slot[slot];
  for (int j = 0; j < PW_PLACEMENT_RANKS; j++) {
    uint16_t was = old->slot[slot][j];
    row[j] = was == NONE ? NONE : now_at[was];
    if (was != NONE && row[j] == NONE) {
      fill_slot(p, slot);
      return;
    }
    if (row[j] != NONE)
      scores[j] = score(slot, &p->t[row[j]], p->weighted);
  }
  for (int i = 0; i < nadded; i++)
    insert(p, slot, scores, added[i]);
}

static int by_id(const void *a, const void *b) {
  uint64_t x = ((const pw_place_target *)a)->id;
  uint64_t y = ((const pw_place_target *)b)->id;
  return (x > y) - (x < y);
}

static int find(const pw_place *p, uint64_t id) {
  pw_place_target key = {id, 0};
  const pw_place_target *t =
      p->n ? bsearch(&key, p->t, (size_t)p->n, sizeof key, by_id) : NULL;
  return t ? (int)(t - p->t) : -1;
}

/* Fills the table from the old one, row by row. */
static void update_slots(const pw_place *p, const pw_place *old) {
  uint16_t *now_at = pw_alloc(sizeof *now_at * (size_t)(old->n + 1));
  int *added = pw_alloc(sizeof *added * (size_t)(p->n + 1));
  int nadded = 0;
  for (int i = 0; i < old->n; i++) {
    int at = find(p, old->t[i].id);
    int same = at >= 0 && p->t[at].weight == old->t[i].weight;
    now_at[i] = same ? (uint16_t)at : NONE;
  }
  for (int i = 0; i < p->n; i++) {
    int at = find(old, p->t[i].id);
    if (at < 0 || old->t[at].weight != p->t[i].weight)
      added[nadded++] = i;
  }
  for (uint32_t s = 0; s < PW_PLACEMENT_SLOTS; s++)
    update_slot(p, old, s, now_at, added, nadded);
  free(now_at);
  free(added);
}

pw_place *pwplace_build(const pw_place_target *t, int n, const pw_place *old) {
  pw_place *p = pw_alloc(sizeof *p);
  p->n = n;
  p->t = pw_alloc(sizeof *t * (size_t)(n + 1));
  if (n)
    memcpy(p->t, t, sizeof *t * (size_t)n);
  qsort(p->t, (size_t)n, sizeof *t, by_id);
  for (int i = 1; i < n; i++)
    p->weighted |= p->t[i].weight != p->t[0].weight;
  p->slot = pw_alloc(sizeof *p->slot * PW_PLACEMENT_SLOTS);
  if (old && old->n && old->weighted == p->weighted) {
    update_slots(p, old);
    return p;
  }
  for (uint32_t s = 0; s < PW_PLACEMENT_SLOTS; s++)
    fill_slot(p, s);
  return p;
}

void pwplace_free(pw_place *p) {
  if (!p)
    return;
  free(p->t);
  free(p->slot);
  free(p);
}

int pwplace_count(const pw_place *p) {
  return p->n;
}

uint64_t pwplace_rank(const pw_place *p, uint64_t key, int rank) {
  if (rank < 0 || rank >= PW_PLACEMENT_RANKS)
    return 0;
  uint16_t i = p->slot[slot_of(key)][rank];
  return i == NONE ? 0 : p->t[i].id;
}

uint64_t pwplace_naive(const pw_place_target *t, int n, uint64_t key,
                       int rank) {
  int weighted = 0;
  for (int i = 1; i < n; i++)
    weighted |= t[i].weight != t[0].weight;
  uint32_t slot = slot_of(key);
  for (int i = 0; i < n; i++) {
    int above = 0;
    double s = score(slot, &t[i], weighted);
    for (int j = 0; j < n; j++)
      above += j != i &&
               is_better(score(slot, &t[j], weighted), t[j].id, s, t[i].id);
    if (above == rank)
      return t[i].id;
  }
  return 0;
}
