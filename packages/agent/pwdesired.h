/* pwdesired.h: the desired state of an agent's target: its resource, its assignment,
** the pools it is in. */
#ifndef PWDESIRED_H
#define PWDESIRED_H

#include "pwassign.h"
#include "pwbound.h"
#include "pworder.h"
#include "pwproc.h"

#define PWDESIRED_POOLS 32 /* pools of one target; more are ignored */

typedef struct pw_desired_pool {
  char name[PWASSIGN_POOL_BYTES];
  pw_pool_sum sum; /* load of the pool, as the parent last reported it */
} pw_desired_pool;

typedef struct pw_desired {
  pw_proc *p;
  pw_order *order;
  pw_assignment assignment;
  pw_desired_pool pool[PWDESIRED_POOLS];
  int npools;
  int known; /* the target's resource exists */
  int drain;
  uint64_t state_taken; /* pworder_changes when the state was last taken */
} pw_desired;

void pwdesired_init(pw_desired *c, pw_proc *p);

/* Stops the order thread. Returns -1 when it still waits for the target. */
int pwdesired_stop(pw_desired *c);

/* Reads the changed resources. Returns 1 when the target was known before and has
** moved to other pools. */
int pwdesired_update(pw_desired *c, const pw_res *r);

/* Takes in the load sums of pools from the parent's answer to a Hello. */
void pwdesired_set_sums(pw_desired *c, const Pw__Welcome *w);

/* Load sum of a pool that the target is in, or NULL. */
const pw_pool_sum *pwdesired_pool(const pw_desired *c, const char *name);

/* Whether the pool serves a version of the model. */
int pwdesired_is_pool_of(const char *pool, const char *model);

/* Passes the assignment to the order thread, which sends orders until our time
** `until` at the latest. is_busy returns whether requests for a model are in progress. */
void pwdesired_apply(pw_desired *c,
                     int (*is_busy)(void *arg, const char *model), void *arg,
                     int64_t until);

/* Whether the state has changed since the last pwdesired_take_state. */
int pwdesired_state_changed(pw_desired *c);

/* Fills in the target's state; pworder_state_clear frees it. */
void pwdesired_take_state(pw_desired *c, Pw__TargetState *out);

#endif
