/* pwshare.c: a gateway's part of the places of a service. */
#include "pwshare.h"

#include <math.h>

/* Requests are counted over about so long, ms: at one second the part of a gateway with
** forty requests a second varies by 16 in 100 for nothing; make bench-overload. */
#define LATELY_MS 3000.0
#define MS_PER_S 1000.0

/* How much of the places that are free, as a multiple, a gateway may have besides its part: at
** 0, 2, 4, 8 credit at three times the load 0.90, 0.95, 0.96, 0.98, of the most urgent at six
** times 0.77, 0.76, 0.72, 0.68 (make bench-overload). */
#define FREE_TIMES 2

/* While more than this part of the places is free nobody is kept to a part. */
#define FREE_ENOUGH 0.5

/* What is kept for more urgent requests counts so many times in a gateway's part of the
** places: with 1, 3, 6 the most urgent have 0.76, 0.84, 0.84 of their credit at six times the
** load, all together 0.46, 0.44, 0.42 (make bench-overload). */
#define KEPT_TIMES 3

/* However little it is asked for: one, and one more while places are free. */
#define PLACES_LEAST 1

static double faded(const pw_share *s, int64_t now) {
  return s->asked * exp(-(double)(now - s->at) / LATELY_MS);
}

void pwshare_asked(pw_share *s, int64_t now) {
  s->asked = faded(s, now) + 1;
  s->at = now;
}

double pwshare_rate(const pw_share *s, int64_t now) {
  return faded(s, now) / LATELY_MS * MS_PER_S;
}

double pwshare_places(double mine, double all, double slots, double used,
                      double kept) {
  double part = all > mine ? mine / all : 1;
  double is_free = used < slots ? 1 - used / slots : 0;
  if (is_free > FREE_ENOUGH)
    return slots;
  double places = part * slots * (1 + FREE_TIMES * is_free);
  double least = PLACES_LEAST + is_free;
  return (places > least ? places : least) * (1 - KEPT_TIMES * kept);
}
