/* pwversions.h: rollouts of services to another version: receives their state from control and counts
** the answers by which control decides on them. */
#ifndef PWVERSIONS_H
#define PWVERSIONS_H

#include "pwgate.h"

#include "peatwell.pb-c.h"

typedef struct pw_versions pw_versions;

pw_versions *pwversions_new(pw_gate *g);
void pwversions_free(pw_versions *v);

/* Applies the rollouts in a notice of a control instance; an outdated notice changes nothing. */
void pwversions_take(pw_versions *v, const Pw__Notice *n, int64_t now);

/* Whether a rollout is running, so that control waits for answer counts. */
int pwversions_is_running(const pw_versions *v);

/* Counts an answer of a target. `is_bad`: it was a failure of the target, or too
** slow. */
void pwversions_note(pw_versions *v, const pw_target *t, const char *route,
                     int is_bad);

/* Puts the answer counts of all running rollouts into a message; freed with pwversions_clear. */
void pwversions_fill(const pw_versions *v, Pw__Watch *m);
void pwversions_clear(Pw__Watch *m);

#endif
