/* pwexchange.c: an exchange from the caller's request to the end of its answer. */
#include "pwexint.h"

#include <utlist.h>

/* A request's timer is rarely more than this late, ms, unless the instance was suspended: the loop's
** timers do not count that time. */
#define LATE_TIMER_MS 100

/* Time for which bytes that have already arrived are still read after a request's time is over, ms. */
#define READ_PENDING_MS 200

/* Random addition to a retry delay, ms, so that callers do not all retry at once. */
#define RETRY_SPREAD_MS 300

/* Time after its start by which a gateway has its configuration, ms: control elects a
** leader in one to one and a half leases of 500 ms. */
#define CONFIG_EXPECTED_MS 1000

/* Requests that arrive before a configuration wait for at most their caller's deadline divided
** by AWAIT_DIVISOR, so that the caller has time to retry. AWAITING_MAX and AWAITING_MAX_BYTES limit
** the number of waiting requests and the bytes of their bodies. */
#define AWAIT_DIVISOR 3
#define AWAITING_MAX 2000
#define AWAITING_MAX_BYTES (16UL * 1024 * 1024)

/* --- the end of an exchange --- */

void pwexi_release(pw_exchange *x) {
  if (!x->t)
    return;
  pwexi_end_prefill(x);
  x->t->inflight--;
  pwfleet_release(x->t);
  x->t = NULL;
  x->u = NULL;
}

static void leave_waiting_list(pw_exchange *x) {
  pw_gate *g = x->g;
  if (!x->is_awaiting)
    return;
  x->is_awaiting = 0;
  DL_DELETE(g->awaiting, x);
  g->nawaiting--;
  g->awaiting_bytes -= x->caller->body.len;
}

static void free_exchange(pw_exchange *x) {
  pw_gate *g = x->g;
  leave_waiting_list(x);
  pwexi_leave_prefix_queue(x);
  pwexi_leave_origin_queue(x);
  pwexi_cancel_confirmation(x);
  if (x->u) {
    pw_upconn *u = x->u;
    x->u = NULL;
    pwupconn_cancel(u);
  }
  pwexi_release(x);
  ev_timer_stop(g->ev, &x->timer);
  for (int i = 0; i < x->ntried; i++)
    pwfleet_release(x->tried[i]);
  g->nexchanges--;
  pwsite_release(x->site);
  pwbuf_free(&x->headers);
  pwbuf_free(&x->buffered);
  pwgate_free_later(g, x);
}

/* Detaches the exchange from its caller's connection, to which the answer is written next. */
static pw_conn *detach_caller(pw_exchange *x) {
  pw_conn *c = x->caller;
  c->state = NULL;
  return c;
}

void pwexi_refuse(pw_exchange *x, pw_code code, const char *why,
                  int64_t retry_ms) {
  pw_conn *c = detach_caller(x);
  pwexi_log(x, PWTRACE_FAIL, "refused",
            "target=%s code=%d name=%s why=\"%s\" retry_ms=%lld",
            x->t ? x->t->id : "-", (int)code, pwcode_name(code), why,
            (long long)retry_ms);
  free_exchange(x);
  pwconn_refuse(c, code, why, retry_ms);
}

/* How the end of the target's answer was told: by the end of its connection, or by a length or chunks. */
static const char *framing_name(const pw_exchange *x) {
  return x->ends_with_connection ? "connection" : "message";
}

static void answer(pw_exchange *x) {
  pw_conn *c = detach_caller(x);
  int64_t age = pwclock_ms() - x->arrived;
  pwexi_log(x, PWTRACE_ROUTINE, "answered", "status=%d bytes=%zu framing=%s",
            x->status, x->buffered.len, framing_name(x));
  pwexi_observe(x, PWSTAGE_FIRST, age);
  pwexi_observe(x, PWSTAGE_WHOLE, age);
  pw_buf headers = x->headers;
  pw_buf body = x->buffered;
  x->headers = x->buffered = (pw_buf){0};
  int status = x->status;
  free_exchange(x);
  pwconn_answer(c, status, headers.data ? headers.data : "", body.data,
                body.len);
  pwbuf_free(&headers);
  pwbuf_free(&body);
}

void pwexi_abort(pw_exchange *x, const char *why) {
  pw_conn *c = detach_caller(x);
  pwexi_log(x, PWTRACE_FAIL, "broken-off", "target=%s why=\"%s\" last=%.*s",
            x->t ? x->t->id : "-", why, (int)x->nlast_event, x->last_event);
  pwcount_add(x->g->p->counters, PWC_GW_BROKEN, 1);
  free_exchange(x);
  pwconn_abort(c);
}

void pwexi_fail(pw_exchange *x, pw_code code, const char *why,
                int64_t retry_ms) {
  if (x->has_begun)
    pwexi_abort(x, why);
  else if (x->may_have_run)
    pwexi_refuse(x, PW_E_UNKNOWN, why, 0);
  else
    pwexi_refuse(x, code, why, retry_ms);
}

void pwexchange_abandon(void *exchange) {
  pw_exchange *x = exchange;
  pwexi_log(x, PWTRACE_FAIL, "caller-gone", "target=%s sent=%d",
            x->t ? x->t->id : "-", x->is_sent);
  pwcount_add(x->g->p->counters, PWC_GW_GONE, 1);
  free_exchange(x);
}

void pwexchange_stop(pw_exchange *x) {
  pwexi_fail(x, PW_E_STOPPING, "the grace period of the planned stop ended",
             PWGATE_RETRY_STOPPING_MS);
}

/* --- time --- */

/* Refuses a request; its caller may retry when a configuration is expected to be here. */
static void refuse_unready(pw_exchange *x) {
  pw_gate *g = x->g;
  int64_t left = g->started_at + CONFIG_EXPECTED_MS - pwclock_ms();
  int64_t least = left > PWEX_RETRY_LEAST_MS ? left : PWEX_RETRY_LEAST_MS;
  pwexi_refuse(x, PW_E_NOT_READY, "the gateway has no configuration yet",
               least + (int64_t)(pwgate_random(g) * RETRY_SPREAD_MS));
}

/* Ends the wait for a configuration, or for a newer state after a standstill: with the state that there is, if any. */
static void end_await(pw_exchange *x) {
  if (!pwgate_may_serve(x->g)) {
    refuse_unready(x);
    return;
  }
  leave_waiting_list(x);
  pwexi_admit(x);
}

/* Ms by which the time-out is deferred; -1: it is not deferred. Bytes that have arrived are read first:
** the loop runs timers before reads, and both are due at once after a stall. */
static int64_t defer_timeout_ms(const pw_exchange *x, int64_t now) {
  int64_t catch_up = pwlag_catch_up(&x->g->tcp.lag, now);
  if (catch_up > 0)
    return catch_up;
  if (!x->u || x->is_paused || now >= x->timer_at + READ_PENDING_MS)
    return -1;
  return pwupconn_is_readable(x->u) ? 0 : -1;
}

/* Handles the end of the caller's deadline, the route's time-out or the wait for a configuration.
** Returns whether the request was ended. */
static int time_out(pw_exchange *x, int64_t now) {
  int64_t wait_ms = defer_timeout_ms(x, now);
  if (wait_ms >= 0) {
    pwtcp_timer(&x->g->tcp, &x->timer, wait_ms);
    return 0;
  }
  if (x->is_awaiting) {
    end_await(x);
    return 1;
  }
  if (x->awaits_prefix) {
    pwexi_end_prefix_wait(x);
    return 1;
  }
  if (x->awaits_origin) {
    pwexi_end_origin_wait(x);
    return 1;
  }
  if (x->t && pwfleet_is_unresponsive(x->t, now)) {
    pwfleet_failed(x->t, now);
    if (x->is_sent)
      pwexi_note_unresponsive(x, now);
  } else if (x->t && x->is_sent) {
    pwexi_record_bad(x);
  }
  if (!x->has_begun && x->may_have_run)
    pwexi_refuse(x, PW_E_TIMEOUT,
                 "no complete answer within the time-out or deadline", 0);
  else
    pwexi_fail(x, PW_E_NO_TARGET, "the time-out or deadline has passed",
               PWEX_RETRY_LEAST_MS);
  return 1;
}

static void on_timer(struct ev_loop *ev, ev_timer *w, int events) {
  (void)ev;
  (void)events;
  time_out(w->data, pwclock_ms());
}

int pwexi_end_late(pw_exchange *x, int64_t now) {
  return now >= x->timer_at + LATE_TIMER_MS && time_out(x, now);
}

/* --- requests that wait for a configuration --- */

/* Queues the request until a configuration is received or, after a standstill, a newer state; does not let it wait when
** too many requests do. */
static void await_configuration(pw_exchange *x) {
  pw_gate *g = x->g;
  size_t bytes = x->caller->body.len;
  int64_t wait_ms = g->p->set->gateway_await;
  if (x->request_info.deadline_ms >= 0 &&
      x->request_info.deadline_ms / AWAIT_DIVISOR < wait_ms)
    wait_ms = x->request_info.deadline_ms / AWAIT_DIVISOR;
  if (g->nawaiting == AWAITING_MAX ||
      g->awaiting_bytes + bytes > AWAITING_MAX_BYTES) {
    end_await(x);
    return;
  }
  x->is_awaiting = 1;
  DL_APPEND(g->awaiting, x);
  g->nawaiting++;
  g->awaiting_bytes += bytes;
  pwexi_set_timer(x, wait_ms);
}

void pwexchange_start_waiting(pw_gate *g) {
  while (g->awaiting) {
    pw_exchange *x = g->awaiting;
    leave_waiting_list(x);
    pwexi_admit(x);
  }
}

void pwexchange_begin(pw_conn *c) {
  pw_gate *g = c->all->arg;
  pw_exchange *x = pw_alloc(sizeof *x);
  x->g = g;
  x->caller = c;
  c->state = x;
  x->headers.memory = x->buffered.memory = g->p->memory;
  x->arrived = pwclock_ms();
  pwaccept_arrived(&g->accept, (double)(pwtcp_clock(&g->tcp) - c->since),
                   x->arrived);
  g->nexchanges++;
  g->dialect->read_request(&c->request, &x->request_info);
  ev_timer_init(&x->timer, on_timer, 0, 0);
  x->timer.data = x;
  pwcount_add(g->p->counters, PWC_REQUESTS, 1);
  if (pwgate_may_serve(g) && !pwgate_catches_up(g, x->arrived))
    pwexi_admit(x);
  else
    await_configuration(x);
}

/* --- answers --- */

void pwexi_on_sent(void *exchange) {
  pw_exchange *x = exchange;
  x->is_sent = 1;
  x->may_have_run = 1;
  if (!x->needs_new_conn)
    x->runs++;
}

int pwexi_is_stale(void *exchange, const pw_h1 *m, pw_answer_info *info) {
  const pw_exchange *x = exchange;
  x->g->dialect->read_answer(m, &x->request_info, info);
  return !info->id_matches;
}

static void copy_headers(pw_exchange *x, const pw_h1 *m) {
  x->headers.len = 0;
  for (int i = 0; i < m->nheaders; i++) {
    const pw_h1_header *h = &m->header[i];
    if (!pwexi_is_hop_by_hop(x, m, h))
      pwh1_write(&x->headers, h);
  }
}

void pwexi_on_head(void *exchange, const pw_h1 *m, const pw_answer_info *info) {
  pw_exchange *x = exchange;
  int status = m->parser.status_code;
  x->answer_info = *info;
  x->status = status;
  x->ends_with_connection = m->to_eof;
  x->has_length = (m->parser.flags & F_CONTENTLENGTH) != 0;
  pwexi_note_first_byte(x, pwclock_ms());
  x->buffered.len = 0;
  x->events = (pw_sse){0};
  x->is_event_stream =
      x->route->is_stream && status / 100 == 2 && info->is_signed;
  if (!x->has_begun)
    copy_headers(x, m);
}

static void complete_stream(pw_exchange *x, int64_t now) {
  pwexi_note_answered(x, now);
  pwexi_record_good(x, now);
  pwfleet_answered(x->t, pwclock_ms());
  if (!x->is_late)
    pwprefill_answered(&x->service_state->prefill, 0);
  if (!x->has_begun)
    pwexi_begin_answer(x);
  pw_conn *c = detach_caller(x);
  pwexi_log(x, PWTRACE_ROUTINE, "answered",
            "status=%d stream=1 pause=%lld framing=%s events=%ld", x->status,
            (long long)x->longest_pause, framing_name(x), x->events.events);
  pwexi_observe(x, PWSTAGE_PAUSE, x->longest_pause);
  pwexi_observe(x, PWSTAGE_WHOLE, pwclock_ms() - x->arrived);
  free_exchange(x);
  pwconn_end(c);
}

static void complete_passing(pw_exchange *x, int64_t now) {
  pwexi_note_answered(x, now);
  pwexi_record_good(x, now);
  pwfleet_answered(x->t, now);
  pw_conn *c = detach_caller(x);
  pwexi_log(x, PWTRACE_ROUTINE, "answered", "status=%d passed=1 framing=%s",
            x->status, framing_name(x));
  pwexi_observe(x, PWSTAGE_WHOLE, now - x->arrived);
  free_exchange(x);
  pwconn_end(c);
}

/* Only if the target's connection ended with the stream, the target may have crashed. */
void pwexi_end_cut_answer(pw_exchange *x, int64_t now) {
  pwexi_log(x, PWTRACE_FAIL, "answer-cut",
            "target=%s framing=%s tail=%zu events=%ld", x->t->id,
            framing_name(x), x->buffered.len, x->events.events);
  pwcount_add(x->g->p->counters, PWC_GW_ANSWER_CUT, 1);
  if (x->ends_with_connection) {
    pwexi_on_failed(x, PWTCP_EOF, 0);
    return;
  }
  pwfleet_failed(x->t, now);
  pwexi_fail_unknown(x, "the stream ended inside an event");
}

/* Whether a status promises the caller that its request has not run. */
static int promises_not_run(int status) {
  return status == HTTP_STATUS_REQUEST_TIMEOUT ||
         status == HTTP_STATUS_MISDIRECTED_REQUEST ||
         status == HTTP_STATUS_TOO_MANY_REQUESTS ||
         status == HTTP_STATUS_SERVICE_UNAVAILABLE;
}

void pwexi_end_answer(pw_exchange *x, int64_t now) {
  int is_good = x->status / 100 == 2;
  if (x->passes_through) {
    complete_passing(x, now);
  } else if (x->is_event_stream && pwexi_is_broken_off(x)) {
    pwexi_end_cut_answer(x, now);
  } else if (x->is_event_stream) {
    complete_stream(x, now);
  } else if (x->answer_info.not_run && x->status != HTTP_STATUS_BAD_REQUEST) {
    pwexi_handle_not_run(x);
  } else if (promises_not_run(x->status)) {
    /* Without proof the request may have run: the status would wrongly deny that if it were forwarded. */
    pwfleet_error_answered(x->t, now);
    pwexi_fail_unknown(
        x, "the target rejected the request without proof that it did not run");
  } else if (x->has_begun || (is_good && !x->answer_info.is_signed)) {
    pwfleet_failed(x->t, now);
    pwexi_fail_unknown(
        x, "the answer is unsigned or does not continue the stream");
  } else if (x->status / 100 == 5 && pwexi_may_repeat(x, now)) {
    pwexi_record_bad(x);
    pwfleet_error_answered(x->t, now);
    pwexi_retry(x, "the target answered with a server error", 1);
  } else {
    if (is_good) {
      pwexi_note_answered(x, now);
      pwexi_record_good(x, now);
      pwfleet_answered(x->t, now);
      pwfleet_measured(x->t, (double)pwexi_target_ms(x, now), now);
      pwexi_note_cached(x, now);
    } else if (x->status / 100 == 5) {
      pwexi_record_bad(x);
      pwfleet_error_answered(x->t, now);
    }
    pwexi_release(x);
    answer(x);
  }
}

/* Whether an answer looks like a complete success only because its connection ended, as it does after a crash. */
static int needs_confirmation(const pw_exchange *x) {
  return x->ends_with_connection && x->status / 100 == 2 &&
         x->answer_info.is_signed &&
         !(x->is_event_stream && pwexi_is_broken_off(x));
}

void pwexi_on_complete(void *exchange) {
  pw_exchange *x = exchange;
  int64_t now = pwclock_ms();
  x->u = NULL;
  if (!needs_confirmation(x) || !pwexi_confirm_end(x, now))
    pwexi_end_answer(x, now);
}
