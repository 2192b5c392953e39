/* pwmemory.h: account of the memory that a process holds for its connections: heads, bodies, bytes read ahead, output that
** is not yet written, and the connections themselves.
**
** There is one for each process, shared by all of its listeners and threads. What is held is charged (a buffer by its
** capacity, see pwbuf.h); who is about to hold more for a peer first asks how much is left. Threads that ask at the same
** time can exceed the limit by what each of them then holds. */
#ifndef PWMEMORY_H
#define PWMEMORY_H

#include <stdatomic.h>
#include <stddef.h>

typedef struct pw_memory {
  atomic_size_t used; /* bytes */
  size_t limit;       /* bytes */
} pw_memory;

void pwmemory_init(pw_memory *m, size_t limit);

/* Charges bytes, and takes them off again. Nothing if m is NULL. */
void pwmemory_charge(pw_memory *m, size_t n);
void pwmemory_release(pw_memory *m, size_t n);

/* Bytes charged, and bytes left. Without an account nothing is charged and any number is left. */
size_t pwmemory_used(const pw_memory *m);
size_t pwmemory_left(const pw_memory *m);

/* Limit of all but the heads of requests. The rest is kept for these, so that a crowd of bodies and answers does not keep
** others from being read, and served or refused. */
size_t pwmemory_buffer_limit(const pw_memory *m);

/* Bytes left below that limit. */
size_t pwmemory_buffer_left(const pw_memory *m);

/* Whether more than half of the limit is in use. From then on requests that make no progress are evicted. */
int pwmemory_is_short(const pw_memory *m);

#endif
