/* pwrollout.h: gradual rollout of a new version of a model, with rollback.
**
** The new version takes a share of the chats that grows in declared steps. A
** step lasts a set time and a set number of requests. Too many errors, or
** loads that fail at several targets, end the rollout: the old version takes
** all chats again, and the new one is not tried again until the operator asks
** for it. Without requests a step ends after some time, so that targets are
** exchanged while a model is idle and not when its callers arrive; only the
** last step waits for requests. */
#ifndef PWROLLOUT_H
#define PWROLLOUT_H

#include "pwlimits.h"

#include <stdint.h>

#define PWROLLOUT_STEPS 16       /* most steps of one version */
#define PWROLLOUT_STEP_MS 10000  /* default length of a step */
#define PWROLLOUT_REQUESTS 20    /* default number of requests of a step */
#define PWROLLOUT_ERRORS 0.02    /* default error rate allowed */
#define PWROLLOUT_IDLE_FACTOR 6  /* factor on the length of an idle step */
#define PWROLLOUT_ERRORS_LEAST 5 /* fewer failures are no evidence */
#define PWROLLOUT_LOADS_FAILED 3 /* targets with a failed load that end it */

typedef enum pw_rollout_state {
  PW_ROLLOUT_DONE,
  PW_ROLLOUT_ROLLING,
  PW_ROLLOUT_ROLLED_BACK /* `from` serves all chats again */
} pw_rollout_state;

typedef enum pw_rollout_why {
  PW_ROLLOUT_WHY_NONE,
  PW_ROLLOUT_WHY_ERRORS,
  PW_ROLLOUT_WHY_LOADS
} pw_rollout_why;

typedef struct pw_rollout {
  char from[PW_NAME_MAX]; /* "": what targets had at first, without a version */
  char to[PW_NAME_MAX];
  int step;
  double share; /* percent of the chats that go to `to` */
  pw_rollout_state state;
  pw_rollout_why why;
  uint64_t asked; /* version of the model's resource that requested it */
} pw_rollout;

/* What the operator wants, and what was seen since the step's share came into
** force. */
typedef struct pw_rollout_input {
  const char *wanted; /* version that the model names */
  uint64_t asked;     /* version of the model's resource */
  int is_new;         /* the model was created with it: nothing served before */
  double step[PWROLLOUT_STEPS]; /* rising percentages */
  int nsteps;                   /* 0: one step, to 100 */
  double max_errors;            /* share of failed attempts allowed */
  int64_t step_ms;              /* least length of a step */
  double min_requests;          /* least attempts in a step */
  double ready; /* percent of the serving targets that serve `to` */
  /* Attempts that succeeded and that failed, of the new and the old version. */
  double done_to, failed_to, done_from, failed_from;
  int loads_failed; /* targets at which the load of `to` failed */
  int64_t in_step;  /* ms since the step's share came into force */
} pw_rollout_input;

/* The share, in percent, at which the current step ends. */
double pwrollout_goal(const pw_rollout *r, const pw_rollout_input *in);

/* Decides on the next state. Returns 1 and fills in *out if anything
** changes. */
int pwrollout_next(const pw_rollout *r, const pw_rollout_input *in,
                   pw_rollout *out);

/* Whether a chat (its hash) belongs to the share. Chats only ever join a
** growing share: none moves back and forth between two versions. */
int pwrollout_takes(double share, uint64_t chat);

/* Names of the state and the reason, and back. */
const char *pwrollout_state_name(pw_rollout_state s);
const char *pwrollout_why_name(pw_rollout_why w);
pw_rollout_state pwrollout_state_of(const char *name);
pw_rollout_why pwrollout_why_of(const char *name);

#endif
