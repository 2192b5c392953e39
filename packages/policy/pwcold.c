/* pwcold.c: rate limit for requests to a target that has not warmed up. */
#include "pwcold.h"

#include <assert.h>

#define MS_PER_S 1000.0

/* Share of a cold target's rate that the gateways divide among them. It is
** above 1 since a gateway's turn passes unused until a request arrives. With 1,
** 4, 23 and 103 gateways and three times the load, a cold target of 23 requests
** a second gets 21, 21, 18 and 9, at most 29 in any second of 200 runs (it can
** take 39). With 0.8 it gets 15, 15, 13 and 6, with 1.6 at most 34
** (test_cold). */
#define USED_SHARE 1.2

/* A request that is late for its turn by less than this part of the interval
** does not delay the next one. */
#define LATE_SHARE 0.25

int pwcold_is_cold(const pw_cold *c, const pw_cold_service *s, int64_t now) {
  if (s->ms <= 0 || s->per_s <= 0)
    return 0;
  return now < c->until || (c->maybe_cold_at && now < c->maybe_cold_at + s->ms);
}

/* Interval in ms between two requests of a gateway. */
static double interval_of(const pw_cold_service *s, double part) {
  assert(part > 0 && part <= 1);
  return MS_PER_S / (USED_SHARE * s->per_s * part);
}

/* The first turn is random, so that not all gateways send at the same time. */
int pwcold_may_send(pw_cold *c, const pw_cold_service *s, double part,
                    double draw, int64_t now) {
  if (!pwcold_is_cold(c, s, now)) {
    c->next_at = 0;
    return 1;
  }
  if (!c->next_at)
    c->next_at = now + (int64_t)(draw * interval_of(s, part));
  return now >= c->next_at;
}

void pwcold_sent(pw_cold *c, const pw_cold_service *s, double part,
                 int64_t now) {
  if (!pwcold_is_cold(c, s, now))
    return;
  double interval = interval_of(s, part);
  int is_late = (double)(now - c->next_at) > LATE_SHARE * interval;
  c->next_at = (is_late ? now : c->next_at) + (int64_t)interval;
}
