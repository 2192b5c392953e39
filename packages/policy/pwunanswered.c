/* pwunanswered.c: targets that leave requests unanswered though their heartbeats
** and health checks are good. */
#include "pwunanswered.h"

/* A request is overdue after this many times the usual time to the first byte.
** A target that takes 1.3 times as long, and 2.5 times as long in spells, is
** below 3.3 times; the rest is for waits in its queue under load. */
#define USUAL_TIMES 7

/* The same at a suspected target. With more, no time would be left for probes
** within short time-outs, and the target would be cleared wrongly. */
#define SUSPECTED_TIMES 5

/* Least time until a request is overdue, ms, and the time while the usual one is
** unknown. */
#define LEAST_MS 250
#define UNKNOWN_MS 600

/* Weight of the newest time to the first byte. At 20 answers a second the usual
** time follows a change of the load within half a second. */
#define FIRST_WEIGHT 0.1

/* An unanswered request counts for this time, ms. */
#define COUNTED_MS 3000

/* A gateway reports a count of at most GATEWAY_MAX. A target is suspected from a
** sum of SUSPECTED_LEAST on, until the sum is what a single gateway may report:
** a gateway whose own link is at fault neither starts nor prolongs the state. */
#define GATEWAY_MAX 2
#define SUSPECTED_LEAST 4

/* Counts reported by the other gateways are ignored after this time, ms. */
#define STALE_MS 1000

/* Interval of the probes of all gateways together, ms. A target that answers
** half of its requests leaves ten probes unanswered in COUNTED_MS; with fewer
** it would be cleared in between. */
#define PROBE_MS 150

int64_t pwunanswered_after_ms(double usual_ms, int is_suspected) {
  if (usual_ms <= 0)
    return UNKNOWN_MS;
  double ms = (is_suspected ? SUSPECTED_TIMES : USUAL_TIMES) * usual_ms;
  return ms > LEAST_MS ? (int64_t)ms : LEAST_MS;
}

double pwunanswered_usual_ms(double usual_ms, double ms) {
  return usual_ms > 0 ? usual_ms + FIRST_WEIGHT * (ms - usual_ms) : ms;
}

void pwunanswered_note(pw_unanswered *u, int64_t now) {
  int oldest = 0;
  for (int i = 1; i < PWUNANSWERED_KEPT; i++)
    if (u->at[i] < u->at[oldest])
      oldest = i;
  u->at[oldest] = now;
}

void pwunanswered_retract(pw_unanswered *u, int64_t noted_at) {
  for (int i = 0; i < PWUNANSWERED_KEPT; i++) {
    if (u->at[i] != noted_at)
      continue;
    u->at[i] = 0;
    return;
  }
}

uint32_t pwunanswered_report(const pw_unanswered *u, int64_t now) {
  uint32_t n = 0;
  for (int i = 0; i < PWUNANSWERED_KEPT; i++)
    n += u->at[i] && now - u->at[i] < COUNTED_MS;
  return n < GATEWAY_MAX ? n : GATEWAY_MAX;
}

void pwunanswered_receive(pw_unanswered *u, uint32_t others, int64_t at) {
  u->others = others;
  u->others_at = at;
}

/* Lets the first probes of all gateways, which begin to suspect the target at
** the same time, be spread over an interval. When all probed at once, the counts
** of these probes were outdated before the next ones. */
static void spread_probes(pw_unanswered *u, double draw, int64_t now) {
  u->probed_at = now;
  u->probe_after = draw;
}

pw_unanswered_change pwunanswered_update(pw_unanswered *u, double draw,
                                         int64_t now) {
  uint32_t others = now - u->others_at <= STALE_MS ? u->others : 0;
  uint32_t sum = pwunanswered_report(u, now) + others;
  int was_suspected = u->is_suspected;
  u->is_suspected =
      sum >= SUSPECTED_LEAST || (was_suspected && sum > GATEWAY_MAX);
  if (u->is_suspected == was_suspected)
    return PWUNANSWERED_UNCHANGED;
  if (was_suspected)
    return PWUNANSWERED_CLEARED;
  spread_probes(u, draw, now);
  return PWUNANSWERED_SUSPECTED;
}

int pwunanswered_may_probe(const pw_unanswered *u, double part, int64_t now) {
  return (double)(now - u->probed_at) * part >= PROBE_MS * u->probe_after;
}

void pwunanswered_sent(pw_unanswered *u, int64_t now) {
  if (!u->is_suspected)
    return;
  u->probed_at = now;
  u->probe_after = 1;
}
