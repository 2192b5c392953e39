/* pwaccept.c: which part of its new connections a gateway takes. */
#include "pwaccept.h"

#include <math.h>

#ifndef PW_MUTATION
#define PW_MUTATION 0
#endif

enum {
  MUT_CLOSE_WHEN_EVEN = 73, /* a gateway that gets no more than others closes */
  MUT_FORGET_CLOSED = 74    /* what was closed does not count as offered */
};

/* Delay of the event loop from which on the gateway is behind, ms: more than a
** busy loop needs for one turn, and little beside what callers wait for. */
#define LAG_MS 50

/* Delay beyond LAG_MS from which on the taken part falls at its full rate, ms. */
#define LAG_FULL_MS 300.0

/* A gateway gets far more than the others from this multiple of their mean on. */
#define UNEVEN_TIMES 2

/* Time constant in ms with which the taken part falls while the gateway is
** behind, and time in which it rises from nothing to all. */
#define FALL_MS 200.0
#define RISE_MS 2000.0

/* Part of the connections that is always taken, so that the platform and
** callers still find a gateway that says it is ready. */
#define TAKEN_LEAST 0.1

/* Whether the gateway is offered far more than the mean of the others. */
static int is_uneven(const pw_accept *a, const pw_accept_load *load,
                     int64_t now) {
  double closed =
      PW_MUTATION == MUT_FORGET_CLOSED ? 0 : pwshare_rate(&a->closed, now);
  if (load->gateways < 2)
    return 0;
  return PW_MUTATION == MUT_CLOSE_WHEN_EVEN ||
         load->mine + closed >
             UNEVEN_TIMES * load->others / (load->gateways - 1);
}

void pwaccept_update(pw_accept *a, const pw_accept_load *load, int64_t now) {
  double since = a->updated_at ? (double)(now - a->updated_at) : 0;
  if (since > LAG_FULL_MS)
    since = LAG_FULL_MS; /* the process may have been suspended */
  double behind = fmin((double)(load->lag_ms - LAG_MS) / LAG_FULL_MS, 1);
  double taken = 1 - a->closed_part;
  a->updated_at = now;
  if (behind > 0 && is_uneven(a, load, now))
    taken *= exp(-behind * since / FALL_MS);
  else
    taken += since / RISE_MS;
  a->closed_part = 1 - fmin(fmax(taken, TAKEN_LEAST), 1);
}

int pwaccept_takes(pw_accept *a, double draw, int64_t now) {
  if (draw >= a->closed_part)
    return 1;
  pwshare_note(&a->closed, now);
  return 0;
}
