/* pwaccept.h: which part of its new connections a gateway takes.
**
** Pure: time comes in as an argument. Prevents this failure: most callers are
** sent to one gateway, whose processor or link is too slow for all of them. It
** reads every request and answers each too late, while the others have little
** to do. A connection that is closed before its request is read costs the caller
** one connection: nothing has run, and the next try meets another gateway.
**
** Connections are closed only while the gateway gets far more requests than the
** others, and its event loop falls behind or requests take far longer to arrive
** than they usually do. When all gateways have too much to do, the next try
** would meet one that is as busy: then requests are refused, with the time
** after which to come back. */
#ifndef PWACCEPT_H
#define PWACCEPT_H

#include "pwrate.h"

#include <stdint.h>

typedef struct pw_accept {
  double closed_part; /* of the new connections */
  pw_rate offered;    /* new connections */
  int64_t updated_at; /* ms; 0: never */
  int64_t taken_at;   /* when a connection was last taken, ms */
  int64_t lag_ms;     /* delay of the event loop at the latest update */
  /* Time from a request's first byte to its last, ms: smoothed over the latest ones, and the usual one. */
  double arrival_ms, usual_arrival_ms;
  int64_t arrived_at; /* when the latest one arrived, ms */
  int narrivals;      /* how many the usual one is the mean of */
} pw_accept;

/* What a gateway gets, and how far it is behind. */
typedef struct pw_accept_load {
  double mine;    /* requests a second that it reads */
  double others;  /* those of all other gateways */
  int gateways;   /* with this one */
  int64_t lag_ms; /* delay of its event loop */
} pw_accept_load;

/* Adapts the part; to be called in each turn of the event loop. */
void pwaccept_update(pw_accept *a, const pw_accept_load *load, int64_t now);

/* Notes how long a request that has just arrived took from its first byte to its last, ms. */
void pwaccept_arrived(pw_accept *a, double ms, int64_t now);

/* Whether to take a new connection, which is counted. `draw`: uniform in [0, 1). */
int pwaccept_takes(pw_accept *a, double draw, int64_t now);

#endif
