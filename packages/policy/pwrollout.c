/* pwrollout.c: how a new version of a model takes over from the old one. */
#include "pwrollout.h"

#include <string.h>

#define ALL 100.0
/* Chats are told apart to a hundredth of a percent. */
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

/* Place of a name in a list, 0 when it is not there. */
static int place_of(const char *const *names, int n, const char *name) {
  for (int i = 0; i < n; i++)
    if (!strcmp(names[i], name))
      return i;
  return 0;
}

pw_rollout_state pwrollout_state_of(const char *name) {
  return (pw_rollout_state)place_of(states, STATES, name);
}

pw_rollout_why pwrollout_why_of(const char *name) {
  return (pw_rollout_why)place_of(whys, WHYS, name);
}

static void set_version(char out[PW_NAME_MAX], const char *version) {
  size_t n = strlen(version);
  if (n >= PW_NAME_MAX)
    n = PW_NAME_MAX - 1;
  memcpy(out, version, n);
  out[n] = 0;
}

double pwrollout_goal(const pw_rollout *r, const pw_rollout_ask *ask) {
  if (r->state == PW_ROLLOUT_BACK)
    return 0;
  if (r->state == PW_ROLLOUT_DONE || r->step >= ask->nsteps)
    return ALL;
  return ask->step[r->step];
}

/* The operator names another version than the one under way. */
static void begin(const pw_rollout *r, const pw_rollout_ask *ask,
                  pw_rollout *out) {
  int taken_over = r->state == PW_ROLLOUT_DONE || r->share >= ALL;
  const char *stable = taken_over ? r->to : r->from;
  int at_once = !strcmp(stable, ask->wanted) || ask->is_new;
  *out = (pw_rollout){.asked = ask->asked};
  set_version(out->to, ask->wanted);
  out->state = at_once ? PW_ROLLOUT_DONE : PW_ROLLOUT_ROLLING;
  out->share = at_once ? ALL : 0;
  if (!at_once)
    set_version(out->from, stable);
}

static double failed_share(double done, double failed) {
  return failed > 0 ? failed / (done + failed) : 0;
}

/* Errors of the old version in the same time are not held against the new. */
static int errs_too_often(const pw_rollout_ask *ask) {
  double allowed =
      ask->max_errors + failed_share(ask->done_from, ask->failed_from);
  return failed_share(ask->done_to, ask->failed_to) > allowed;
}

static int has_errors(const pw_rollout_ask *ask) {
  return ask->failed_to >= PWROLLOUT_ERRORS_LEAST && errs_too_often(ask);
}

/* A step is not over while there are errors, however few. An idle model goes on
** in time, but for its last step: there it waits for requests, and can still go
** back when the first ones fail. */
static int step_is_over(const pw_rollout_ask *ask, double goal) {
  if (ask->in_step < ask->step_ms || errs_too_often(ask))
    return 0;
  if (ask->done_to + ask->failed_to >= ask->min_requests)
    return 1;
  return goal < ALL && ask->in_step >= PWROLLOUT_PATIENCE * ask->step_ms;
}

static int give_up(pw_rollout *out, pw_rollout_why why) {
  out->state = PW_ROLLOUT_BACK;
  out->why = why;
  out->share = 0;
  return 1;
}

static int go_on(const pw_rollout_ask *ask, pw_rollout *out) {
  double goal = pwrollout_goal(out, ask);
  double share = ask->ready < goal ? ask->ready : goal;
  if (share > out->share) {
    out->share = share;
    return 1;
  }
  if (out->share < goal || !step_is_over(ask, goal))
    return 0;
  if (goal >= ALL)
    out->state = PW_ROLLOUT_DONE;
  else
    out->step++;
  return 1;
}

int pwrollout_next(const pw_rollout *r, const pw_rollout_ask *ask,
                   pw_rollout *out) {
  *out = *r;
  int again = r->state == PW_ROLLOUT_BACK && ask->asked != r->asked;
  if (strcmp(r->to, ask->wanted) != 0 || again) {
    begin(r, ask, out);
    return 1;
  }
  if (r->state != PW_ROLLOUT_ROLLING)
    return 0;
  if (ask->loads_failed >= PWROLLOUT_LOADS_FAILED)
    return give_up(out, PW_ROLLOUT_WHY_LOADS);
  if (has_errors(ask))
    return give_up(out, PW_ROLLOUT_WHY_ERRORS);
  return go_on(ask, out);
}

int pwrollout_takes(double share, uint64_t chat) {
  return (double)(chat % SHARE_UNIT) < share * (SHARE_UNIT / ALL);
}
