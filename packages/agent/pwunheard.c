/* pwunheard.c: streams whose entry could not be reached, oldest first. */
#include "pwunheard.h"

#include "pwbuf.h"

#include <stdlib.h>
#include <uthash.h>

typedef struct row {
  char origin[PW_NAME_MAX];
  int64_t since;
  UT_hash_handle hh;
} row;

struct pw_unheard {
  row *rows;
};

pw_unheard *pwunheard_new(void) {
  return pw_alloc(sizeof(pw_unheard));
}

static void drop(pw_unheard *u, row *r) {
  HASH_DEL(u->rows, r);
  free(r);
}

void pwunheard_free(pw_unheard *u) {
  row *r, *tmp;
  HASH_ITER(hh, u->rows, r, tmp) {
    drop(u, r);
  }
  free(u);
}

void pwunheard_forget(pw_unheard *u, const char *origin) {
  row *r;
  HASH_FIND_STR(u->rows, origin, r);
  if (r)
    drop(u, r);
}

void pwunheard_put(pw_unheard *u, const char *origin, int64_t now) {
  pwunheard_forget(u, origin);
  row *r = pw_alloc(sizeof *r);
  pw_copy(r->origin, sizeof r->origin, origin);
  r->since = now;
  HASH_ADD_STR(u->rows, origin, r);
}

int pwunheard_expired(pw_unheard *u, int64_t now, char origin[PW_NAME_MAX]) {
  row *oldest = u->rows;
  if (!oldest || now - oldest->since < PWUNHEARD_MS)
    return 0;
  pw_copy(origin, PW_NAME_MAX, oldest->origin);
  drop(u, oldest);
  return 1;
}
