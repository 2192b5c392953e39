/* pwloads.c: counts by 32-bit key, in an open-addressing hash table. */
#include "pwloads.h"

#include "pwbuf.h"

#include <stdlib.h>
#include <string.h>

#define CAP_FIRST 64 /* a power of two; the table is at most half full */

void pwloads_free(pw_loads *l) {
  free(l->row);
  *l = (pw_loads){0};
}

void pwloads_clear(pw_loads *l) {
  if (l->n)
    memset(l->row, 0, sizeof *l->row * l->cap);
  l->n = 0;
}

static pw_load_row *find(const pw_loads *l, uint32_t key) {
  size_t i = key & (l->cap - 1);
  while (l->row[i].load && l->row[i].key != key)
    i = (i + 1) & (l->cap - 1);
  return &l->row[i];
}

static void grow(pw_loads *l) {
  pw_loads next = {.cap = l->cap ? 2 * l->cap : CAP_FIRST, .n = l->n};
  next.row = pw_alloc(sizeof *next.row * next.cap);
  for (size_t i = 0; i < l->cap; i++)
    if (l->row[i].load)
      *find(&next, l->row[i].key) = l->row[i];
  free(l->row);
  *l = next;
}

void pwloads_add(pw_loads *l, uint32_t key, uint32_t load) {
  if (!load)
    return;
  if (2 * (l->n + 1) > l->cap)
    grow(l);
  pw_load_row *row = find(l, key);
  l->n += row->load == 0;
  row->key = key;
  row->load += load;
}

uint32_t pwloads_get(const pw_loads *l, uint32_t key) {
  return l->cap ? find(l, key)->load : 0;
}

const pw_load_row *pwloads_next(const pw_loads *l, size_t *at) {
  while (*at < l->cap && !l->row[*at].load)
    ++*at;
  return *at < l->cap ? &l->row[(*at)++] : NULL;
}
