/* pwplanner.h: plans how the targets reach the state that operators declared
** for models, on the leader. It reads the resources and the reported states
** of the targets, asks pwplan and pwrollout for the next step, and writes
** the step as `rollout` and `assignment` resources.
**
** All decisions go through the replicated log: a leader that was cut off
** cannot commit, so none of its decisions reaches a target. What the planner
** keeps in memory besides (failures, counts of a rollout step) can only
** delay a step, and a new leader starts without it. */
#ifndef PWPLANNER_H
#define PWPLANNER_H

#include "pwres.h"
#include "pwtreereport.h"

typedef struct pw_planner pw_planner;

pw_planner *pwplanner_new(const pw_res *res, const pw_treereport *treereport);
void pwplanner_free(pw_planner *pl);

/* Drops all that is kept in memory, when this instance begins to lead. */
void pwplanner_start_leading(pw_planner *pl, int64_t now);

/* The next change to propose, or NULL; freed with the pb functions. The
** caller proposes it, and reports the result with pwplanner_done before it
** asks for another. */
Pw__Change *pwplanner_next(pw_planner *pl, uint64_t term, int64_t now);
void pwplanner_done(pw_planner *pl, pw_code code);

/* The progress of every managed model as JSON; new reference. A model is
** settled only when the resources written for it are in force everywhere,
** judged by `in_force`, a revision. */
json_t *pwplanner_json(pw_planner *pl, uint64_t in_force, int64_t now);

#endif
