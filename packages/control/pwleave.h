/* pwleave.h: targets that say that they leave, and wait for their answer.
**
** What was answered must not end with the process that answered: another control instance
** has it first. A member of the group answers without, too, when none says so in time, since
** gateways hear of it from the member itself. */
#ifndef PWLEAVE_H
#define PWLEAVE_H

#include "pwapi.h"
#include "pwwatch.h"

typedef struct pw_leave pw_leave;

pw_leave *pwleave_new(pw_watch *w, pw_counters *counters);

/* Fails those that wait. */
void pwleave_free(pw_leave *l);
void pwleave_end(pw_leave *l);

/* A call to be answered when another instance has all up to this number; 0: now. */
void pwleave_add(pw_leave *l, pw_api_call *call, uint64_t number, int64_t now);

/* Answers those that can be by now; `is_member`: of the group. */
void pwleave_work(pw_leave *l, int is_member, int64_t now);

#endif
