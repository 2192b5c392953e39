/* pwplan.h: which target is to load which version of a model next.
**
** The control leader calls pwplan_next repeatedly. Each step is committed to
** the replicated log before the next call, so that a new leader continues where
** the old one stopped, and a leader that was cut off has no effect. */
#ifndef PWPLAN_H
#define PWPLAN_H

#include "pwlimits.h"

#include <stdint.h>

#define PWPLAN_OUT_SHARE 0.1 /* share of a pool that may be out of service */
#define PWPLAN_RETRY_MS 1000 /* first backoff after a failed load */
#define PWPLAN_RETRY_MAX_MS 60000 /* longest backoff */

/* Failed loads in a row from which on a target is left out of
** PWPLAN_OUT_SHARE. */
#define PWPLAN_FAILURES_MAX 3

/* A target that may serve the model. */
typedef struct pw_plan_slot {
  uint64_t id;
  int usable;              /* heartbeats arrive, and it is not draining */
  int has_load;            /* it has an order for the model */
  char load[PW_NAME_MAX];  /* version that it was ordered to load */
  int has_serve;           /* entries may send it chats */
  char serve[PW_NAME_MAX]; /* version that it serves */
  int load_ended;          /* its agent has finished the order */
  int loaded;              /* the version was loaded and is still there */
  int failures;            /* loads that failed in a row */
  int64_t retry_at;        /* earliest next load after a failed one, ms */
} pw_plan_slot;

typedef struct pw_plan_input {
  const char *from, *to;
  double share; /* percent of the targets that are to serve `to` */
  int replicas; /* targets to serve the model; 0: all */
  int may_load; /* the weight store's limit permits another load */
} pw_plan_input;

typedef enum pw_plan_kind {
  PW_PLAN_NONE,
  PW_PLAN_LOAD,  /* take the target out of service if necessary, and load */
  PW_PLAN_SERVE, /* the version is loaded: put it into service */
  PW_PLAN_PAUSE, /* the target lost the version: take it out of service */
  PW_PLAN_RETIRE /* the target is not to serve the model any more */
} pw_plan_kind;

typedef struct pw_plan_step {
  pw_plan_kind kind;
  int slot;
  const char *version; /* of PW_PLAN_LOAD: `from` or `to` */
} pw_plan_step;

/* The next step for one model. It never takes more than PWPLAN_OUT_SHARE of the
** targets that are to serve it (at least one) out of service at a time. */
pw_plan_step pwplan_next(const pw_plan_input *in, const pw_plan_slot *slot,
                         int n, int64_t now);

/* Number of targets that serve `version`, or any version when it is NULL. */
int pwplan_serving(const pw_plan_slot *slot, int n, const char *version);

/* Percent of the serving targets that serve `version`. */
double pwplan_ready(const pw_plan_slot *slot, int n, const char *version);

/* Backoff in ms after the given number of failed loads at one target. */
int64_t pwplan_backoff(int failures);

#endif
