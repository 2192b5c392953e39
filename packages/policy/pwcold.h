/* pwcold.h: rate limit for requests to a target that has not warmed up.
**
** Pure: time comes in as an argument. Prevents this failure: at three times
** the baseline load, all targets of an availability zone return together. Each
** can take some requests a second until it is warm and crashes well above
** that. One that crashes returns cold, its callers move to the next ones, and
** so on: half of the requests were lost until the load fell. All gateways
** share the rate that a cold target can take, each by its share of all
** requests. */
#ifndef PWCOLD_H
#define PWCOLD_H

#include <stdint.h>

/* A service's settings for cold targets. */
typedef struct pw_cold_service {
  int64_t ms;   /* longest time that a target is cold; 0: never cold */
  double per_s; /* requests a second that a cold target takes in total */
} pw_cold_service;

/* Cold phase of one target, and when this gateway may send to it. */
typedef struct pw_cold {
  int64_t until; /* the target reported that it is cold until then, ms */
  /* When the target may have turned cold without a heartbeat that says so, ms;
  ** 0: it has not. */
  int64_t maybe_cold_at;
  /* When this gateway may send the next request while the target is cold, ms;
  ** 0: not set. */
  int64_t next_at;
} pw_cold;

/* Whether the target is cold, or has to be treated as cold. */
int pwcold_is_cold(const pw_cold *c, const pw_cold_service *s, int64_t now);

/* Whether this gateway may send the target a request now. `part` is this
** gateway's share of all requests, above 0 and at most 1; `draw` is uniform in
** [0, 1). */
int pwcold_may_send(pw_cold *c, const pw_cold_service *s, double part,
                    double draw, int64_t now);

/* Records that this gateway sends the target a request now. */
void pwcold_sent(pw_cold *c, const pw_cold_service *s, double part,
                 int64_t now);

#endif
