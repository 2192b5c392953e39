/* pwreject.c: which targets turn requests away though they have room, or can't be reached. */
#include "pwreject.h"

#include <math.h>

/* A count fades by half in this time, ms: a target that takes work again is back within two seconds. */
#define HALF_MS 1000.0

/* More are not counted, so that a target that turned many away is back as soon. */
#define MOST 4.0

/* From this count on others are preferred: one that was turned away counts for one half-life. */
#define AVOID 0.5

/* A target that has more than this part of its slots taken may be full: loads are told late. */
#define ROOM_PART 0.75

#define UNITS 8.0 /* of one, as it is told */

double pwreject_now(const pw_reject *r, int64_t now) {
  return r->n * exp2(-(double)(now - r->at) / HALF_MS);
}

void pwreject_note(pw_reject *r, int64_t now) {
  r->n = fmin(pwreject_now(r, now) + 1, MOST);
  r->at = now;
}

uint32_t pwreject_told(const pw_reject *r, int64_t now) {
  return (uint32_t)lround(pwreject_now(r, now) * UNITS);
}

double pwreject_heard(uint32_t told) {
  return fmin(told / UNITS, MOST);
}

int pwreject_avoids(double n) {
  return n >= AVOID;
}

int pwreject_had_room(double load, double slots) {
  return load <= ROOM_PART * slots;
}
