/* pwspike.c: detects load spikes of single workspaces. */
#include "pwspike.h"

#include "pwbuf.h"
#include "pwlimits.h"

#include <math.h>
#include <stdlib.h>
#include <uthash.h>

/* Time constants in ms of the current rate and of the baseline. */
#define NOW_MS 1000.0
#define BASELINE_MS 300000.0

/* A workspace may send TIMES times its baseline share plus EXTRA requests; the
** rest is its surplus. Both allow for requests that arrive in bursts. */
#define TIMES 2.0
#define EXTRA 8.0

/* Workspaces that are tracked; the others are never seen as spiking. */
#define WORKSPACES_MAX 1000

/* Decaying counts of requests. */
typedef struct counts {
  double now, baseline;
  int64_t at; /* time up to which they have decayed, ms */
} counts;

typedef struct row {
  char workspace[PW_NAME_MAX];
  counts n;
  UT_hash_handle hh;
} row;

struct pw_spike {
  row *rows;
  counts all;
};

pw_spike *pwspike_new(int64_t now) {
  pw_spike *s = pw_alloc(sizeof *s);
  s->all.at = now;
  return s;
}

void pwspike_free(pw_spike *s) {
  row *r, *tmp;
  if (!s)
    return;
  HASH_ITER(hh, s->rows, r, tmp) {
    HASH_DEL(s->rows, r);
    free(r);
  }
  free(s);
}

static void decay(counts *c, int64_t now) {
  double passed = (double)(now - c->at);
  c->now *= exp(-passed / NOW_MS);
  c->baseline *= exp(-passed / BASELINE_MS);
  c->at = now;
}

static row *row_of(pw_spike *s, const char *workspace, int64_t now) {
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

/* The share of a workspace's current requests that exceeds what it may send. */
static double surplus_of(const counts *all, const counts *mine) {
  double others_now = all->now - mine->now;
  double others_baseline = all->baseline - mine->baseline;
  double expected = others_baseline > 0
                        ? mine->baseline * others_now / others_baseline
                        : mine->now;
  double surplus = mine->now - TIMES * expected - EXTRA;
  return surplus > 0 ? surplus / mine->now : 0;
}

/* The surplus is left out of the baseline: in a process that has just started,
** a spike of seconds would soon make up most of it. */
double pwspike_note(pw_spike *s, const char *workspace, int64_t now) {
  row *r = row_of(s, workspace, now);
  if (!r)
    return 0;
  decay(&s->all, now);
  decay(&r->n, now);
  s->all.now++;
  r->n.now++;
  double surplus = surplus_of(&s->all, &r->n);
  s->all.baseline += 1 - surplus;
  r->n.baseline += 1 - surplus;
  return surplus;
}
