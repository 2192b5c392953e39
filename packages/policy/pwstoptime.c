/* pwstoptime.c: whether a request may still begin during a planned stop. */
#include "pwstoptime.h"

#define WINDOW_MS 30000 /* times are kept for one to two windows */
#define MARGIN 1.25     /* a request may take longer than any other lately */

static double larger(double a, double b) {
  return a > b ? a : b;
}

void pwlongest_note(pw_longest *l, double ms, int64_t now) {
  if (now - l->began_at >= WINDOW_MS) {
    l->previous = now - l->began_at < 2 * WINDOW_MS ? l->current : 0;
    l->current = 0;
    l->began_at = now;
  }
  l->current = larger(l->current, ms);
}

int pwstoptime_may_begin(const pw_longest *l, int64_t limit_ms,
                         int64_t left_ms) {
  double needed = MARGIN * larger(l->current, l->previous);
  if (needed <= 0 || needed > (double)limit_ms)
    needed = (double)limit_ms;
  return needed <= (double)left_ms;
}
