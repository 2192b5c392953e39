/* pwbreak.h: circuit breaker and slow start of one target, from evidence.
**
** Failures of attempts (not refusals) raise a decaying share; past the
** limit, or after a few in a row whatever was before, the target is set
** aside for a time that doubles, then takes back a share of its picks that
** grows from nothing to all, so that it meets no herd. The same ramp serves
** a target that has just joined or warmed up. */
#ifndef PWBREAK_H
#define PWBREAK_H

#include <stdint.h>

#define PWBREAK_OPEN_MS 1000      /* first time set aside */
#define PWBREAK_OPEN_MAX_MS 30000 /* longest */
#define PWBREAK_RAMP_MS 5000      /* slow start */

typedef struct pw_breaker {
  double failures; /* decayed counts */
  int in_a_row;    /* failures since the last answer */
  double attempts;
  int64_t at;
  int64_t open_until;
  int64_t open_ms;
  int64_t ramp_from; /* slow start began then; 0: none */
} pw_breaker;

/* A target that is simply there; with `fresh`, one that has just joined. */
void pwbreak_init(pw_breaker *b, int64_t now, int fresh);

/* An attempt ended. Gives 1 when this set the target aside. */
int pwbreak_result(pw_breaker *b, int failed, int64_t now);

/* Whether it may be picked; `draw` is uniform in [0, 1). */
int pwbreak_allows(const pw_breaker *b, int64_t now, double draw);

/* Whether its slow start is that of one that joined, not of one that failed. */
int pwbreak_is_joining(const pw_breaker *b);

#endif
