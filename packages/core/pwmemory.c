/* pwmemory.c: account of the memory that a process holds for its connections. */
#include "pwmemory.h"

#include <assert.h>
#include <stdint.h>

void pwmemory_init(pw_memory *m, size_t limit) {
  atomic_init(&m->used, 0);
  m->limit = limit;
}

void pwmemory_charge(pw_memory *m, size_t n) {
  if (m)
    atomic_fetch_add(&m->used, n);
}

void pwmemory_release(pw_memory *m, size_t n) {
  if (!m)
    return;
  size_t before = atomic_fetch_sub(&m->used, n);
  assert(before >= n);
  (void)before;
}

size_t pwmemory_used(const pw_memory *m) {
  return m ? atomic_load(&m->used) : 0;
}

size_t pwmemory_left(const pw_memory *m) {
  if (!m)
    return SIZE_MAX;
  size_t used = pwmemory_used(m);
  return used < m->limit ? m->limit - used : 0;
}

/* One part in so many of the limit is kept for heads. */
#define HEAD_PART 8

size_t pwmemory_buffer_limit(const pw_memory *m) {
  return m ? m->limit - m->limit / HEAD_PART : SIZE_MAX;
}

size_t pwmemory_buffer_left(const pw_memory *m) {
  size_t limit = pwmemory_buffer_limit(m);
  size_t used = pwmemory_used(m);
  return used < limit ? limit - used : 0;
}

int pwmemory_is_short(const pw_memory *m) {
  return m && pwmemory_used(m) > m->limit / 2;
}
