/* pwcanary.h: how the traffic of a service moves to targets of a new version,
** and when it moves back.
**
** Pure. The problem: the new targets stand beside the old ones, all gateways
** together see some hundred answers of them, and a bad version fails or slows
** down a part of its requests, perhaps only later, under load, or on one
** route. While there is time, a small share of the requests goes to a few of
** the new targets, so that each of these has the load that it will have in the
** end. Then all requests move, in two steps. The evidence against the version
** is a sequential test that may be evaluated at any time: the likelihood ratio
** of the answers, of a version worse than the old one to one that is not,
** averaged over several shares of additional failures and over routes. By
** Ville's inequality a version that is as good exceeds `PWCANARY_BAD` in at
** most one of that number of rollouts. */
#ifndef PWCANARY_H
#define PWCANARY_H

#include <stdint.h>

/* Default of the share of the requests that a bad version may get. */
#define PWCANARY_EXPOSE_SHARE 0.1

#define PWCANARY_ALL 1000      /* shares are in thousandths */
#define PWCANARY_ROUTES_MAX 64 /* routes kept apart; the others share one row */

/* The share of the first stage in thousandths, unless the operator allows
** less. */
#define PWCANARY_SHARE 100

/* The share of the second stage in thousandths, before all requests move. */
#define PWCANARY_TRIAL_SHARE 250

/* The likelihood ratio from which a version is reverted. */
#define PWCANARY_BAD 1000.0

/* The likelihood ratio from which a version gets no larger share. */
#define PWCANARY_DOUBT 20.0

typedef enum pw_canary_state {
  PWCANARY_RUNNING,
  PWCANARY_COMPLETE,
  PWCANARY_REVERTED
} pw_canary_state;

/* State of a rollout. */
typedef struct pw_canary {
  pw_canary_state state;
  int share; /* of the requests, for the new version, in thousandths */
} pw_canary;

/* Answers on one route since the rollout began, summed over all gateways. */
typedef struct pw_canary_route {
  double good_to, bad_to;     /* answers of the new version */
  double good_from, bad_from; /* answers of all other versions */
} pw_canary_route;

typedef struct pw_canary_input {
  int64_t over_ms;     /* planned duration of the rollout */
  int64_t elapsed_ms;  /* time since the start of the rollout */
  int64_t in_share_ms; /* time for which the current share has been in force */
  double slots_to;     /* slots of the usable targets of the new version */
  double slots_from;   /* slots of all other usable targets */
  double expose_share; /* share of the requests that a bad version may get */
  const pw_canary_route *route;
  int nroutes;
} pw_canary_input;

/* Adds the answers of `from`. */
void pwcanary_add(pw_canary_route *to, const pw_canary_route *from);

/* The likelihood ratio of the answers: worse version to one that is as good. */
double pwcanary_ratio(const pw_canary_route *route, int n);

/* Decides on the next state; returns whether anything changes. */
int pwcanary_next(const pw_canary *c, const pw_canary_input *in,
                  pw_canary *out);

const char *pwcanary_state_name(pw_canary_state s);
pw_canary_state pwcanary_state_of(const char *name);

/* Whether a target of the new version (its hash) takes part at that share. Only
** so many take part that each has the load that it will have in the end. */
int pwcanary_takes_part(uint64_t hash, int share);

/* Whether an answer was slow, compared with the route's baseline. */
int pwcanary_is_slow(double ms, double baseline_ms);

#endif
