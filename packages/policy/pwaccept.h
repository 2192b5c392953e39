/* pwaccept.h: which part of its new connections a gateway takes.
**
** Pure: time comes in as an argument. Prevents this failure: most callers are
** sent to one gateway, whose processor is too slow for all of them. It reads
** every request and answers each too late, while the others have little to do.
** A connection that is closed before its request is read costs the caller one
** connection: nothing has run, and the next try meets another gateway.
**
** Connections are closed only while the event loop falls behind and the gateway
** gets far more requests than the others. When all gateways have too much to
** do, the next try would meet one that is as busy: then requests are refused,
** with the time after which to come back. */
#ifndef PWACCEPT_H
#define PWACCEPT_H

#include "pwshare.h"

#include <stdint.h>

typedef struct pw_accept {
  double closed_part; /* of the new connections */
  pw_share closed;    /* rate of connections that were closed */
  int64_t updated_at; /* ms; 0: never */
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

/* Whether to take a new connection; counts it if not. `draw`: uniform in [0, 1). */
int pwaccept_takes(pw_accept *a, double draw, int64_t now);

#endif
