/* pwbreak.h: circuit breaker and slow start of one target.
**
** Failed attempts (not refusals) raise a decaying error rate. Above a limit,
** or after a few failures in a row whatever happened before, the target is
** ejected for a time that doubles. Afterwards it gets a share of its picks
** that grows from almost nothing to all, so that it is not flooded on its
** return. The same ramp serves a target that has just joined or warmed up. */
#ifndef PWBREAK_H
#define PWBREAK_H

#include <stdint.h>

#define PWBREAK_OPEN_MS 1000      /* first ejection */
#define PWBREAK_OPEN_MAX_MS 30000 /* longest ejection */
#define PWBREAK_RAMP_MS 5000      /* slow start */

typedef struct pw_breaker {
  double failures;    /* decaying count */
  int consecutive;    /* failures since the last success */
  double attempts;    /* decaying count */
  int64_t at;         /* time up to which the counts have decayed, ms */
  int64_t open_until; /* end of the ejection, ms */
  int64_t open_ms;    /* length of the next ejection */
  int64_t ramp_from;  /* start of the slow start, ms; 0: none */
} pw_breaker;

/* Initializes the breaker of a working target; with `fresh` the target has just
** joined and begins a slow start. */
void pwbreak_init(pw_breaker *b, int64_t now, int fresh);

/* Counts an attempt that ended. Returns 1 if this ejected the target. */
int pwbreak_result(pw_breaker *b, int failed, int64_t now);

/* Whether the target may be picked; `draw` is uniform in [0, 1). */
int pwbreak_allows(const pw_breaker *b, int64_t now, double draw);

/* Whether its slow start follows a join, not a failure. */
int pwbreak_is_joining(const pw_breaker *b);

#endif
