/* pwrate.h: rate of events, as a count that decays with time.
**
** Pure: time comes in as an argument. The caller gives the same time constant to
** all calls. */
#ifndef PWRATE_H
#define PWRATE_H

#include <stdint.h>

typedef struct pw_rate {
  double count; /* decaying */
  int64_t at;   /* time up to which it has decayed, ms */
} pw_rate;

/* Counts an event. */
void pwrate_note(pw_rate *r, double decay_ms, int64_t now);

/* Recent events a second. */
double pwrate_per_s(const pw_rate *r, double decay_ms, int64_t now);

#endif
