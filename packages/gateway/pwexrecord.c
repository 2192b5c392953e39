/* pwexrecord.c: counts answers for or against the version of their target during a rollout. Failures of
** the target, and answers much slower than the baseline of their route, count against it. */
#include "pwexint.h"

#include "pwversions.h"

#define BASELINE_WEIGHT 0.05 /* weight of the newest time in the smoothed one */
#define CHUNKS_LEAST 3 /* a stream of fewer chunks has no measurable pace */

static void record(const pw_exchange *x, int is_bad) {
  if (x->t)
    pwversions_note(x->g->versions, x->t, x->route->name, is_bad);
}

void pwexi_record_bad(const pw_exchange *x) {
  record(x, 1);
}

/* Answer time, ms; of a stream its pace, ms per chunk. The first chunk of a stream does not count: it
** waits for the uncached part of the prompt, and targets of a new version have nothing cached at
** first. 0: unknown. */
static double pace_of(const pw_exchange *x, int64_t now) {
  if (!x->is_event_stream)
    return (double)pwexi_target_ms(x, now);
  int was_stalled = x->g->tcp.lag.lost_ms != x->sent_stalled_ms;
  if (x->nchunks < CHUNKS_LEAST || x->is_paused || was_stalled)
    return 0;
  return (double)(x->forwarded_at - x->first_forwarded_at) / (x->nchunks - 1);
}

static int is_late(const pw_exchange *x) {
  return x->is_event_stream && x->route->goal_ms > 0 &&
         pwexi_target_ms(x, x->first_forwarded_at) > x->route->goal_ms;
}

/* Whether the target was in its cold start when the request was sent: every version is slow then. */
static int is_cold(const pw_exchange *x) {
  return x->t->cold.until > x->sent_at;
}

void pwexi_record_good(const pw_exchange *x, int64_t now) {
  pw_gate_route *r = pwgate_route(x->g, x->route->name);
  double ms = pace_of(x, now);
  if (!r || !x->t)
    return;
  pwlongest_note(&r->longest, (double)pwexi_target_ms(x, now), now);
  record(x, !is_cold(x) && (is_late(x) || pwcanary_is_slow(ms, r->answer_ms)));
  if (ms <= 0 || x->t->side == PWFLEET_NEW_VERSION)
    return;
  r->answer_ms +=
      (r->answer_ms > 0 ? BASELINE_WEIGHT : 1) * (ms - r->answer_ms);
}
