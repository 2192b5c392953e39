/* pwsurge.c: which workspaces send many times their usual. */
#include "pwsurge.h"

#include "pwbuf.h"
#include "pwlimits.h"

#include <math.h>
#include <stdlib.h>
#include <uthash.h>

/* What is sent now is counted over about so long, what is usual over so long, ms. */
#define NOW_MS 1000.0
#define USUAL_MS 300000.0

/* A workspace may send so many times its usual part, and so many requests more, before
** the rest counts as a surge: large and small ones come in clumps. */
#define TIMES 2.0
#define EXTRA 8.0

#define WORKSPACES_MAX 1000 /* that are known; others never surge */

/* Counts that fade. */
typedef struct counts {
  double now, usual;
  int64_t at;
} counts;

typedef struct row {
  char workspace[PW_NAME_MAX];
  counts n;
  UT_hash_handle hh;
} row;

struct pw_surge {
  row *rows;
  counts all;
};

pw_surge *pwsurge_new(int64_t now) {
  pw_surge *s = pw_alloc(sizeof *s);
  s->all.at = now;
  return s;
}

void pwsurge_free(pw_surge *s) {
  row *r, *tmp;
  if (!s)
    return;
  HASH_ITER(hh, s->rows, r, tmp) {
    HASH_DEL(s->rows, r);
    free(r);
  }
  free(s);
}

static void fade(counts *c, int64_t now) {
  double passed = (double)(now - c->at);
  c->now *= exp(-passed / NOW_MS);
  c->usual *= exp(-passed / USUAL_MS);
  c->at = now;
}

static row *row_of(pw_surge *s, const char *workspace, int64_t now) {
  row *r;
  HASH_FIND_STR(s->rows, workspace, r);
  if (r || HASH_COUNT(s->rows) >= WORKSPACES_MAX)
    return r;
  r = pw_alloc(sizeof *r);
  pw_copy(r->workspace, sizeof r->workspace, workspace);
  r->n.at = now;
  HASH_ADD_STR(s->rows, workspace, r);
  return r;
}

/* The part of what a workspace sends now that is more than it may. */
static double surplus_of(const counts *all, const counts *mine) {
  double others_now = all->now - mine->now;
  double others_usual = all->usual - mine->usual;
  double part =
      others_usual > 0 ? mine->usual * others_now / others_usual : mine->now;
  double surplus = mine->now - TIMES * part - EXTRA;
  return surplus > 0 ? surplus / mine->now : 0;
}

/* A surplus does not become usual: a surge of seconds would soon be the most of what is
** known of a process that has just started. */
double pwsurge_note(pw_surge *s, const char *workspace, int64_t now) {
  row *r = row_of(s, workspace, now);
  if (!r)
    return 0;
  fade(&s->all, now);
  fade(&r->n, now);
  s->all.now++;
  r->n.now++;
  double surplus = surplus_of(&s->all, &r->n);
  s->all.usual += 1 - surplus;
  r->n.usual += 1 - surplus;
  return surplus;
}
