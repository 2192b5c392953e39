/* pwcarry.h: what an agent's target is to carry: its resource, its assignment,
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
  pw_pool_sum sum; /* as the parent last told it */
} pw_carry_pool;

typedef struct pw_carry {
  pw_proc *p;
  pw_order *order;
  pw_assignment assignment;
  pw_carry_pool pool[PWCARRY_POOLS];
  int npools;
  int known; /* the target's resource exists */
  int drain;
  uint64_t told; /* pworder_changes when the state was last told */
} pw_carry;

void pwcarry_init(pw_carry *c, pw_proc *p);

/* -1 when a thread still waits for the target. */
int pwcarry_end(pw_carry *c);

/* The resources changed. Gives 1 when the target is in other pools than before,
** and was known before. */
int pwcarry_update(pw_carry *c, const pw_res *r);

/* The parent told the sums of pools, in answer to a Hello. */
void pwcarry_sums(pw_carry *c, const Pw__Welcome *w);

/* Sum of a pool that the target is in, or NULL. */
const pw_pool_sum *pwcarry_pool(const pw_carry *c, const char *name);

/* Whether a pool is one of a model. */
int pwcarry_is_of(const char *pool, const char *model);

/* Has the assignment carried out, until our time `until` at the latest.
** is_busy tells whether requests for a model are in progress. */
void pwcarry_act(pw_carry *c, int (*is_busy)(void *arg, const char *model),
                 void *arg, int64_t until);

/* Whether the target's state has changed since it was last taken. */
int pwcarry_has_news(pw_carry *c);

/* Takes the target's state; freed with pworder_state_clear. */
void pwcarry_state(pw_carry *c, Pw__TargetState *out);

#endif
