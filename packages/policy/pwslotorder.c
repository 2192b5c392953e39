/* pwslotorder.c: order of requests for the slots of a small plain service. */
#include "pwslotorder.h"

#include <math.h>

/* When this share of the first tries gets no slot, no second try gets one. The
** number of requests that fail in the end stays the same, but more are answered
** within their time goal. */
#define FIRST_MISSED_MAX 0.1

/* Callers are told to come back while at least TELL_ADMITTED of the first tries
** get a slot, and may ask for one then until less than HONOUR_ADMITTED do, since
** the share falls while they wait. With 0.9 for both, 16 and 28 of 100 that came
** back at loads of 0.8 and 0.9 to 12 gateways were refused again, with 0.8 for
** the second 1 and 2 of 100. With 0.7 more answers are late where callers come back
** untold: 20 instead of 12 of 100 at a load of 1. */
#define TELL_ADMITTED 0.9
#define HONOUR_ADMITTED 0.8

/* Requests above its quota that a gateway may have at a target for callers that
** came back when they were told to. */
#define RETURNED_EXTRA 1.0

/* Weight of the reserve for more urgent requests, as in pwshare.c. */
#define RESERVE_TIMES 3

/* Fraction of 1 by which the draw differs between one target and the next. With
** the same draw for all, a gateway with a quota of 0.6 at each of four targets
** refuses four in ten requests while it has none in flight: 22 gateways refused
** 0.082 instead of 0.016 of the callers at a load of 0.8. */
#define DRAW_STEP 0.618

/* A caller is told to come back within at most 1 / RETURN_PART of its time, not
** before RETURN_LEAST_MS, and within the first RETURN_SPREAD of the time between
** the two: later answers miss their goal more often. */
#define RETURN_PART 3
#define RETURN_LEAST_MS 100.0
#define RETURN_SPREAD 0.3

/* A gateway that gets a request now and then may send LEAST_TIMES the part of
** them that fits. Its share, a small fraction of a slot, would let nearly none
** through. With 1 and 1.5, 103 gateways of very uneven size at four targets
** answer 0.938 and 0.967 of the requests in time at a load of 0.8. With 2 small
** gateways send all at twice what fits. */
#define LEAST_TIMES 1.5

#define MS_PER_S 1000.0

int pwslotorder_can_end(const pw_slotorder_try *t) {
  return t->work_ms <= t->time_left_ms;
}

int pwslotorder_may_take(const pw_slotorder_try *t, double admitted,
                         double draw) {
  if (t->rank == PWSLOTORDER_RETURNED)
    return admitted >= HONOUR_ADMITTED;
  if (t->rank == PWSLOTORDER_SECOND_TRY && t->may_repeat)
    return 1 - admitted <= draw * FIRST_MISSED_MAX;
  return 1;
}

int pwslotorder_is_short(const pw_slotorder_quota *q) {
  return q->used >= q->slots;
}

/* The part of what is asked that the targets can do, at most 1. */
static double fitting_part(const pw_slotorder_quota *q) {
  double busy = q->used > q->slots ? q->used : q->slots;
  double asked = q->all * q->work_ms / MS_PER_S;
  return busy < asked ? busy / asked : 1;
}

/* The more is asked, the shorter are the gaps between requests that a queue at the
** target must bridge. With the whole wait at any load, 6 instead of 3 of 100
** answers were late at 12 gateways and a load of 3, and no more were in time. */
double pwslotorder_limit(const pw_slotorder_quota *q, double slots,
                         double work_ms) {
  double share = q->all > q->mine ? q->mine / q->all : 1;
  double waiting = work_ms > 0 ? fitting_part(q) * q->wait_ms / work_ms : 0;
  return share * slots * (1 + waiting) * (1 - RESERVE_TIMES * q->reserved);
}

int pwslotorder_has_room(const pw_slotorder_quota *q, double own, double slots,
                         double work_ms, int i, double draw) {
  if (!pwslotorder_is_short(q))
    return 1;
  double limit = pwslotorder_limit(q, slots, work_ms);
  double least =
      q->targets > 0 ? LEAST_TIMES * fitting_part(q) / q->targets : 1;
  least *= 1 - RESERVE_TIMES * q->reserved;
  limit = limit > least ? limit : least;
  limit += q->is_returned ? RETURNED_EXTRA : 0;
  return own + fmod(draw + i * DRAW_STEP, 1) <= limit;
}

int64_t pwslotorder_return_ms(double admitted, double time_left_ms,
                              double least_ms, double draw) {
  double most = time_left_ms / RETURN_PART;
  if (admitted < TELL_ADMITTED || most < RETURN_LEAST_MS)
    return 0;
  double least = least_ms > RETURN_LEAST_MS ? least_ms : RETURN_LEAST_MS;
  if (least > most)
    return (int64_t)most;
  return (int64_t)(least + draw * RETURN_SPREAD * (most - least));
}
