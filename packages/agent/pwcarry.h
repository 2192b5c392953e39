/* pwcarry.h: the desired state of an agent's target: its resource, its assignment,
** the pools it is in. */
#ifndef PWCARRY_H
#define PWCARRY_H

#include "pwassign.h"
#include "pwbound.h"
#include "pworder.h"
#include "pwproc.h"

#define PWCARRY_POOLS 32

typedef struct pw_carry_pool {
  char name[PWASSIGN_POOL];
  pw_pool_sum sum; /* load of the pool, as the parent last reported it */
} pw_carry_pool;

typedef struct pw_carry {
  pw_proc *p;
  pw_order *order;
  pw_assignment assignment;
  pw_carry_pool pool[PWCARRY_POOLS];
  int npools;
  int known; /* the target's resource exists */
  int drain;
  uint64_t state_taken; /* pworder_changes when the state was last taken */
} pw_carry;

void pwcarry_init(pw_carry *c, pw_proc *p);

/* Stops the order thread. Returns -1 when it still waits for the target. */
int pwcarry_end(pw_carry *c);

/* Reads the changed resources. Returns 1 when the target was known before and has
** moved to other pools. */
int pwcarry_update(pw_carry *c, const pw_res *r);

/* Takes in the load sums of pools from the parent's answer to a Hello. */
void pwcarry_sums(pw_carry *c, const Pw__Welcome *w);

/* Load sum of a pool that the target is in, or NULL. */
const pw_pool_sum *pwcarry_pool(const pw_carry *c, const char *name);

/* Whether the pool serves a version of the model. */
int pwcarry_is_of(const char *pool, const char *model);

/* Has the assignment applied; orders are sent until our time `until` at the
** latest. is_busy returns whether requests for a model are in progress. */
void pwcarry_act(pw_carry *c, int (*is_busy)(void *arg, const char *model),
                 void *arg, int64_t until);

/* Whether the state has changed since the last pwcarry_state. */
int pwcarry_has_news(pw_carry *c);

/* Fills in the target's state; pworder_state_clear frees it. */
void pwcarry_state(pw_carry *c, Pw__TargetState *out);

#endif
