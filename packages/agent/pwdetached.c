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

static void drop(pw_detached *u, row *r) {
  HASH_DEL(u->rows, r);
  free(r);
}

void pwdetached_free(pw_detached *u) {
  row *r, *tmp;
  HASH_ITER(hh, u->rows, r, tmp) {
    drop(u, r);
  }
  free(u);
}

void pwdetached_remove(pw_detached *u, const char *origin) {
  row *r;
  HASH_FIND_STR(u->rows, origin, r);
  if (r)
    drop(u, r);
}

void pwdetached_add(pw_detached *u, const char *origin, int64_t now) {
  pwdetached_remove(u, origin);
  row *r = pw_alloc(sizeof *r);
  pw_copy(r->origin, sizeof r->origin, origin);
  r->since = now;
  HASH_ADD_STR(u->rows, origin, r);
}

int pwdetached_take_expired(pw_detached *u, int64_t now,
                            char origin[PW_NAME_MAX]) {
  row *oldest = u->rows;
  if (!oldest || now - oldest->since < PWDETACHED_MS)
    return 0;
  pw_copy(origin, PW_NAME_MAX, oldest->origin);
  drop(u, oldest);
  return 1;
}
