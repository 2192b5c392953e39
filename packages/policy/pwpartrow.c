/* pwpartrow.c: the crashes that are known of one part of prompts. */
#include "pwpartrow.h"

#include <string.h>

#ifndef PW_MUTATION
#define PW_MUTATION 0
#endif

enum {
  MUT_COUNT_ALL_CRASHES = 69 /* crashes at the same moment count each */
};

/* A target that is back after a crash within this time, ms, and crashes again
** before its new start is known, has one crash: a target that resets
** connections, but runs, must not put a part to blame alone. */
#define AGAIN_MS 2000

/* Whether one of two requests was sent after the other one's target crashed, so
** that the crashes did not happen at once. */
static int are_apart(const pw_part_crash *a, const pw_part_crash *b) {
  return a->sent > b->crashed || b->sent > a->crashed;
}

int pwpartrow_is_one_crash(const pw_part_crash *a, const pw_part_crash *b) {
  int64_t between = a->crashed - b->crashed;
  return a->target == b->target && between < AGAIN_MS && between > -AGAIN_MS;
}

static int is_same(const pw_part_crash *a, const pw_part_crash *b) {
  return pwpartrow_is_one_crash(a, b) ||
         (a->target == b->target && !are_apart(a, b));
}

int pwpartrow_has(const pw_part_row *r, const pw_part_crash *crash) {
  for (int i = 0; i < r->n; i++)
    if (is_same(&r->crash[i], crash))
      return 1;
  return 0;
}

int pwpartrow_has_all(const pw_part_row *r, const pw_part_row *of) {
  for (int i = 0; i < of->n; i++)
    if (!pwpartrow_has(r, &of->crash[i]))
      return 0;
  return 1;
}

/* Moves a crash whose time is now earlier to its place in the order of time. */
static void move_up(pw_part_row *r, int i) {
  for (; i > 0 && r->crash[i - 1].crashed > r->crash[i].crashed; i--) {
    pw_part_crash later = r->crash[i - 1];
    r->crash[i - 1] = r->crash[i];
    r->crash[i] = later;
  }
}

int pwpartrow_merge(pw_part_row *r, const pw_part_crash *crash) {
  for (int i = 0; i < r->n; i++) {
    pw_part_crash *known = &r->crash[i];
    if (!is_same(known, crash))
      continue;
    int64_t span = crash->crashed - crash->sent;
    if (known->crashed - known->sent < span)
      span = known->crashed - known->sent;
    if (crash->crashed < known->crashed)
      known->crashed = crash->crashed;
    known->sent = known->crashed - span;
    move_up(r, i);
    return 1;
  }
  return 0;
}

void pwpartrow_insert(pw_part_row *r, const pw_part_crash *crash) {
  r->crash[r->n++] = *crash;
  move_up(r, r->n - 1);
}

pw_part_crash pwpartrow_forget(pw_part_row *r) {
  int i = 1;
  int64_t last = r->crash[0].crashed;
  for (; i < r->n && r->crash[i].sent > last; i++)
    last = r->crash[i].crashed;
  if (i == r->n)
    i = 0;
  pw_part_crash forgotten = r->crash[i];
  r->n--;
  memmove(r->crash + i, r->crash + i + 1,
          sizeof *r->crash * (size_t)(r->n - i));
  return forgotten;
}

int pwpartrow_drop_until(pw_part_row *r, int64_t until) {
  int n = 0;
  while (n < r->n && r->crash[n].crashed <= until)
    n++;
  r->n -= n;
  memmove(r->crash, r->crash + n, sizeof *r->crash * (size_t)r->n);
  return n;
}

/* The crashes are in the order of time, so taking each that fits is most. */
int pwpartrow_count_apart(const pw_part_row *r, unsigned ignored) {
  int n = 0;
  int64_t last = INT64_MIN;
  for (int i = 0; i < r->n; i++) {
    if (PW_MUTATION != MUT_COUNT_ALL_CRASHES &&
        (ignored >> i & 1 || r->crash[i].sent <= last))
      continue;
    n++;
    last = r->crash[i].crashed + PWPARTS_COINCIDENT_MS;
  }
  return n;
}
