/* pwcanary.c: how the traffic of a service moves to targets of another version. */
#include "pwcanary.h"

#include <math.h>
#include <string.h>

#ifndef PW_MUTATION
#define PW_MUTATION 0
#endif
enum {
  MUT_ALL_AT_ONCE = 50,   /* no trial before all of it */
  MUT_NO_WAY_BACK = 51,   /* once it has all, it is never bad */
  MUT_ONE_SUM = 52,       /* routes are not told apart */
  MUT_NO_ROOM_ASKED = 53, /* it gets all, whatever its targets bear */
  MUT_BACK_AGAIN = 54     /* what was reverted begins anew */
};

/* Parts of the time until all of it goes to the new version, and until it is complete:
** what runs at old targets when they are stopped is cut, so there is time between. */
#define CANARY_PART 0.65
#define LAST_PART 0.85
#define COMPLETE_PART 0.95

#define TRIAL_MS                                                               \
  600 /* most requests are over by then, and gateways have told of them */

/* The first share is at most this part of what a bad version may get: the rest is for what
** goes there until all gateways know that it is bad. */
#define EXPOSE_PART 0.9

/* Slots that the new targets need for all of it, as a part of the old ones'. */
#define ROOM_PART 0.8

/* Answers that the old version's share of bad ones is taken to rest on already, and how many
** of them were bad. */
#define PRIOR_ANSWERS 20.0
#define PRIOR_BAD 1.0

#define SLOW_TIMES 2.0

static const char *const names[] = {"running", "complete", "reverted"};
#define STATES (int)(sizeof names / sizeof names[0])

const char *pwcanary_state_name(pw_canary_state s) {
  return names[s];
}

pw_canary_state pwcanary_state_of(const char *name) {
  for (int i = 0; i < STATES; i++)
    if (!strcmp(names[i], name))
      return (pw_canary_state)i;
  return PWCANARY_RUNNING;
}

/* --- evidence --- */

/* What of the good answers may be bad ones with a worse version. */
static const double worse[] = {0.02, 0.05, 0.15, 0.4, 0.8};
#define WORSE (int)(sizeof worse / sizeof worse[0])

/* Averaged over how much worse: still a ratio of likelihoods. */
static double ratio_of(double good, double bad, double usual) {
  double sum = 0;
  for (int i = 0; i < WORSE; i++) {
    double p = usual + worse[i] * (1 - usual);
    sum += exp(bad * log(p / usual) + good * log((1 - p) / (1 - usual)));
  }
  return sum / WORSE;
}

static double route_ratio(const pw_canary_route *r) {
  double usual =
      (r->bad_from + PRIOR_BAD) / (r->good_from + r->bad_from + PRIOR_ANSWERS);
  return ratio_of(r->good_to, r->bad_to, usual);
}

/* A route on which the old version is seen to be worse than on others would be taken for
** a bad version where the mix of routes differs, so routes are never added up. */
static double mean_ratio(const pw_canary_route *route, int n) {
  double sum = 0;
  int seen = 0;
  for (int i = 0; i < n; i++) {
    if (route[i].good_to + route[i].bad_to == 0)
      continue;
    sum += route_ratio(&route[i]);
    seen++;
  }
  return seen ? sum / seen : 1;
}

void pwcanary_add(pw_canary_route *to, const pw_canary_route *from) {
  to->good_to += from->good_to;
  to->bad_to += from->bad_to;
  to->good_from += from->good_from;
  to->bad_from += from->bad_from;
}

static double sum_ratio(const pw_canary_route *route, int n) {
  pw_canary_route all = {0};
  for (int i = 0; i < n; i++)
    pwcanary_add(&all, &route[i]);
  return route_ratio(&all);
}

double pwcanary_ratio(const pw_canary_route *route, int n) {
  return PW_MUTATION == MUT_ONE_SUM ? sum_ratio(route, n)
                                    : mean_ratio(route, n);
}

/* --- what comes next --- */

static int first_share(const pw_canary_ask *ask) {
  double allowed = EXPOSE_PART * ask->expose_share * PWCANARY_ALL;
  return allowed < PWCANARY_SHARE ? (int)allowed : PWCANARY_SHARE;
}

static int has_room(const pw_canary_ask *ask) {
  return ask->slots_to > 0 && (ask->slots_to >= ROOM_PART * ask->slots_from ||
                               PW_MUTATION == MUT_NO_ROOM_ASKED);
}

static int is_past(const pw_canary_ask *ask, double part) {
  return (double)ask->elapsed_ms >= part * (double)ask->over_ms;
}

/* The share that it is to have now, where nothing speaks against it. */
static int next_share(const pw_canary *c, const pw_canary_ask *ask) {
  if (c->share < first_share(ask))
    return ask->slots_to > 0 ? first_share(ask) : c->share;
  if (!is_past(ask, CANARY_PART) || !has_room(ask))
    return c->share;
  if (c->share < PWCANARY_TRIAL_SHARE && PW_MUTATION != MUT_ALL_AT_ONCE)
    return PWCANARY_TRIAL_SHARE;
  return ask->in_share_ms >= TRIAL_MS ? PWCANARY_ALL : c->share;
}

static int revert(pw_canary *out) {
  out->state = PWCANARY_REVERTED;
  out->share = 0;
  return 1;
}

int pwcanary_next(const pw_canary *c, const pw_canary_ask *ask,
                  pw_canary *out) {
  *out = *c;
  if (c->state == PWCANARY_REVERTED && PW_MUTATION == MUT_BACK_AGAIN)
    out->state = PWCANARY_RUNNING;
  else if (c->state != PWCANARY_RUNNING)
    return 0;
  double ratio = pwcanary_ratio(ask->route, ask->nroutes);
  int is_all = c->share == PWCANARY_ALL;
  if (ratio >= PWCANARY_BAD && !(is_all && PW_MUTATION == MUT_NO_WAY_BACK))
    return revert(out);
  if (ratio >= PWCANARY_DOUBT && !is_all)
    return is_past(ask, LAST_PART) ? revert(out) : 0;
  if (is_all && is_past(ask, COMPLETE_PART) && has_room(ask)) {
    out->state = PWCANARY_COMPLETE;
    return 1;
  }
  out->share = next_share(c, ask);
  return out->share != c->share;
}

int pwcanary_takes_part(uint64_t hash, int share) {
  return share >= PWCANARY_ALL ||
         hash % PWCANARY_ALL < (uint64_t)(share > 0 ? share : 0);
}

int pwcanary_is_slow(double ms, double usual_ms) {
  return usual_ms > 0 && ms > SLOW_TIMES * usual_ms;
}
