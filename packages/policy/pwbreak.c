/* pwbreak.c: circuit breaker and slow start of one target. */
#include "pwbreak.h"

#include <math.h>

#define HALF_LIFE_MS 5000.0 /* of the counts */
#define MIN_FAILURES 2.5    /* decayed count below which it stays closed */
#define MAX_SHARE 0.5       /* error rate from which it opens */
#define CONSECUTIVE_MAX 3   /* failures in a row that open it */
#define FIRST_SHARE 0.05    /* share of its picks when the slow start begins */

void pwbreak_init(pw_breaker *b, int64_t now, int fresh) {
  *b = (pw_breaker){.at = now, .open_ms = PWBREAK_OPEN_MS};
  if (fresh)
    b->ramp_from = now;
}

static void decay(pw_breaker *b, int64_t now) {
  if (now <= b->at)
    return;
  double k = exp2(-(double)(now - b->at) / HALF_LIFE_MS);
  b->failures *= k;
  b->attempts *= k;
  b->at = now;
}

static void open_for(pw_breaker *b, int64_t now) {
  b->open_until = now + b->open_ms;
  b->ramp_from = b->open_until;
  b->open_ms *= 2;
  if (b->open_ms > PWBREAK_OPEN_MAX_MS)
    b->open_ms = PWBREAK_OPEN_MAX_MS;
  b->failures = 0;
  b->attempts = 0;
  b->consecutive = 0;
}

int pwbreak_result(pw_breaker *b, int failed, int64_t now) {
  decay(b, now);
  b->attempts += 1;
  b->failures += failed ? 1 : 0;
  b->consecutive = failed ? b->consecutive + 1 : 0;
  if (now < b->open_until)
    return 0;
  int ramping = b->ramp_from && now < b->ramp_from + PWBREAK_RAMP_MS;
  if (!failed) {
    if (!ramping)
      b->open_ms = PWBREAK_OPEN_MS;
    return 0;
  }
  int relapse = ramping && b->open_until > 0;
  int often =
      b->failures >= MIN_FAILURES && b->failures >= MAX_SHARE * b->attempts;
  if (!relapse && !often && b->consecutive < CONSECUTIVE_MAX)
    return 0;
  open_for(b, now);
  return 1;
}

int pwbreak_allows(const pw_breaker *b, int64_t now, double draw) {
  if (now < b->open_until)
    return 0;
  if (!b->ramp_from || now >= b->ramp_from + PWBREAK_RAMP_MS)
    return 1;
  double share = (double)(now - b->ramp_from) / PWBREAK_RAMP_MS;
  if (share < FIRST_SHARE)
    share = FIRST_SHARE;
  return draw < share;
}

int pwbreak_is_joining(const pw_breaker *b) {
  return b->ramp_from && !b->open_until;
}
