/* pwrate.c: rate of events, as a count that decays with time. */
#include "pwrate.h"

#include <math.h>

#define MS_PER_S 1000.0

static double decayed(const pw_rate *r, double decay_ms, int64_t now) {
  return r->count * exp(-(double)(now - r->at) / decay_ms);
}

void pwrate_note(pw_rate *r, double decay_ms, int64_t now) {
  r->count = decayed(r, decay_ms, now) + 1;
  r->at = now;
}

double pwrate_per_s(const pw_rate *r, double decay_ms, int64_t now) {
  return decayed(r, decay_ms, now) / decay_ms * MS_PER_S;
}
