/* pwloads.h: counts by 32-bit key, such as requests in flight by a target's short hash. */
#ifndef PWLOADS_H
#define PWLOADS_H

#include <stddef.h>
#include <stdint.h>

typedef struct pw_load_row {
  uint32_t key;
  uint32_t load;
} pw_load_row;

/* A table of rows with distinct keys; {0} is empty. */
typedef struct pw_loads {
  pw_load_row *row; /* open addressing; a free row has load 0 */
  size_t cap, n;
} pw_loads;

void pwloads_free(pw_loads *l);

/* Removes all rows and keeps the memory. */
void pwloads_clear(pw_loads *l);

/* Adds to the load of a key. */
void pwloads_add(pw_loads *l, uint32_t key, uint32_t load);

/* The load of a key; 0 if the key is absent. */
uint32_t pwloads_get(const pw_loads *l, uint32_t key);

/* Iterates over the rows: *at starts at 0 and is advanced; NULL at the end. */
const pw_load_row *pwloads_next(const pw_loads *l, size_t *at);

#endif
