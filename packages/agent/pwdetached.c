/* pwdetached.c: streams whose entry could not be reached, oldest first. */
#include "pwdetached.h"

#include "pwbuf.h"

#include <stdlib.h>
#include <uthash.h>

typedef struct row {
  char origin[PW_NAME_MAX];
  int64_t since;
  UT_hash_handle hh;
} row;

struct pw_detached {
  row *rows;
};

pw_detached *pwdetached_new(void) {
  return pw_alloc(sizeof(pw_detached));
}

static void drop(pw_detached *d, row *r) {
  HASH_DEL(d->rows, r);
  free(r);
}

void pwdetached_free(pw_detached *d) {
  row *r, *tmp;
  HASH_ITER(hh, d->rows, r, tmp) {
    drop(d, r);
  }
  free(d);
}

void pwdetached_remove(pw_detached *d, const char *origin) {
  row *r;
  HASH_FIND_STR(d->rows, origin, r);
  if (r)
    drop(d, r);
}

void pwdetached_add(pw_detached *d, const char *origin, int64_t now) {
  pwdetached_remove(d, origin);
  row *r = pw_alloc(sizeof *r);
  pw_copy(r->origin, sizeof r->origin, origin);
  r->since = now;
  HASH_ADD_STR(d->rows, origin, r);
}

int pwdetached_take_expired(pw_detached *d, int64_t now,
                            char origin[PW_NAME_MAX]) {
  row *oldest = d->rows;
  if (!oldest || now - oldest->since < PWDETACHED_MS)
    return 0;
  pw_copy(origin, PW_NAME_MAX, oldest->origin);
  drop(d, oldest);
  return 1;
}
