/* pwexfail.c: failed attempts: retries a request at another target where that is allowed
** and possible, else ends it at once. */
#include "pwexint.h"

#include <stdio.h>

/* Most retries after targets proved that they did not run the request. */
#define HOPS_MAX 4

/* Most retries after connections that could not be made. */
#define CONNECT_FAILURES_MAX 6

/* A request is overdue no earlier than this after it was sent, ms: a shorter time is common for a
** request that waits in its target's queue. */
#define OVERDUE_MS 600

/* A request is overdue after this many times the baseline answer time of its route. */
#define BASELINE_TIMES 2

/* Takes a retry from the budget of the service. Returns whether there was one. */
static int spend_retry(pw_exchange *x, int64_t now) {
  pw_retries *b = &x->service_state->retries;
  int gateways = pwlink_budget_count(x->g->link, now);
  int is_spent = pwretries_spend(b, gateways, now);
  pw_retries_state state = pwretries_state(b, gateways, now);
  pwcount_add(x->g->p->counters, is_spent ? PWC_RETRIES : PWC_RETRY_DENIED, 1);
  /* Routine lines, so that they do not displace the line that tells how the attempt failed. */
  pwexi_log(x, PWTRACE_ROUTINE, is_spent ? "retry-spent" : "retry-denied",
            "service=%s left=%.1f most=%.1f gateways=%d", x->service->name,
            state.left, state.most, gateways);
  return is_spent;
}

void pwexi_retry(pw_exchange *x, const char *why, int may_have_run) {
  pwexi_log(x, PWTRACE_FAIL, x->has_begun ? "resumed" : "retried",
            "target=%s why=\"%s\" ran=%d last=%.*s", x->t ? x->t->id : "-", why,
            may_have_run, (int)x->nlast_event, x->last_event);
  pwexi_release(x);
  pwexi_dispatch(x);
}

/* Whether an answer that has begun can go on elsewhere without losing or repeating an event. */
static int can_continue(const pw_exchange *x) {
  return !x->has_begun || x->is_after_id;
}

int pwexi_may_repeat(pw_exchange *x, int64_t now) {
  return x->route->kind == PWSITE_SAFE && can_continue(x) &&
         x->runs < x->route->attempts && spend_retry(x, now);
}

void pwexi_fail_unknown(pw_exchange *x, const char *why) {
  int64_t now = pwclock_ms();
  if (pwexi_may_repeat(x, now))
    pwexi_retry(x, why, 1);
  else
    pwexi_fail(x, PW_E_UNKNOWN, why, 0);
}

/* Whether the target that rejected the request had a free slot, by the load in its answer or else by the
** load known here. */
static int had_free_slot(const pw_exchange *x) {
  const pw_answer_info *info = &x->answer_info;
  if (info->has_load)
    return pwreject_had_room(info->running + info->waiting, info->slots);
  return pwreject_had_room(x->t->inflight - 1 + x->t->others, x->t->slots);
}

static void record_rejection(pw_exchange *x, int64_t now) {
  int room = had_free_slot(x);
  pwexi_log(
      x, PWTRACE_FAIL, "turned-away",
      "target=%s status=%d hold_off_ms=%lld leaving=%d load=%d+%d room=%d",
      x->t->id, x->status, (long long)x->answer_info.hold_off_ms,
      x->answer_info.is_leaving, x->t->inflight, x->t->others, room);
  if (x->status == HTTP_STATUS_MISDIRECTED_REQUEST)
    pwfleet_mark_gone(x->t, now);
  else
    pwfleet_rejected(x->t, room, now);
}

void pwexi_handle_not_run(pw_exchange *x) {
  int64_t now = pwclock_ms();
  record_rejection(x, now);
  x->runs--;
  x->may_have_run = x->runs > 0;
  pwbuf_free(&x->headers);
  pwbuf_free(&x->buffered);
  if (x->hops++ < HOPS_MAX && pwexi_time_left(x) > 0 && spend_retry(x, now))
    pwexi_retry(x, "the target did not run it", 0);
  else
    pwexi_fail(x, PW_E_BUSY,
               "the target rejected the request, and no retry was allowed",
               PWEX_RETRY_NO_TARGET_MS);
}

/* Handles a connection that could not be made. Nothing was sent, so another target is tried, unless
** earlier attempts that may have run have used up the attempts that the route allows. */
static void handle_unreached(pw_exchange *x, int64_t now) {
  pwfleet_connect_failed(x->t, now);
  if (x->runs < x->route->attempts &&
      x->connect_failures++ < CONNECT_FAILURES_MAX)
    pwexi_retry(x, "no connection to the target", 0);
  else
    pwexi_fail(x, PW_E_CONNECT,
               "no connection could be made to any target tried",
               PWEX_RETRY_NO_TARGET_MS);
}

void pwexi_on_failed(void *exchange, pw_tcp_end how, int unused) {
  pw_exchange *x = exchange;
  int64_t now = pwclock_ms();
  x->u = NULL;
  if (!x->is_sent) {
    handle_unreached(x, now);
    return;
  }
  pwexi_note_crashed(x, now);
  if (pwexi_end_quarantined(x, now))
    return;
  if (!unused)
    pwfleet_failed(x->t, now);
  /* The target closed the connection while it was idle: the request is sent again to the same
  ** target over a new one, if it may run twice. */
  if (unused && !x->has_begun && !x->needs_new_conn &&
      pwfleet_may_send(x->t, now) && x->route->kind == PWSITE_SAFE &&
      spend_retry(x, now)) {
    x->needs_new_conn = 1;
    if (pwexi_send(x) == 0)
      return;
  }
  pwexi_fail_unknown(x, how == PWTCP_EOF ? "the target closed" : "reset");
}

/* Whether the target has had the request for longer than a healthy one needs. Streams produce events
** all the time; other answers are compared with the baseline of their route. */
static int is_overdue(const pw_exchange *x, int64_t now) {
  const pw_gate_route *r = pwgate_route(x->g, x->route->name);
  double baseline_ms =
      r && !x->route->is_stream ? BASELINE_TIMES * r->answer_ms : 0;
  return (double)pwexi_target_ms(x, now) >=
         (baseline_ms > OVERDUE_MS ? baseline_ms : OVERDUE_MS);
}

static int may_retry_elsewhere(const pw_exchange *x, int64_t now) {
  return x->route->kind == PWSITE_SAFE && pwexi_time_left(x) > 0 &&
         pwfleet_has_other(x->g->fleet, x->service->name, x->side, x->version,
                           x->tried, x->ntried, now);
}

/* --- targets that leave requests unanswered --- */

/* How long a target may leave the request without a byte before it counts as unanswered. */
static int64_t unanswered_after_ms(const pw_exchange *x, int is_suspected) {
  const pw_gate_route *r = pwgate_route(x->g, x->route->name);
  return pwunanswered_after_ms(r ? r->first_ms : 0, is_suspected);
}

int pwexi_may_probe(const pw_exchange *x) {
  return x->route->kind == PWSITE_SAFE && x->runs + 1 < x->route->attempts &&
         3 * pwexi_time_left(x) > 4 * unanswered_after_ms(x, 1);
}

void pwexi_note_first_byte(pw_exchange *x, int64_t now) {
  pw_gate_route *r = pwgate_route(x->g, x->route->name);
  if (x->unanswered_at)
    pwunanswered_retract(&x->t->unanswered, x->unanswered_at);
  x->unanswered_at = 0;
  if (r && x->status / 100 == 2) /* rejections are faster */
    r->first_ms =
        pwunanswered_usual_ms(r->first_ms, (double)pwexi_target_ms(x, now));
}

/* Records once that the request is unanswered. Streams and requests to engines are not recorded: their time
** to the first byte depends on the length of the prompt and on what waits for prefill. */
static void note_if_unanswered(pw_exchange *x, int64_t now) {
  if (x->unanswered_at || !x->u || !x->is_sent || x->service->is_engine ||
      x->route->is_stream ||
      pwexi_target_ms(x, now) <
          unanswered_after_ms(x, x->t->unanswered.is_suspected) ||
      pwupconn_has_received(x->u))
    return;
  x->unanswered_at = now;
  pwunanswered_note(&x->t->unanswered, now);
  pwcount_add(x->g->p->counters, PWC_GW_UNANSWERED, 1);
}

void pwexchange_check_targets(pw_gate *g, int64_t now) {
  static const char *const names[] = {
      [PWUNANSWERED_SUSPECTED] = "target-unanswering",
      [PWUNANSWERED_CLEARED] = "target-answering"};
  int suspected = 0;
  for (pw_target *t = pwfleet_first(g->fleet); t; t = t->hh.next) {
    pw_unanswered_change change =
        pwunanswered_update(&t->unanswered, pwgate_random(g), now);
    if (change != PWUNANSWERED_UNCHANGED)
      pwtrace_line(g->trace, PWTRACE_STATE, now, names[change],
                   "target=%s own=%u others=%u", t->id,
                   pwunanswered_report(&t->unanswered, now),
                   t->unanswered.others);
    suspected += t->unanswered.is_suspected;
  }
  pwcount_set(g->p->counters, PWC_GW_SUSPECTED, suspected);
}

/* --- checks of pending requests --- */

/* Whether a request waits for a target that probably does not answer it. */
static int waits_in_vain(const pw_exchange *x, int64_t now) {
  if (x->unanswered_at && x->t->unanswered.is_suspected)
    return 1;
  return pwfleet_is_unresponsive(x->t, now) && is_overdue(x, now);
}

/* Retries a request elsewhere while there is time if its target is unresponsive, or suspected of leaving
** requests unanswered. One that may not be retried waits for its time-out. */
static void retry_if_unresponsive(pw_exchange *x, int64_t now) {
  if (!x->u || !x->is_sent || x->is_paused || !waits_in_vain(x, now) ||
      !may_retry_elsewhere(x, now) || !pwexi_may_repeat(x, now))
    return;
  if (pwfleet_is_unresponsive(x->t, now))
    pwfleet_connect_failed(x->t, now);
  pwexi_note_unresponsive(x, now);
  pw_upconn *u = x->u;
  x->u = NULL;
  pwupconn_cancel(u);
  pwexi_retry(x, "the target became unresponsive", 1);
}

/* Ends a request that was sent before its quarantine began, unless the target has begun to answer it: each one
** crashes one more target. */
static int end_unbegun_quarantined(pw_exchange *x, int64_t now) {
  return x->u && x->is_sent && !x->has_chunk && pwexi_end_quarantined(x, now);
}

void pwexchange_check(pw_gate *g, int64_t now) {
  for (pw_conn *c = g->callers.first, *next; c; c = next) {
    next = c->next;
    if (!c->state || pwexi_end_late(c->state, now) ||
        pwexi_end_confirmation(c->state, now) ||
        end_unbegun_quarantined(c->state, now))
      continue;
    pwexi_reannounce(c->state, now);
    note_if_unanswered(c->state, now);
    retry_if_unresponsive(c->state, now);
  }
}
