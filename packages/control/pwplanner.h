/* pwplanner.h: makes what operators declare about models true: the leader's
** part. Reads the resources and the targets' states, asks pwplan and pwrollout
** what to do next, and writes that as `rollout` and `assignment` resources.
**
** All it decides goes through the replicated log: a leader that was cut off
** cannot commit, so none of its decisions reaches a target. What it remembers
** besides (failures, counts of a step) only delays: a new leader starts with
** none of it. */
#ifndef PWPLANNER_H
#define PWPLANNER_H

#include "pwnews.h"
#include "pwres.h"

typedef struct pw_planner pw_planner;

pw_planner *pwplanner_new(const pw_res *res, const pw_news *news);
void pwplanner_free(pw_planner *pl);

/* Forgets what was remembered; the process begins to lead. */
void pwplanner_lead(pw_planner *pl, int64_t now);

/* The next change to propose, or NULL; freed with the pb functions. The caller
** proposes it and tells what became of it with pwplanner_done before it asks
** again. */
Pw__Change *pwplanner_next(pw_planner *pl, uint64_t term, int64_t now);
void pwplanner_done(pw_planner *pl, pw_code code);

/* Progress of each model that is managed; new reference. One is settled only when what was written
** of it is in force everywhere: as of `in_force`, a revision. */
json_t *pwplanner_json(pw_planner *pl, uint64_t in_force, int64_t now);

#endif
