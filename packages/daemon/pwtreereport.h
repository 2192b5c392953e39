/* pwtreereport.h: the report of a process to its parent in the distribution
** tree.
**
** It has the states of targets below the process, sent when they change, and
** counts of attempts for each version of a model, which only rise. Both are
** sent again until the parent has answered a Hello that contained them. A
** new parent or leader gets everything. */
#ifndef PWTREEREPORT_H
#define PWTREEREPORT_H

#include "pwfeed.h"
#include "pwsub.h"

typedef struct pw_treereport pw_treereport;

pw_treereport *pwtreereport_new(void);
void pwtreereport_free(pw_treereport *t);

/* Takes states and counts from a child's Hello. */
void pwtreereport_hello(pw_treereport *t, const Pw__Envelope *e, int64_t now);

/* A child was dropped: if it is an agent, its target is reported as gone. */
void pwtreereport_child_left(pw_treereport *t, const pw_child *c, int64_t now);

/* Counts an attempt of this process that ended. */
void pwtreereport_count(pw_treereport *t, const char *pool, int failed);

/* Adds to a Hello what changed since `confirmed_at`, the time of the newest
** Hello that the parent answered (pwsub_confirmed_at). After the Hello was
** sent, pwtreereport_clear frees what was added. */
void pwtreereport_fill(pw_treereport *t, Pw__Hello *h, int64_t confirmed_at,
                       int64_t now);
void pwtreereport_clear(Pw__Hello *h);

/* Returns the sums of a pool's attempts, done and failed, for the leader. */
void pwtreereport_sum(const pw_treereport *t, const char *pool, double *done,
                      double *failed);

/* The newest state of a target, or NULL. It belongs to the report. */
const Pw__TargetState *pwtreereport_target(const pw_treereport *t,
                                           const char *target);

/* A number that rises with each change of a target's state. */
uint64_t pwtreereport_changes(const pw_treereport *t);

#endif
