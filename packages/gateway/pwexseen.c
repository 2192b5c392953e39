/* pwexseen.c: what an answer says of the version of its target, while a service is rolled out:
** failures of its own, and answers that take much longer than is usual on their route. */
#include "pwexint.h"

#include "pwversions.h"

#define USUAL_SHARE 0.05 /* weight of the newest time */
#define PIECES_LEAST 3   /* fewer pieces of a stream say nothing of its pace */

static void note(const pw_exchange *x, int is_bad) {
  if (x->t)
    pwversions_note(x->g->versions, x->t, x->route->name, is_bad);
}

void pwexi_seen_bad(const pw_exchange *x) {
  note(x, 1);
}

/* Of a stream its pace, ms a piece: its first piece waits for what is not cached, and the
** new version's targets have nothing cached at first. 0: nothing can be said. */
static double pace_of(const pw_exchange *x, int64_t now) {
  if (!x->is_events)
    return (double)pwexi_at_target(x, now);
  int was_held_up = x->g->tcp.lag.lost_ms != x->sent_lost;
  if (x->pieces < PIECES_LEAST || x->is_paused || was_held_up)
    return 0;
  return (double)(x->passed_at - x->first_at) / (x->pieces - 1);
}

static int is_late(const pw_exchange *x) {
  return x->is_events && x->route->goal_ms > 0 &&
         pwexi_at_target(x, x->first_at) > x->route->goal_ms;
}

/* Every version is slow then. */
static int is_cold(const pw_exchange *x) {
  return x->t->cold.until > x->sent_at;
}

void pwexi_seen_good(const pw_exchange *x, int64_t now) {
  pw_gate_route *r = pwgate_route(x->g, x->route->name);
  double ms = pace_of(x, now);
  if (!r || !x->t)
    return;
  note(x, !is_cold(x) && (is_late(x) || pwcanary_is_slow(ms, r->usual_ms)));
  if (ms <= 0 || x->t->side == PWFLEET_TO)
    return;
  r->usual_ms += (r->usual_ms > 0 ? USUAL_SHARE : 1) * (ms - r->usual_ms);
}
