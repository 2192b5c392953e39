/* pwslotorder.c: order of requests for the slots of a small plain service. */
#include "pwslotorder.h"

#include <math.h>

/* When this share of the first attempts gets no slot, no second attempt gets one.
** The number of requests that fail in the end stays the same, but more are
** answered within their time goal. */
#define FIRST_MISSED_MAX 0.1

/* Callers are told to come back while at least ADVISE_RETURN_LEAST of the first
** attempts get a slot, and may ask for one until fewer than ACCEPT_RETURN_LEAST
** do, since the share falls while they wait. */
#define ADVISE_RETURN_LEAST 0.9
#define ACCEPT_RETURN_LEAST 0.8

/* Requests above its quota that a gateway may have at a target for callers that
** came back when they were told to. */
#define RETURNED_EXTRA 1.0

/* Weight of the reserve for more urgent requests, as in pwshare.c. */
#define RESERVE_TIMES 3

/* Fraction of 1 by which the draw differs between one target and the next. With
** the same draw for all, a gateway whose quota is a fraction of a slot at each
** target would refuse requests while it has none in flight. */
#define DRAW_STEP 0.618

/* A caller is told to come back within at most 1 / RETURN_PART of its time, not
** before RETURN_LEAST_MS, and within the first RETURN_SPREAD of the time between
** the two: later answers miss their goal more often. */
#define RETURN_PART 3
#define RETURN_LEAST_MS 100.0
#define RETURN_SPREAD 0.3

/* A gateway that gets a request now and then may send LEAST_TIMES the part of
** them that fits: its share, a small fraction of a slot, would let nearly none
** through. */
#define LEAST_TIMES 1.5

#define MS_PER_S 1000.0

int pwslotorder_can_end(const pw_slotorder_attempt *t) {
  return t->work_ms <= t->time_left_ms;
}

int pwslotorder_may_take(const pw_slotorder_attempt *t, double admitted,
                         double draw) {
  if (t->rank == PWSLOTORDER_RETURNED)
    return admitted >= ACCEPT_RETURN_LEAST;
  if (t->rank == PWSLOTORDER_SECOND_ATTEMPT && t->may_repeat)
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
** target must bridge, and the more answers would be late behind the whole queue. */
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
  if (admitted < ADVISE_RETURN_LEAST || most < RETURN_LEAST_MS)
    return 0;
  double least = least_ms > RETURN_LEAST_MS ? least_ms : RETURN_LEAST_MS;
  if (least > most)
    return (int64_t)most;
  return (int64_t)(least + draw * RETURN_SPREAD * (most - least));
}
