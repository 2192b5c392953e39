/* pwcanary.c: how the traffic of a service moves to targets of a new
** version. */
#include "pwcanary.h"

#include <math.h>
#include <string.h>

#ifndef PW_MUTATION
#define PW_MUTATION 0
#endif
enum {
  MUT_ALL_AT_ONCE = 50,   /* all requests move without a trial share */
  MUT_NO_WAY_BACK = 51,   /* a version with all requests is never reverted */
  MUT_ONE_SUM = 52,       /* routes are summed up */
  MUT_NO_ROOM_ASKED = 53, /* a version gets all requests without enough slots */
  MUT_BACK_AGAIN = 54     /* a reverted rollout begins again */
};

/* Part of the rollout's time until which the share stays that of the first
** stage. */
#define CANARY_PART 0.65

/* Part of the rollout's time from which a doubtful version is reverted. */
#define LAST_PART 0.85

/* Part of the rollout's time from which it can be complete. Requests still
** running at old targets are cut off when these are stopped, so some time has
** to pass after all requests go to the new version. */
#define COMPLETE_PART 0.95

/* Least time at the trial share: most requests have ended by then and the
** gateways have reported them. */
#define TRIAL_MS 600

/* The first share is at most this part of the requests that a bad version may
** get. The rest allows for requests that are sent to it until all gateways know
** that it is reverted. */
#define EXPOSE_PART 0.9

/* Slots that the new targets need before they get all requests, as a part of
** the slots of the old targets. */
#define ROOM_PART 0.8

/* Prior of the old version's error rate: pseudo-counts of answers and of bad
** ones among them. */
#define PRIOR_ANSWERS 20.0
#define PRIOR_BAD 1.0

/* An answer is slow from this multiple of the baseline on. */
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

/* Shares of the otherwise good answers that a worse version may fail. */
static const double worse[] = {0.02, 0.05, 0.15, 0.4, 0.8};
#define WORSE (int)(sizeof worse / sizeof worse[0])

/* Likelihood ratio of the answers, averaged over the failure shares in `worse`.
** The average is a likelihood ratio as well. */
static double ratio_of(double good, double bad, double baseline) {
  double sum = 0;
  for (int i = 0; i < WORSE; i++) {
    double p = baseline + worse[i] * (1 - baseline);
    sum += exp(bad * log(p / baseline) + good * log((1 - p) / (1 - baseline)));
  }
  return sum / WORSE;
}

static double route_ratio(const pw_canary_route *r) {
  double baseline =
      (r->bad_from + PRIOR_BAD) / (r->good_from + r->bad_from + PRIOR_ANSWERS);
  return ratio_of(r->good_to, r->bad_to, baseline);
}

/* Routes are never summed up: where the two versions get a different mix of
** routes, a route with more errors would be taken for a bad version. */
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

/* --- decisions --- */

static int first_share(const pw_canary_input *in) {
  double allowed = EXPOSE_PART * in->expose_share * PWCANARY_ALL;
  return allowed < PWCANARY_SHARE ? (int)allowed : PWCANARY_SHARE;
}

static int has_room(const pw_canary_input *in) {
  return in->slots_to > 0 && (in->slots_to >= ROOM_PART * in->slots_from ||
                              PW_MUTATION == MUT_NO_ROOM_ASKED);
}

static int is_past(const pw_canary_input *in, double part) {
  return (double)in->elapsed_ms >= part * (double)in->over_ms;
}

/* The share that a version is to have now, without evidence against it. */
static int next_share(const pw_canary *c, const pw_canary_input *in) {
  if (c->share < first_share(in))
    return in->slots_to > 0 ? first_share(in) : c->share;
  if (!is_past(in, CANARY_PART) || !has_room(in))
    return c->share;
  if (c->share < PWCANARY_TRIAL_SHARE && PW_MUTATION != MUT_ALL_AT_ONCE)
    return PWCANARY_TRIAL_SHARE;
  return in->in_share_ms >= TRIAL_MS ? PWCANARY_ALL : c->share;
}

static int revert(pw_canary *out) {
  out->state = PWCANARY_REVERTED;
  out->share = 0;
  return 1;
}

int pwcanary_next(const pw_canary *c, const pw_canary_input *in,
                  pw_canary *out) {
  *out = *c;
  if (c->state == PWCANARY_REVERTED && PW_MUTATION == MUT_BACK_AGAIN)
    out->state = PWCANARY_RUNNING;
  else if (c->state != PWCANARY_RUNNING)
    return 0;
  double ratio = pwcanary_ratio(in->route, in->nroutes);
  int is_all = c->share == PWCANARY_ALL;
  if (ratio >= PWCANARY_BAD && !(is_all && PW_MUTATION == MUT_NO_WAY_BACK))
    return revert(out);
  if (ratio >= PWCANARY_DOUBT && !is_all)
    return is_past(in, LAST_PART) ? revert(out) : 0;
  if (is_all && is_past(in, COMPLETE_PART) && has_room(in)) {
    out->state = PWCANARY_COMPLETE;
    return 1;
  }
  out->share = next_share(c, in);
  return out->share != c->share;
}

int pwcanary_takes_part(uint64_t hash, int share) {
  return share >= PWCANARY_ALL ||
         hash % PWCANARY_ALL < (uint64_t)(share > 0 ? share : 0);
}

int pwcanary_is_slow(double ms, double baseline_ms) {
  return baseline_ms > 0 && ms > SLOW_TIMES * baseline_ms;
}
