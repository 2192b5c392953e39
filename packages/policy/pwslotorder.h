/* pwslotorder.h: which requests get the slots of a small plain service while
** these are short, and when a refused caller is to come back.
**
** Pure. Addresses this load: three or four targets of six slots, asked by 12 to
** 22 gateways for more than they can do. With one quota for all targets and loads
** that are 100 ms old, gateways fill the same target and then none, so slots are
** idle while requests are refused. Second attempts of requests that may be
** repeated take slots of requests that may not, attempts are sent that cannot end
** before their caller's deadline, and callers that come back are refused again. */
#ifndef PWSLOTORDER_H
#define PWSLOTORDER_H

#include <stdint.h>

/* Place of an attempt in the order in which slots are given within one urgency
** class, the first first. */
typedef enum pw_slotorder_rank {
  PWSLOTORDER_FIRST,         /* the first attempt of a request */
  PWSLOTORDER_RETURNED,      /* its caller was refused before and came back */
  PWSLOTORDER_SECOND_ATTEMPT /* a further attempt of a request that may have run */
} pw_slotorder_rank;

/* One attempt that asks for a slot. */
typedef struct pw_slotorder_attempt {
  pw_slotorder_rank rank;
  int may_repeat;      /* the request may run again */
  double time_left_ms; /* until the caller's deadline or the route's time-out */
  double work_ms; /* usual time from sending a request to its answer, with its
                  ** wait for a slot; 0: unknown */
} pw_slotorder_attempt;

/* Whether the attempt could end before the caller's deadline. */
int pwslotorder_can_end(const pw_slotorder_attempt *t);

/* Whether the attempt may ask for a slot. `admitted`: share of the recent first
** attempts of the service that got one, 0 to 1; `draw` is uniform in [0, 1). */
int pwslotorder_may_take(const pw_slotorder_attempt *t, double admitted,
                         double draw);

/* What a gateway knows of a service when it divides its slots. */
typedef struct pw_slotorder_quota {
  double mine, all; /* requests a second at this gateway and at all of them */
  int targets;
  double slots, used; /* at all targets; `used` as far as it is known */
  double work_ms;     /* mean of the targets, as in pw_slotorder_attempt */
  double wait_ms;     /* longest acceptable wait for a slot at a target */
  double reserved;    /* share reserved for more urgent requests */
  int is_returned;    /* its caller was refused before and came back */
} pw_slotorder_quota;

/* Whether no slot is free, as far as it is known. The order of attempts, their
** deadlines and the quota matter only then. */
int pwslotorder_is_short(const pw_slotorder_quota *q);

/* How many requests this gateway may have in flight at targets with `slots` whose
** requests take `work_ms`: its share, by demand, of the slots and of the queue
** that is worked off in q->wait_ms. The queue is shorter the more is
** asked that does not fit. */
double pwslotorder_limit(const pw_slotorder_quota *q, double slots,
                         double work_ms);

/* Whether this gateway may send one more request to target number `i`, where it
** has `own` in flight. Always so while slots are not short. A fraction of a slot is
** granted with that probability, by `draw`, uniform in [0, 1) and the same for all
** targets of a request. */
int pwslotorder_has_room(const pw_slotorder_quota *q, double own, double slots,
                         double work_ms, int i, double draw);

/* When a refused caller is to come back, ms from now: a time at which a slot is
** likely to be free for it, spread by `draw`, uniform in [0, 1), and not before
** `least_ms`, from which on it is known to have come back. At most a third of
** `time_left_ms`, because callers do not wait longer; 0: no such time is likely,
** and coming back would only end in another refusal. */
int64_t pwslotorder_return_ms(double admitted, double time_left_ms,
                              double least_ms, double draw);

#endif
