/* pwloads.h: requests at targets, by the short hashes that name them between gateways. */
#ifndef PWLOADS_H
#define PWLOADS_H

#include <stddef.h>
#include <stdint.h>

typedef struct pw_load_row {
  uint32_t key;
  uint32_t load;
} pw_load_row;

/* Each key once; {0} is empty. */
typedef struct pw_loads {
  pw_load_row *row; /* open addressing, a free one has load 0 */
  size_t cap, n;
} pw_loads;

void pwloads_free(pw_loads *l);

/* Forgets all. */
void pwloads_clear(pw_loads *l);

/* Adds to the load of a key. */
void pwloads_add(pw_loads *l, uint32_t key, uint32_t load);

/* 0 for a key that is not there. */
uint32_t pwloads_get(const pw_loads *l, uint32_t key);

/* The next row from *at on, which begins at 0; NULL: there are no more. */
const pw_load_row *pwloads_next(const pw_loads *l, size_t *at);

#endif
