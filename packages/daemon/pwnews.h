/* pwnews.h: what a process tells its parent of the targets and versions below.
**
** Targets' states are sent when they changed, counts of versions count up; both
** are sent again until the parent has answered a Hello that held them. A parent
** that is new, or a new leader, is told everything. */
#ifndef PWNEWS_H
#define PWNEWS_H

#include "pwfeed.h"
#include "pwsub.h"

typedef struct pw_news pw_news;

pw_news *pwnews_new(void);
void pwnews_free(pw_news *n);

/* A child's Hello arrived. */
void pwnews_hello(pw_news *n, const Pw__Envelope *e, int64_t now);

/* An agent is not heard any more. */
void pwnews_child_left(pw_news *n, const pw_child *c, int64_t now);

/* Attempts of this process's own that ended. */
void pwnews_count(pw_news *n, const char *pool, int failed);

/* Puts what the parent does not know into a Hello; freed by pwnews_clear after
** it was sent. */
void pwnews_fill(pw_news *n, Pw__Hello *h, int64_t told_at, int64_t now);
void pwnews_clear(Pw__Hello *h);

/* Sums of a pool's attempts, for the leader. */
void pwnews_sum(const pw_news *n, const char *pool, double *done,
                double *failed);

/* A target as the newest report has it, or NULL. Borrowed. */
const Pw__TargetState *pwnews_target(const pw_news *n, const char *target);

/* Counts up with every change of a target's state. */
uint64_t pwnews_changes(const pw_news *n);

#endif
