/* pwstoptime.h: whether a request may still begin during a planned stop.
**
** Pure: time comes in as an argument. Prevents this failure: a request that
** comes late in the grace period is passed on, runs, and is cut at its end
** without an answer. It may begin only if the longest answer of its route
** lately, with a margin, ends before; refused, it has not run, and its caller
** turns to another gateway. The longest time counts, not the usual one: a
** needless refusal costs one more attempt, a cut answer may be lost for good. */
#ifndef PWSTOPTIME_H
#define PWSTOPTIME_H

#include <stdint.h>

/* Longest time of an answer lately; {0}: no answer is known. */
typedef struct pw_longest {
  double current, previous; /* in this window and in the one before, ms */
  int64_t began_at;         /* when this window began, ms */
} pw_longest;

/* Notes the time that an answer took, ms. */
void pwlongest_note(pw_longest *l, double ms, int64_t now);

/* Whether a request may begin that has `limit_ms` left by its deadline and time-out, while `left_ms` are left of the grace
** period. Without a known answer it is taken to need all of its time. */
int pwstoptime_may_begin(const pw_longest *l, int64_t limit_ms,
                         int64_t left_ms);

#endif
