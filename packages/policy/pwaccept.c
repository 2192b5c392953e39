/* pwaccept.c: which part of its new connections a gateway takes. */
#include "pwaccept.h"

#include <math.h>

#ifndef PW_MUTATION
#define PW_MUTATION 0
#endif

enum {
  MUT_CLOSE_WHEN_EVEN = 73, /* a gateway that gets no more than others closes */
  MUT_FORGET_CLOSED = 74    /* what is closed does not count as offered */
};

/* Delay of the event loop, or of requests that arrive, from which on the gateway
** is behind, ms: more than a busy loop needs for one turn, and little beside what
** callers wait for. */
#define LAG_MS 50

/* Requests are delayed that take longer to arrive than this multiple of their
** usual time. */
#define ARRIVAL_TIMES 2

/* Weight of the newest request in the time to arrive. */
#define ARRIVAL_WEIGHT 0.2

/* Delay beyond LAG_MS from which on the taken part falls at its full rate, ms. */
#define LAG_FULL_MS 300.0

/* A gateway gets far more than the others from this multiple of their mean on, and
** so many a second more: rates below that are told as 0. */
#define UNEVEN_TIMES 2
#define UNEVEN_EXTRA 5

/* Requests after which their usual time to arrive is known, and most that count
** in it. */
#define USUAL_FROM 20
#define USUAL_MOST 100

/* Arrivals longer ago than this say nothing of the link any more, ms. */
#define ARRIVAL_STALE_MS 2000

/* Time constant of the rate of new connections, ms. */
#define OFFERED_MS 1000.0

/* Time constant in ms with which the taken part falls while the gateway is
** behind, and time in which it rises from nothing to all. */
#define FALL_MS 200.0
#define RISE_MS 2000.0

/* Part of the connections that is always taken, and time after which one is, ms:
** callers still reach a gateway that says it is ready, however few they are. */
#define TAKEN_LEAST 0.1
#define TAKE_EVERY_MS 500

/* Whether the gateway is offered far more than the mean of the others: by the
** requests that it reads or, as callers may send few requests over each, by the
** new connections. */
static int is_uneven(const pw_accept *a, const pw_accept_load *load,
                     int64_t now) {
  double connections = pwrate_per_s(&a->offered, OFFERED_MS, now);
  if (load->gateways < 2)
    return 0;
  return PW_MUTATION == MUT_CLOSE_WHEN_EVEN ||
         fmax(load->mine, connections) >
             UNEVEN_TIMES * load->others / (load->gateways - 1) + UNEVEN_EXTRA;
}

/* From which time to arrive on a request is delayed, ms. */
static double delayed_from(const pw_accept *a) {
  return ARRIVAL_TIMES * a->usual_arrival_ms + LAG_MS;
}

/* The usual time rises slowly once it is known, so that it does not follow a link
** that fills. */
static void learn_usual(pw_accept *a, double ms) {
  double sample = a->narrivals < USUAL_FROM ? ms : fmin(ms, delayed_from(a));
  if (a->narrivals < USUAL_MOST)
    a->narrivals++;
  a->usual_arrival_ms += (sample - a->usual_arrival_ms) / a->narrivals;
}

void pwaccept_arrived(pw_accept *a, double ms, int64_t now) {
  a->arrived_at = now;
  a->arrival_ms += ARRIVAL_WEIGHT * (ms - a->arrival_ms);
  if (a->closed_part == 0)
    learn_usual(a, ms);
}

/* By how much requests are delayed that arrive, ms; 0: not known. */
static double arrival_delay_ms(const pw_accept *a, int64_t now) {
  int is_known =
      a->narrivals >= USUAL_FROM && now - a->arrived_at < ARRIVAL_STALE_MS;
  return is_known ? a->arrival_ms - delayed_from(a) : 0;
}

/* By how much the gateway is behind, ms. A single long turn of the event loop, as after
** a suspension, does not count. */
static double delay_ms(const pw_accept *a, const pw_accept_load *load,
                       int64_t now) {
  int64_t lag = load->lag_ms < a->lag_ms ? load->lag_ms : a->lag_ms;
  return fmax((double)lag - LAG_MS, arrival_delay_ms(a, now));
}

void pwaccept_update(pw_accept *a, const pw_accept_load *load, int64_t now) {
  double since = a->updated_at ? (double)(now - a->updated_at) : 0;
  if (since > LAG_FULL_MS)
    since = LAG_FULL_MS; /* the process may have been suspended */
  double behind = fmin(delay_ms(a, load, now) / LAG_FULL_MS, 1);
  double taken = 1 - a->closed_part;
  a->updated_at = now;
  a->lag_ms = load->lag_ms;
  if (behind > 0 && is_uneven(a, load, now))
    taken *= exp(-behind * since / FALL_MS);
  else
    taken += since / RISE_MS;
  a->closed_part = 1 - fmin(fmax(taken, TAKEN_LEAST), 1);
}

int pwaccept_takes(pw_accept *a, double draw, int64_t now) {
  int takes = draw >= a->closed_part || now - a->taken_at >= TAKE_EVERY_MS;
  if (takes)
    a->taken_at = now;
  if (takes || PW_MUTATION != MUT_FORGET_CLOSED)
    pwrate_note(&a->offered, OFFERED_MS, now);
  return takes;
}
