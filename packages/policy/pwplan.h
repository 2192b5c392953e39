/* pwplan.h: which target is to load which version of a model next.
**
** The control leader asks again and again; each step it is given goes through
** the replicated log before the next is asked for, so that a new leader goes on
** where the old one was, and one that was cut off can have no effect. */
#ifndef PWPLAN_H
#define PWPLAN_H

#include "pwlimits.h"

#include <stdint.h>

#define PWPLAN_AWAY 0.1   /* share of a pool that may be out of service */
#define PWPLAN_HOPELESS 3 /* failures after which nobody waits for a target */
#define PWPLAN_RETRY_MS 1000
#define PWPLAN_RETRY_MAX_MS 60000

/* A target that may carry the model. */
typedef struct pw_plan_slot {
  uint64_t id;
  int usable;              /* heard, and not draining */
  int has_load;            /* it has an order for the model ... */
  char load[PW_NAME_MAX];  /* ... to load this version */
  int has_serve;           /* entries may send it chats ... */
  char serve[PW_NAME_MAX]; /* ... of this version */
  int acted;               /* its agent has ended the order ... */
  int loaded;              /* ... and the version is there */
  int failures;            /* loads that failed in a row */
  int64_t retry_at;        /* after a failed load: not before this */
} pw_plan_slot;

typedef struct pw_plan_ask {
  const char *from, *to;
  double share; /* percent of the targets that are to carry `to` */
  int replicas; /* targets to carry the model; 0: all */
  int may_load; /* the weight store's limit lets a load begin */
} pw_plan_ask;

typedef enum pw_plan_kind {
  PW_PLAN_NONE,
  PW_PLAN_LOAD,  /* out of service, if it was in it, and load */
  PW_PLAN_SERVE, /* the load is there: into service */
  PW_PLAN_PAUSE, /* the target lost what it had: out of service */
  PW_PLAN_RETIRE /* it is not to carry the model any more */
} pw_plan_kind;

typedef struct pw_plan_step {
  pw_plan_kind kind;
  int slot;
  const char *version; /* PW_PLAN_LOAD: from or to of the ask */
} pw_plan_step;

/* The next step for one model. Never takes more than PWPLAN_AWAY of the
** targets that are to carry it (one at least) out of service at a time. */
pw_plan_step pwplan_next(const pw_plan_ask *ask, const pw_plan_slot *slot,
                         int n, int64_t now);

/* Targets that serve `version`, or any when it is NULL. */
int pwplan_serving(const pw_plan_slot *slot, int n, const char *version);

/* Percent of the serving targets that serve `version`. */
double pwplan_ready(const pw_plan_slot *slot, int n, const char *version);

/* ms to wait after the given number of failed loads at one target. */
int64_t pwplan_backoff(int failures);

#endif
