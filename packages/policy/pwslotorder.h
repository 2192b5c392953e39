/* pwslotorder.h: which requests get the slots of a small plain service while
** these are short, and when a refused caller is to come back.
**
** Pure: time comes in as an argument. Answers this load: three or four targets
** of six slots, asked by 12 to 22 gateways for more than they can do. Second
** tries of requests that may be repeated took slots of requests that may not,
** tries were sent that could not end before their caller's deadline, and callers
** were told to come back at a time at which they were refused again. */
#ifndef PWSLOTORDER_H
#define PWSLOTORDER_H

#include <stdint.h>

/* Place of a try in the order in which slots are given within one urgency
** class, the first first. */
typedef enum pw_slotorder_rank {
  PWSLOTORDER_FIRST,     /* the first try of a request */
  PWSLOTORDER_RETURNED,  /* its caller was refused before and came back */
  PWSLOTORDER_SECOND_TRY /* a further try of a request that may be repeated */
} pw_slotorder_rank;

/* One try of a request that asks for a slot. */
typedef struct pw_slotorder_try {
  pw_slotorder_rank rank;
  int may_repeat;      /* the request may run again */
  double time_left_ms; /* until the caller's deadline or the route's time-out */
  double work_ms;      /* usual duration of a request at the targets */
  double wait_ms;      /* expected wait for a slot at the target */
} pw_slotorder_try;

/* Whether the try could end before the caller's deadline. */
int pwslotorder_can_end(const pw_slotorder_try *t);

/* Whether the try may take a slot. `admitted`: share of the recent first tries
** of the service that got one, 0 to 1; `draw` is uniform in [0, 1). */
int pwslotorder_may_take(const pw_slotorder_try *t, double admitted,
                         double draw);

/* When a refused caller is to come back, ms from now: a time at which a slot is
** likely to be free for it, spread by `draw`, uniform in [0, 1). At most a third
** of `time_left_ms`, because callers do not wait longer; 0: no such time is
** likely, and coming back would only end in another refusal. */
typedef struct pw_slotorder_demand {
  double asked;     /* requests a second that ask for the service */
  double served;    /* requests a second that its targets can do */
  double returning; /* callers that were told to come back and have not yet */
} pw_slotorder_demand;
int64_t pwslotorder_return_ms(const pw_slotorder_demand *d, double time_left_ms,
                              double least_ms, double draw);

#endif
