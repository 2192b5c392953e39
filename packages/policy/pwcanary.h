/* pwcanary.h: how the traffic of a service moves to targets of another version, and when it
** goes back.
**
** Pure. Answers this load: the new targets stand beside the old ones, all gateways together
** see some hundred answers of them, and a bad version fails or slows down a part of its
** requests, perhaps later, under load, or on one route only. A small share goes to a few of the
** new targets, which so have the load that each will have in the end, for as long as there is
** time; then all of it, in two steps. What speaks against the version is weighed by a test
** that may be looked at at any time: the ratio of how likely the answers are, were the version
** worse than the old one and were it not, averaged over how much worse and over routes. By
** Ville's inequality a version that is as good passes `PWCANARY_BAD` once in as many roll-outs. */
#ifndef PWCANARY_H
#define PWCANARY_H

#include <stdint.h>

/* What a bad version may get, where the operator does not say: a share of the requests. */
#define PWCANARY_EXPOSE_SHARE 0.1

#define PWCANARY_ALL 1000      /* shares are in thousandths */
#define PWCANARY_ROUTES_MAX 64 /* told apart; the rest count as one */

/* The share of the first stage, unless the operator allows less. */
#define PWCANARY_SHARE 100
#define PWCANARY_TRIAL_SHARE 250

/* The likelihood ratio from which a version is bad, and from which it is not trusted with
** more. */
#define PWCANARY_BAD 1000.0
#define PWCANARY_DOUBT 20.0

typedef enum pw_canary_state {
  PWCANARY_RUNNING,
  PWCANARY_COMPLETE,
  PWCANARY_REVERTED
} pw_canary_state;

/* Where a roll-out stands. */
typedef struct pw_canary {
  pw_canary_state state;
  int share; /* of the requests, for the new version, in thousandths */
} pw_canary;

/* Answers on one route since the roll-out began, summed over all gateways. */
typedef struct pw_canary_route {
  double good_to, bad_to;     /* of the new version */
  double good_from, bad_from; /* of all others */
} pw_canary_route;

typedef struct pw_canary_ask {
  int64_t over_ms;             /* the operator wants it over by then ... */
  int64_t elapsed_ms;          /* ... and it began so long ago */
  int64_t in_share_ms;         /* its share is in force for so long */
  double slots_to, slots_from; /* of targets that may be sent to */
  double expose_share; /* most of the requests that a bad version may get */
  const pw_canary_route *route;
  int nroutes;
} pw_canary_ask;

/* Adds the answers of `from`. */
void pwcanary_add(pw_canary_route *to, const pw_canary_route *from);

/* How much likelier the answers are with a worse version. */
double pwcanary_ratio(const pw_canary_route *route, int n);

/* What comes next; gives whether something changes. */
int pwcanary_next(const pw_canary *c, const pw_canary_ask *ask, pw_canary *out);

const char *pwcanary_state_name(pw_canary_state s);
pw_canary_state pwcanary_state_of(const char *name);

/* Whether a target (its hash) takes part while the new version has that share: so few of its
** targets that each has as much to do as in the end. */
int pwcanary_takes_part(uint64_t hash, int share);

/* Whether an answer was slow: so many times what is usual on its route. */
int pwcanary_is_slow(double ms, double usual_ms);

#endif
