/* pwleave.h: acknowledges targets that report that they leave.
**
** An acknowledged report must not be lost with the process that acknowledged
** it, so another control instance must confirm it first. If none does in
** time, a member of the group acknowledges all the same, since gateways
** receive the report from the member itself. */
#ifndef PWLEAVE_H
#define PWLEAVE_H

#include "pwapi.h"
#include "pwwatch.h"

typedef struct pw_leave pw_leave;

pw_leave *pwleave_new(pw_watch *w, pw_counters *counters);

/* pwleave_end fails the calls that wait; pwleave_free also frees all. */
void pwleave_free(pw_leave *l);
void pwleave_end(pw_leave *l);

/* Takes a call that is acknowledged once another instance has confirmed all
** updates up to `seq`; 0: at once. */
void pwleave_add(pw_leave *l, pw_api_call *call, uint64_t seq, int64_t now);

/* Answers the calls that were confirmed. */
void pwleave_answer(pw_leave *l);

/* Answers the calls that waited too long; `is_member`: this instance is a
** member of the group. To be called after pwleave_answer, and not while input
** that arrived in a stall is unread: the confirmation may be there. */
void pwleave_expire(pw_leave *l, int is_member, int64_t now);

/* This process was stalled for `ms`: that is no silence of the others. */
void pwleave_discount_stall(pw_leave *l, int64_t ms);

#endif
