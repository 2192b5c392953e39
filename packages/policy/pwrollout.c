/* pwrollout.c: gradual rollout of a new version of a model, with rollback. */
#include "pwrollout.h"

#include <string.h>

#define ALL 100.0

/* Resolution of the share: a hundredth of a percent. */
#define SHARE_UNIT 10000

static const char *const states[] = {"done", "rolling", "rolled-back"};
static const char *const whys[] = {"", "errors", "loads-failed"};
#define STATES (int)(sizeof states / sizeof states[0])
#define WHYS (int)(sizeof whys / sizeof whys[0])

const char *pwrollout_state_name(pw_rollout_state s) {
  return states[s];
}

const char *pwrollout_why_name(pw_rollout_why w) {
  return whys[w];
}

/* Index of a name in a list, 0 when it is not there. */
static int index_of(const char *const *names, int n, const char *name) {
  for (int i = 0; i < n; i++)
    if (!strcmp(names[i], name))
      return i;
  return 0;
}

pw_rollout_state pwrollout_state_of(const char *name) {
  return (pw_rollout_state)index_of(states, STATES, name);
}

pw_rollout_why pwrollout_why_of(const char *name) {
  return (pw_rollout_why)index_of(whys, WHYS, name);
}

static void set_version(char out[PW_NAME_MAX], const char *version) {
  size_t n = strlen(version);
  if (n >= PW_NAME_MAX)
    n = PW_NAME_MAX - 1;
  memcpy(out, version, n);
  out[n] = 0;
}

double pwrollout_goal(const pw_rollout *r, const pw_rollout_input *in) {
  if (r->state == PW_ROLLOUT_ROLLED_BACK)
    return 0;
  if (r->state == PW_ROLLOUT_DONE || r->step >= in->nsteps)
    return ALL;
  return in->step[r->step];
}

/* Begins the rollout of the version that the operator names. */
static void begin(const pw_rollout *r, const pw_rollout_input *in,
                  pw_rollout *out) {
  int taken_over = r->state == PW_ROLLOUT_DONE || r->share >= ALL;
  const char *stable = taken_over ? r->to : r->from;
  int at_once = !strcmp(stable, in->wanted) || in->is_new;
  *out = (pw_rollout){.asked = in->asked};
  set_version(out->to, in->wanted);
  out->state = at_once ? PW_ROLLOUT_DONE : PW_ROLLOUT_ROLLING;
  out->share = at_once ? ALL : 0;
  if (!at_once)
    set_version(out->from, stable);
}

static double failed_share(double done, double failed) {
  return failed > 0 ? failed / (done + failed) : 0;
}

/* The error rate of the old version in the same time is allowed in addition. */
static int errs_too_often(const pw_rollout_input *in) {
  double allowed =
      in->max_errors + failed_share(in->done_from, in->failed_from);
  return failed_share(in->done_to, in->failed_to) > allowed;
}

static int has_errors(const pw_rollout_input *in) {
  return in->failed_to >= PWROLLOUT_ERRORS_LEAST && errs_too_often(in);
}

/* A step does not end while the error rate is too high, however few the
** errors. An idle model continues after some time, except for its last step:
** that one waits for requests, so that it can still be rolled back when the
** first ones fail. */
static int step_is_over(const pw_rollout_input *in, double goal) {
  if (in->in_step < in->step_ms || errs_too_often(in))
    return 0;
  if (in->done_to + in->failed_to >= in->min_requests)
    return 1;
  return goal < ALL && in->in_step >= PWROLLOUT_IDLE_FACTOR * in->step_ms;
}

static int roll_back(pw_rollout *out, pw_rollout_why why) {
  out->state = PW_ROLLOUT_ROLLED_BACK;
  out->why = why;
  out->share = 0;
  return 1;
}

static int advance(const pw_rollout_input *in, pw_rollout *out) {
  double goal = pwrollout_goal(out, in);
  double share = in->ready < goal ? in->ready : goal;
  if (share > out->share) {
    out->share = share;
    return 1;
  }
  if (out->share < goal || !step_is_over(in, goal))
    return 0;
  if (goal >= ALL)
    out->state = PW_ROLLOUT_DONE;
  else
    out->step++;
  return 1;
}

int pwrollout_next(const pw_rollout *r, const pw_rollout_input *in,
                   pw_rollout *out) {
  *out = *r;
  int again = r->state == PW_ROLLOUT_ROLLED_BACK && in->asked != r->asked;
  if (strcmp(r->to, in->wanted) != 0 || again) {
    begin(r, in, out);
    return 1;
  }
  if (r->state != PW_ROLLOUT_ROLLING)
    return 0;
  if (in->loads_failed >= PWROLLOUT_LOADS_FAILED)
    return roll_back(out, PW_ROLLOUT_WHY_LOADS);
  if (has_errors(in))
    return roll_back(out, PW_ROLLOUT_WHY_ERRORS);
  return advance(in, out);
}

int pwrollout_takes(double share, uint64_t chat) {
  return (double)(chat % SHARE_UNIT) < share * (SHARE_UNIT / ALL);
}
