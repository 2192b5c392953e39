/* pwexchange.c: the life of one request: it begins, is answered, ends. */
#include "pwexint.h"

#include <utlist.h>

/* A caller that asked for the first time longer ago than this part of its goal cannot be
** answered within it when places are short. */
#define LATE_PART 4

/* The loop's own timer, which does not count time for which the instance was suspended, is usually
** that much late at most. */
#define LATE_TURN_MS 100

/* An answer that has come when time is over is read for so long, ms. */
#define READ_MS 200

#define RETRY_SPREAD_MS 300 /* so that not all come back at once */

/* A gateway that was started has its configuration by then: control elects a
** leader in one to one and a half leases of 500 ms. */
#define START_MS 1000

/* Requests that came before a configuration wait for it, but for no more than this
** part of the time that their caller has, so that it can come back. */
#define AWAIT_PART 3
#define AWAITING_MAX 2000
#define AWAITING_BYTES (16UL * 1024 * 1024) /* of their bodies */

/* --- the end of an exchange --- */

void pwexi_let_go(pw_exchange *x) {
  if (!x->t)
    return;
  x->t->inflight--;
  pwfleet_drop(x->t);
  x->t = NULL;
  x->u = NULL;
}

static void await_no_more(pw_exchange *x) {
  pw_gate *g = x->g;
  if (!x->is_awaiting)
    return;
  x->is_awaiting = 0;
  DL_DELETE(g->awaiting, x);
  g->nawaiting--;
  g->awaiting_bytes -= x->client->body.len;
}

static void free_exchange(pw_exchange *x) {
  pw_gate *g = x->g;
  await_no_more(x);
  if (x->u) {
    pw_upconn *u = x->u;
    x->u = NULL;
    pwupconn_cancel(u);
  }
  pwexi_let_go(x);
  ev_timer_stop(g->ev, &x->timer);
  for (int i = 0; i < x->ntried; i++)
    pwfleet_drop(x->tried[i]);
  g->nexchanges--;
  pwsite_drop(x->site);
  pwbuf_free(&x->lines);
  pwbuf_free(&x->held);
  pwgate_later(g, x);
}

/* Takes the exchange off its client, whose answer is to be written next. */
static pw_conn *take_client(pw_exchange *x) {
  pw_conn *c = x->client;
  c->state = NULL;
  return c;
}

void pwexi_refuse(pw_exchange *x, pw_code code, const char *why,
                  int64_t retry_ms) {
  pw_conn *c = take_client(x);
  pwexi_note(x, PWTRACE_FAIL, "refused",
             "target=%s code=%d name=%s why=\"%s\" retry_ms=%lld",
             x->t ? x->t->id : "-", (int)code, pwcode_name(code), why,
             (long long)retry_ms);
  free_exchange(x);
  pwconn_refuse(c, code, why, retry_ms);
}

static void answer(pw_exchange *x) {
  pw_conn *c = take_client(x);
  int64_t age = pwclock_ms() - x->arrived;
  pwexi_note(x, PWTRACE_WELL, "answered", "status=%d bytes=%zu", x->status,
             x->held.len);
  pwexi_observe(x, PWSTAGE_FIRST, age);
  pwexi_observe(x, PWSTAGE_WHOLE, age);
  pw_buf lines = x->lines;
  pw_buf held = x->held;
  x->lines = x->held = (pw_buf){0};
  int status = x->status;
  free_exchange(x);
  pwconn_answer(c, status, lines.data ? lines.data : "", held.data, held.len);
  pwbuf_free(&lines);
  pwbuf_free(&held);
}

/* What was passed on cannot be made whole any more. */
void pwexi_break(pw_exchange *x, const char *why) {
  pw_conn *c = take_client(x);
  pwexi_note(x, PWTRACE_FAIL, "broken-off", "target=%s why=\"%s\" last=%.*s",
             x->t ? x->t->id : "-", why, (int)x->nlast_event, x->last_event);
  pwcount_add(x->g->p->counters, PWC_GW_BROKEN, 1);
  free_exchange(x);
  pwconn_break(c);
}

void pwexi_give_up(pw_exchange *x, pw_code code, const char *why,
                   int64_t retry_ms) {
  if (x->has_begun)
    pwexi_break(x, why);
  else if (x->may_have_run)
    pwexi_refuse(x, PW_E_UNKNOWN, why, 0);
  else
    pwexi_refuse(x, code, why, retry_ms);
}

void pwexchange_abandon(void *exchange) {
  pw_exchange *x = exchange;
  pwexi_note(x, PWTRACE_FAIL, "caller-gone", "target=%s sent=%d",
             x->t ? x->t->id : "-", x->is_sent);
  pwcount_add(x->g->p->counters, PWC_GW_GONE, 1);
  free_exchange(x);
}

void pwexchange_stop(pw_exchange *x) {
  pwexi_break(x, "the planned stop was over");
}

/* --- time --- */

int64_t pwexi_at_target(const pw_exchange *x, int64_t at) {
  int64_t ms = at - x->sent_at - (x->g->tcp.lag.lost_ms - x->sent_lost);
  return ms > 0 ? ms : 0;
}

int64_t pwexi_time_left(const pw_exchange *x) {
  int64_t until =
      x->deadline_at < x->timeout_at ? x->deadline_at : x->timeout_at;
  return until - pwclock_ms();
}

/* The caller is told when a configuration will be known. */
static void refuse_unready(pw_exchange *x) {
  pw_gate *g = x->g;
  int64_t left = g->started_at + START_MS - pwclock_ms();
  int64_t least = left > PWEX_RETRY_LEAST_MS ? left : PWEX_RETRY_LEAST_MS;
  pwexi_refuse(x, PW_E_NOT_READY, "no configuration yet",
               least + (int64_t)(pwgate_draw(g) * RETRY_SPREAD_MS));
}

/* Ms until it may be timed out; -1: it may be now. What has come for it is read first: a timer comes
** before what is readable, and a standstill makes both due at once. */
static int64_t put_off_ms(const pw_exchange *x, int64_t now) {
  int64_t catch_up = pwlag_catch_up(&x->g->tcp.lag, now);
  if (catch_up > 0)
    return catch_up;
  if (!x->u || x->is_paused || now >= x->ends_at + READ_MS)
    return -1;
  return pwupconn_is_readable(x->u) ? 0 : -1;
}

/* Its time is over: of its caller or its route, or in which a configuration could come. Gives whether
** it was ended. */
static int time_out(pw_exchange *x, int64_t now) {
  int64_t wait_ms = put_off_ms(x, now);
  if (wait_ms >= 0) {
    pwtcp_timer(&x->g->tcp, &x->timer, wait_ms);
    return 0;
  }
  if (x->is_awaiting) {
    refuse_unready(x);
    return 1;
  }
  if (x->t && pwfleet_is_dark(x->t, now)) {
    pwfleet_failed(x->t, now);
    if (x->is_sent)
      pwexi_note_dark(x, now);
  } else if (x->t && x->is_sent) {
    pwexi_seen_bad(x);
  }
  if (!x->has_begun && x->may_have_run)
    pwexi_refuse(x, PW_E_TIMEOUT, "no whole answer in time", 0);
  else
    pwexi_give_up(x, PW_E_NO_TARGET, "time is up", PWEX_RETRY_LEAST_MS);
  return 1;
}

static void on_timer(struct ev_loop *ev, ev_timer *w, int events) {
  (void)ev;
  (void)events;
  time_out(w->data, pwclock_ms());
}

static void set_timer(pw_exchange *x, int64_t ms) {
  x->ends_at = pwclock_ms() + ms;
  pwtcp_timer(&x->g->tcp, &x->timer, ms);
}

int pwexi_end_late(pw_exchange *x, int64_t now) {
  return now >= x->ends_at + LATE_TURN_MS && time_out(x, now);
}

/* --- beginning --- */

/* What the configuration says of this request: 0, or it was refused. */
static int admit(pw_exchange *x) {
  pw_gate *g = x->g;
  const pw_h1 *m = &x->client->request;
  x->route =
      pwsite_route(x->site, x->ask.host.p, x->ask.host.n, m->url, m->nurl);
  if (!x->route) {
    pwexi_refuse(x, PW_E_ROUTE, "", 0);
    return -1;
  }
  if (pwsite_has_workspaces(x->site) && x->ask.key.p)
    x->workspace = pwsite_workspace(x->site, x->ask.key.p, x->ask.key.n);
  if (pwsite_has_workspaces(x->site) && !x->workspace && !x->route->is_public) {
    pwexi_refuse(x, PW_E_KEY, "", 0);
    return -1;
  }
  x->service = pwsite_draw_service(x->site, x->route, pwgate_draw(g));
  return 0;
}

static int64_t late_ms(const pw_exchange *x) {
  return x->route->goal_ms / LATE_PART;
}

/* Whether its caller must have asked a while ago, by the time that it has left: an answer
** in its goal is worth more than three late ones. */
static int has_tried_before(pw_exchange *x) {
  pw_gate_route *r = pwgate_route(x->g, x->route->name);
  int64_t ms = x->ask.deadline_ms;
  if (!r || ms < 0)
    return 0;
  pwusual_note(&r->usual, ms,
               pwplaces_share(&x->kept->places) > PWEX_CALM_SHARE);
  int64_t shortest = pwusual_shortest(&r->usual);
  x->known_after = pwusual_ms(&r->usual) - shortest + late_ms(x);
  return ms + late_ms(x) < shortest;
}

/* What a workspace sends beyond its usual has what all others leave, by its own urgency. */
static int urgency_of(pw_exchange *x) {
  const char *workspace = x->workspace ? x->workspace->name : "";
  double surplus = pwsurge_note(x->kept->surge, workspace, x->arrived);
  int urgency = x->route->priority > 0 ? x->route->priority : 0;
  if (urgency >= PWPLACES_SURPLUS)
    urgency = PWPLACES_SURPLUS - 1;
  return pwgate_draw(x->g) < surplus ? PWPLACES_SURPLUS + urgency : urgency;
}

static uint64_t sign_of(const pw_exchange *x) {
  const pw_h1 *m = &x->client->request;
  return pwsign_of(x->workspace ? x->workspace->name : "",
                   http_method_str((enum http_method)m->parser.method),
                   (pw_span){m->url, m->nurl},
                   (pw_span){x->client->body.data, x->client->body.len});
}

static void start(pw_exchange *x) {
  pw_gate *g = x->g;
  x->site = pwsite_hold(g->site);
  if (admit(x) != 0)
    return;
  x->sign = sign_of(x);
  x->timeout_at = x->arrived + x->route->timeout_ms;
  x->deadline_at =
      x->ask.deadline_ms >= 0 ? x->arrived + x->ask.deadline_ms : x->timeout_at;
  x->kept = pwgate_service(g, x->service->name);
  x->urgency = urgency_of(x);
  x->is_last = has_tried_before(x);
  pwretries_request(&x->kept->retries, x->arrived);
  set_timer(x, pwexi_time_left(x));
  pwexi_place(x);
}

/* --- requests that came before a configuration --- */

/* It waits: as long as a caller can come back after it in time. */
static void await(pw_exchange *x) {
  pw_gate *g = x->g;
  size_t bytes = x->client->body.len;
  int64_t wait_ms = g->p->set->gateway_await;
  if (x->ask.deadline_ms >= 0 && x->ask.deadline_ms / AWAIT_PART < wait_ms)
    wait_ms = x->ask.deadline_ms / AWAIT_PART;
  if (g->nawaiting == AWAITING_MAX ||
      g->awaiting_bytes + bytes > AWAITING_BYTES) {
    refuse_unready(x);
    return;
  }
  x->is_awaiting = 1;
  DL_APPEND(g->awaiting, x);
  g->nawaiting++;
  g->awaiting_bytes += bytes;
  set_timer(x, wait_ms);
}

void pwexchange_go_on(pw_gate *g) {
  while (g->awaiting) {
    pw_exchange *x = g->awaiting;
    await_no_more(x);
    start(x);
  }
}

void pwexchange_begin(pw_conn *c) {
  pw_gate *g = c->all->arg;
  pw_exchange *x = pw_alloc(sizeof *x);
  x->g = g;
  x->client = c;
  c->state = x;
  x->arrived = pwclock_ms();
  g->nexchanges++;
  g->dialect->read_request(&c->request, &x->ask);
  ev_timer_init(&x->timer, on_timer, 0, 0);
  x->timer.data = x;
  pwcount_add(g->p->counters, PWC_REQUESTS, 1);
  if (pwgate_may_serve(g))
    start(x);
  else
    await(x);
}

size_t pwexchange_held(const pw_exchange *x) {
  return x->held.cap + x->lines.cap + (x->u ? pwupconn_held(x->u) : 0);
}

/* --- answers --- */

void pwexchange_sent(pw_exchange *x) {
  x->is_sent = 1;
  x->may_have_run = 1;
  if (!x->is_fresh_only)
    x->runs++;
}

int pwexchange_is_surplus(const pw_exchange *x, const pw_h1 *m, pw_told *told) {
  x->g->dialect->read_answer(m, &x->ask, told);
  return !told->is_mine;
}

static void keep_lines(pw_exchange *x, const pw_h1 *m) {
  x->lines.len = 0;
  for (int i = 0; i < m->nheaders; i++) {
    const pw_h1_header *h = &m->header[i];
    if (!pwh1_is_hop(m, h))
      pwh1_write(&x->lines, h);
  }
}

void pwexchange_head(pw_exchange *x, const pw_h1 *m, const pw_told *told) {
  int status = m->parser.status_code;
  x->told = *told;
  x->status = status;
  x->held.len = 0;
  x->is_events = x->route->is_stream && status / 100 == 2 && told->is_whole;
  if (!x->has_begun)
    keep_lines(x, m);
}

void pwexchange_body(pw_exchange *x, const char *data, size_t n) {
  if (x->is_events)
    pwexi_events(x, data, n);
  else if (x->held.len + n <= PWEX_HELD_MAX)
    pwbuf_add(&x->held, data, n);
  else
    x->is_too_long = 1;
}

static void whole_stream(pw_exchange *x, int64_t now) {
  pwexi_note_answered(x, now);
  pwexi_seen_good(x, now);
  pwfleet_answered(x->t, 0, pwclock_ms());
  if (x->held.len) { /* bytes after the last whole event */
    pwexi_pass(x, x->held.data, x->held.len);
    x->held.len = 0;
  }
  if (!x->has_begun)
    pwexi_begin_answer(x);
  pw_conn *c = take_client(x);
  pwexi_note(x, PWTRACE_WELL, "answered", "status=%d stream=1 pause=%lld",
             x->status, (long long)x->longest_pause);
  pwexi_observe(x, PWSTAGE_PAUSE, x->longest_pause);
  pwexi_observe(x, PWSTAGE_WHOLE, pwclock_ms() - x->arrived);
  free_exchange(x);
  pwconn_end(c);
}

/* Whether a status tells the caller that its request has not run. */
static int promises_not_run(int status) {
  return status == HTTP_STATUS_REQUEST_TIMEOUT ||
         status == HTTP_STATUS_MISDIRECTED_REQUEST ||
         status == HTTP_STATUS_TOO_MANY_REQUESTS ||
         status == HTTP_STATUS_SERVICE_UNAVAILABLE;
}

void pwexchange_whole(pw_exchange *x) {
  int64_t now = pwclock_ms();
  int is_good = x->status / 100 == 2;
  x->u = NULL;
  if (x->is_events && x->is_too_long) {
    pwfleet_failed(x->t, now);
    pwexi_unknown(x, "an event without an end");
  } else if (x->is_events) {
    whole_stream(x, now);
  } else if (x->told.not_run && x->status != HTTP_STATUS_BAD_REQUEST) {
    pwexi_not_run(x);
  } else if (promises_not_run(x->status)) {
    /* Without the proof it may have run: passed on, the status would deny it. */
    pwfleet_erred(x->t, now);
    pwexi_unknown(x, "the target refused it without a proof");
  } else if (x->has_begun || x->is_too_long || (is_good && !x->told.is_whole)) {
    pwfleet_failed(x->t, now);
    pwexi_unknown(x, "the answer is not one");
  } else if (x->status / 100 == 5 && pwexi_may_repeat(x, now)) {
    pwexi_seen_bad(x);
    pwfleet_erred(x->t, now);
    pwexi_retry(x, "the target failed", 1);
  } else {
    if (is_good) {
      pwexi_note_answered(x, now);
      pwexi_seen_good(x, now);
      pwfleet_answered(x->t, (double)pwexi_at_target(x, now), now);
    } else if (x->status / 100 == 5) {
      pwexi_seen_bad(x);
      pwfleet_erred(x->t, now);
    }
    pwexi_let_go(x);
    answer(x);
  }
}
