/* pwexchange.c: the life of one request: it begins, is answered, ends. */
#include "pwexint.h"
#define RETRY_SPREAD_MS 300 /* so that not all come back at once */

/* A gateway that was started has its configuration by then: control elects a
** leader in one to two leases of 500 ms. */
#define START_MS 1000

/* --- the end of an exchange --- */

void pwexi_let_go(pw_exchange *x) {
  if (!x->t)
    return;
  x->t->inflight--;
  pwfleet_drop(x->t);
  x->t = NULL;
  x->u = NULL;
}

static void free_exchange(pw_exchange *x) {
  pw_gate *g = x->g;
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
  pwexi_note(x, PWTRACE_WELL, "answered", "status=%d bytes=%zu", x->status,
             x->held.len);
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

int64_t pwexi_time_left(const pw_exchange *x) {
  int64_t until =
      x->deadline_at < x->timeout_at ? x->deadline_at : x->timeout_at;
  return until - pwclock_ms();
}

static void on_timer(struct ev_loop *ev, ev_timer *w, int events) {
  (void)ev;
  (void)events;
  pw_exchange *x = w->data;
  int64_t now = pwclock_ms();
  if (x->t && pwfleet_is_dark(x->t, now))
    pwfleet_failed(x->t, now);
  if (!x->has_begun && x->may_have_run)
    pwexi_refuse(x, PW_E_TIMEOUT, "no whole answer in time", 0);
  else
    pwexi_give_up(x, PW_E_NO_TARGET, "time is up", PWEX_RETRY_LEAST_MS);
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
  x->service = pwsite_backend(x->site, x->route, pwgate_draw(g));
  return 0;
}

/* No configuration is known yet: the caller is told when it will be. */
static void refuse_unready(pw_conn *c) {
  pw_gate *g = c->all->arg;
  pw_ask ask;
  int64_t now = pwclock_ms();
  int64_t left = g->started_at + START_MS - now;
  int64_t retry_ms = (left > PWEX_RETRY_LEAST_MS ? left : PWEX_RETRY_LEAST_MS) +
                     (int64_t)(pwgate_draw(g) * RETRY_SPREAD_MS);
  g->dialect->read_request(&c->request, &ask);
  pwtrace_line(g->trace, PWTRACE_FAIL, now, "refused",
               "req=%.*s code=%d name=%s why=\"no configuration yet\" "
               "retry_ms=%lld",
               (int)ask.id.n, ask.id.p ? ask.id.p : "", (int)PW_E_NOT_READY,
               pwcode_name(PW_E_NOT_READY), (long long)retry_ms);
  pwconn_refuse(c, PW_E_NOT_READY, "", retry_ms);
}

void pwexchange_begin(pw_conn *c) {
  pw_gate *g = c->all->arg;
  if (!g->site) {
    refuse_unready(c);
    return;
  }
  pw_exchange *x = pw_alloc(sizeof *x);
  int64_t now = pwclock_ms();
  x->g = g;
  x->client = c;
  c->state = x;
  x->site = pwsite_hold(g->site);
  g->nexchanges++;
  g->dialect->read_request(&c->request, &x->ask);
  ev_timer_init(&x->timer, on_timer, 0, 0);
  x->timer.data = x;
  pwcount_add(g->p->counters, PWC_REQUESTS, 1);
  if (admit(x) != 0)
    return;
  x->arrived = now;
  x->timeout_at = now + x->route->timeout_ms;
  x->deadline_at =
      x->ask.deadline_ms >= 0 ? now + x->ask.deadline_ms : x->timeout_at;
  pwretries_request(pwgate_retries(g, x->service->name), now);
  pwgate_timer(g, &x->timer, pwexi_time_left(x));
  pwexi_place(x);
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
    if (pwh1_is_hop(m, h))
      continue;
    pwbuf_add(&x->lines, h->name, h->nname);
    pwbuf_add(&x->lines, ": ", 2);
    pwbuf_add(&x->lines, h->value, h->nvalue);
    pwbuf_add(&x->lines, "\r\n", 2);
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

static void whole_stream(pw_exchange *x) {
  pwfleet_answered(x->t, -1, pwclock_ms());
  if (x->held.len) { /* bytes after the last whole event */
    pwexi_pass(x, x->held.data, x->held.len);
    x->held.len = 0;
  }
  if (!x->has_begun)
    pwexi_begin_answer(x);
  pw_conn *c = take_client(x);
  pwexi_note(x, PWTRACE_WELL, "answered", "status=%d stream=1", x->status);
  free_exchange(x);
  pwconn_end(c);
}

void pwexchange_whole(pw_exchange *x) {
  int64_t now = pwclock_ms();
  int is_good = x->status / 100 == 2;
  x->u = NULL;
  if (x->is_events) {
    whole_stream(x);
  } else if (x->told.not_run && x->status != HTTP_STATUS_BAD_REQUEST) {
    pwexi_not_run(x);
  } else if (x->has_begun || x->is_too_long || (is_good && !x->told.is_whole)) {
    pwfleet_failed(x->t, now);
    pwexi_unknown(x, "the answer is not one");
  } else if (x->status / 100 == 5 && pwexi_may_repeat(x, now)) {
    pwfleet_erred(x->t, now);
    pwexi_retry(x, "the target failed", 1);
  } else {
    if (is_good)
      pwfleet_answered(x->t, (double)(now - x->sent_at), now);
    else if (x->status / 100 == 5)
      pwfleet_erred(x->t, now);
    pwexi_let_go(x);
    answer(x);
  }
}
