/* pwexchange.c: the life of one request: route, send, retry, answer. */
#include "pwexint.h"

#include "pwlog.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* A refusal by proof goes on elsewhere; so often at most. */
#define HOPS_MAX 4

/* A connection that rested longer than this carries no request that may not
** run twice: the target may have closed it, and who read what is not known. */
#define REST_ONCE_MS 800
#define REST_ANY_MS 60000

/* A connection that could not be made is tried elsewhere, so often. */
#define CONNECTS_MAX 6

/* When to come back, where nothing better is known, ms. */
#define RETRY_SPREAD_MS 300 /* so that not all come at once */
#define RETRY_NO_TARGET_MS 700
#define RETRY_LEAST_MS 100

/* A gateway that was started has its configuration by then: control elects a
** leader in one to two leases of 500 ms. */
#define START_MS 1000

#define MS_PER_S 1000

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
static pw_client *take_client(pw_exchange *x) {
  pw_client *c = x->client;
  c->exchange = NULL;
  return c;
}

void pwexi_refuse(pw_exchange *x, pw_code code, const char *why,
                  int64_t retry_ms) {
  pw_client *c = take_client(x);
  pwexi_note(x, PWTRACE_FAIL, "refused",
             "target=%s code=%d name=%s why=\"%s\" retry_ms=%lld",
             x->t ? x->t->id : "-", (int)code, pwcode_name(code), why,
             (long long)retry_ms);
  free_exchange(x);
  pwclient_refuse(c, code, why, retry_ms);
}

static void answer(pw_exchange *x) {
  pw_client *c = take_client(x);
  pwexi_note(x, PWTRACE_WELL, "answered", "status=%d bytes=%zu", x->status,
             x->held.len);
  pw_buf lines = x->lines;
  pw_buf held = x->held;
  x->lines = x->held = (pw_buf){0};
  int status = x->status;
  free_exchange(x);
  pwclient_answer(c, status, lines.data ? lines.data : "", held.data, held.len);
  pwbuf_free(&lines);
  pwbuf_free(&held);
}

/* What was passed on cannot be made whole any more. */
void pwexi_break(pw_exchange *x, const char *why) {
  pw_client *c = take_client(x);
  pwexi_note(x, PWTRACE_FAIL, "broken-off", "target=%s why=\"%s\" last=%.*s",
             x->t ? x->t->id : "-", why, (int)x->nlast_event, x->last_event);
  pwcount_add(x->g->p->counters, PWC_GW_BROKEN, 1);
  free_exchange(x);
  pwclient_break(c);
}

void pwexchange_abandon(pw_exchange *x) {
  pwexi_note(x, PWTRACE_FAIL, "caller-gone", "target=%s sent=%d",
             x->t ? x->t->id : "-", x->is_sent);
  pwcount_add(x->g->p->counters, PWC_GW_GONE, 1);
  free_exchange(x);
}

void pwexchange_stop(pw_exchange *x) {
  pwexi_break(x, "the planned stop was over");
}

/* --- time --- */

static int64_t time_left(const pw_exchange *x) {
  int64_t until =
      x->deadline_at < x->timeout_at ? x->deadline_at : x->timeout_at;
  return until - pwclock_ms();
}

static void on_timer(struct ev_loop *ev, ev_timer *w, int events) {
  (void)ev;
  (void)events;
  pw_exchange *x = w->data;
  if (x->t)
    pwfleet_failed(x->t, pwclock_ms());
  if (x->has_begun)
    pwexi_break(x, "time is up");
  else if (x->may_have_run)
    pwexi_refuse(x, PW_E_TIMEOUT, "no whole answer in time", 0);
  else
    pwexi_refuse(x, PW_E_NO_TARGET, "no target took it in time",
                 RETRY_LEAST_MS);
}

static void start_timer(pw_exchange *x) {
  int64_t ms = time_left(x);
  ev_timer_init(&x->timer, on_timer, (double)(ms > 0 ? ms : 0) / 1000.0, 0);
  x->timer.data = x;
  ev_timer_start(x->g->ev, &x->timer);
}

/* --- sending --- */

static void write_head(pw_exchange *x, pw_buf *out) {
  const pw_h1 *m = &x->client->request;
  pwbuf_fmt(out, "%s %.*s HTTP/1.1\r\n",
            http_method_str((enum http_method)m->parser.method), (int)m->nurl,
            m->url);
  for (int i = 0; i < m->nheaders; i++) {
    const pw_h1_header *h = &m->header[i];
    if (pwh1_is_hop(m, h) || !x->g->dialect->passes(h))
      continue;
    pwbuf_add(out, h->name, h->nname);
    pwbuf_add(out, ": ", 2);
    pwbuf_add(out, h->value, h->nvalue);
    pwbuf_add(out, "\r\n", 2);
  }
  pw_forward f = {.target = x->t->id,
                  .workspace = x->workspace ? x->workspace->name : NULL,
                  .deadline_ms = time_left(x),
                  .urgency = -1,
                  .last_event = x->ask.last_event,
                  .fetch_from = x->holder && x->service->moves_kv
                                    ? x->holder->address
                                    : NULL};
  if (x->nlast_event)
    f.last_event = (pw_span){x->last_event, x->nlast_event};
  x->g->dialect->write_forward(out, &f);
  if (m->has_body || x->client->body.len)
    pwbuf_fmt(out, "Content-Length: %zu\r\n", x->client->body.len);
  pwbuf_add(out, "\r\n", 2);
}

static int send_now(pw_exchange *x) {
  pw_buf head = {0};
  int64_t rest = x->route->kind == PWSITE_SAFE ? REST_ANY_MS : REST_ONCE_MS;
  if (x->is_fresh_only)
    rest = 0;
  write_head(x, &head);
  x->is_sent = 0;
  x->sent_at = pwclock_ms();
  x->u = pwupconn_send(x->g, x->t, x, &head, &x->client->body,
                       x->client->request.parser.method == HTTP_HEAD, rest);
  pwbuf_free(&head);
  return x->u ? 0 : -1;
}

static uint64_t prompt_key(const pw_ask *ask) {
  int shared = ask->nparts > 1 ? ask->nparts - 2 : 0;
  return ask->nparts ? ask->part[shared].id : 0;
}

/* Fills x->t (held) and x->holder; 0 when there is no target. */
static int pick(pw_exchange *x) {
  pw_gate *g = x->g;
  int64_t now = pwclock_ms();
  int is_sticky = x->route->is_sticky && x->ask.nparts > 0;
  uint64_t key = prompt_key(&x->ask);
  int64_t keep = (int64_t)(g->p->set->gateway_keep * MS_PER_S);
  pw_fleet_ask ask = {
      .service = x->service->name,
      .how = g->how,
      .is_sticky = is_sticky,
      .key = key,
      .last = is_sticky ? pwwhere_find(g->where, key, now, keep) : 0,
      .wait_ms = (double)time_left(x) / 2,
      .draw = pwgate_draw(g),
      .bound = {PW_GW_BOUND_SHARE * g->p->set->gateway_load_times,
                PW_GW_BOUND_EXTRA},
      .tried = x->tried,
      .ntried = x->ntried};
  pw_fleet_picked got = pwfleet_pick(g->fleet, &ask, now);
  x->t = got.target;
  x->holder = got.holder;
  if (!got.target)
    return 0;
  if (is_sticky) {
    pwwhere_note(g->where, key, got.target->short_hash, now);
    if (!got.is_home)
      pwgossip_moved(g->gossip, key, got.target->short_hash);
  }
  return 1;
}

static void refuse_for_load(pw_exchange *x) {
  int64_t now = pwclock_ms();
  int usable = pwfleet_usable(x->g->fleet, x->service->name, now);
  if (usable == 0)
    pwexi_refuse(x, PW_E_NO_TARGET, "no target of the service is known",
                 RETRY_NO_TARGET_MS);
  else
    pwexi_refuse(x, PW_E_BUSY, "all targets are full",
                 RETRY_LEAST_MS +
                     (int64_t)(pwgate_draw(x->g) * RETRY_NO_TARGET_MS));
}

void pwexi_place(pw_exchange *x) {
  for (;;) {
    if (time_left(x) <= 0 || x->ntried == PWEX_TRIED_MAX)
      break;
    if (!pick(x))
      break;
    pw_target *t = x->t;
    x->is_fresh_only = 0;
    t->inflight++;
    x->tried[x->ntried++] = pwfleet_hold(t);
    pwcount_add(x->g->p->counters, PWC_ATTEMPTS, 1);
    if (send_now(x) == 0) {
      pwexi_note(x, PWTRACE_WELL, "placed",
                 "target=%s load=%d+%d n=%d key=%llx fetch=%s", t->id,
                 t->inflight, t->others, x->ntried,
                 (unsigned long long)prompt_key(&x->ask),
                 x->holder ? x->holder->id : "-");
      x->holder = NULL; /* not held */
      return;
    }
    pwexi_let_go(x); /* no descriptor to be had */
  }
  if (x->has_begun)
    pwexi_break(x, "no target to go on at");
  else if (x->may_have_run)
    pwexi_refuse(x, PW_E_UNKNOWN, "it may have run; no other target", 0);
  else
    refuse_for_load(x);
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
static void refuse_unready(pw_client *c) {
  pw_gate *g = c->g;
  pw_ask ask;
  int64_t now = pwclock_ms();
  int64_t left = g->started_at + START_MS - now;
  int64_t retry_ms = (left > RETRY_LEAST_MS ? left : RETRY_LEAST_MS) +
                     (int64_t)(pwgate_draw(g) * RETRY_SPREAD_MS);
  g->dialect->read_request(&c->request, &ask);
  pwtrace_line(g->trace, PWTRACE_FAIL, now, "refused",
               "req=%.*s code=%d name=%s why=\"no configuration yet\" "
               "retry_ms=%lld",
               (int)ask.id.n, ask.id.p ? ask.id.p : "", (int)PW_E_NOT_READY,
               pwcode_name(PW_E_NOT_READY), (long long)retry_ms);
  pwclient_refuse(c, PW_E_NOT_READY, "", retry_ms);
}

void pwexchange_begin(pw_client *c) {
  pw_gate *g = c->g;
  if (!g->site) {
    refuse_unready(c);
    return;
  }
  pw_exchange *x = pw_alloc(sizeof *x);
  int64_t now = pwclock_ms();
  x->g = g;
  x->client = c;
  c->exchange = x;
  x->site = pwsite_hold(g->site);
  g->nexchanges++;
  g->dialect->read_request(&c->request, &x->ask);
  ev_timer_init(&x->timer, on_timer, 0, 0);
  pwcount_add(g->p->counters, PWC_REQUESTS, 1);
  if (admit(x) != 0)
    return;
  x->arrived = now;
  x->timeout_at = now + x->route->timeout_ms;
  x->deadline_at =
      x->ask.deadline_ms >= 0 ? now + x->ask.deadline_ms : x->timeout_at;
  pwretries_request(pwgate_retries(g, x->service->name), now);
  start_timer(x);
  pwexi_place(x);
}

/* --- failures --- */

static int spend_retry(pw_exchange *x, int64_t now) {
  pw_retries *b = pwgate_retries(x->g, x->service->name);
  if (pwretries_spend(b, pwlink_gateways(x->g->link), now)) {
    pwcount_add(x->g->p->counters, PWC_RETRIES, 1);
    return 1;
  }
  pwcount_add(x->g->p->counters, PWC_RETRY_DENIED, 1);
  return 0;
}

void pwexi_retry(pw_exchange *x, const char *why, int may_have_run) {
  pwexi_note(x, PWTRACE_FAIL, x->has_begun ? "resumed" : "retried",
             "target=%s why=\"%s\" ran=%d last=%.*s", x->t ? x->t->id : "-",
             why, may_have_run, (int)x->nlast_event, x->last_event);
  pwexi_let_go(x);
  pwexi_place(x);
}

/* Whether a request that may have run may go to another target. */
static int may_repeat(pw_exchange *x, int64_t now) {
  return x->route->kind == PWSITE_SAFE && x->runs < x->route->attempts &&
         spend_retry(x, now);
}

/* A failure that proves nothing. */
void pwexi_unknown(pw_exchange *x, const char *why) {
  int64_t now = pwclock_ms();
  if (may_repeat(x, now)) {
    pwexi_retry(x, why, 1);
  } else if (x->has_begun) {
    pwexi_break(x, why);
  } else {
    pwexi_refuse(x, PW_E_UNKNOWN, why, 0);
  }
}

/* The target proved that it did not run it. */
static void not_run(pw_exchange *x) {
  int64_t now = pwclock_ms();
  if (x->status == HTTP_STATUS_MISDIRECTED_REQUEST)
    pwfleet_forget(x->g->fleet, x->t, now);
  x->runs--;
  x->may_have_run = x->runs > 0;
  pwbuf_free(&x->lines);
  pwbuf_free(&x->held);
  if (x->hops++ < HOPS_MAX && time_left(x) > 0 && spend_retry(x, now))
    pwexi_retry(x, "not run there", 0);
  else if (x->has_begun)
    pwexi_break(x, "refused where it was to go on");
  else if (x->may_have_run)
    pwexi_refuse(x, PW_E_UNKNOWN, "it may have run", 0);
  else
    pwexi_refuse(x, PW_E_BUSY, "the target refused it", RETRY_NO_TARGET_MS);
}

void pwexchange_failed(pw_exchange *x, pw_tcp_end how, int unused) {
  int64_t now = pwclock_ms();
  x->u = NULL;
  if (!x->is_sent)
    pwfleet_unreached(x->t, now);
  else if (!unused)
    pwfleet_failed(x->t, now);
  if (!x->is_sent) { /* nothing left this gateway */
    if (x->connects++ < CONNECTS_MAX)
      pwexi_retry(x, "no connection", 0);
    else
      pwexi_refuse(x, PW_E_CONNECT, "no target could be reached",
                   RETRY_NO_TARGET_MS);
    return;
  }
  /* A connection that the target closed while it rested: the same target, over
  ** a new one, if the request may run again. */
  if (unused && !x->has_begun && !x->is_fresh_only &&
      x->route->kind == PWSITE_SAFE && spend_retry(x, now)) {
    x->is_fresh_only = 1;
    if (send_now(x) == 0)
      return;
  }
  pwexi_unknown(x, how == PWTCP_EOF ? "the target closed" : "reset");
}

/* Sent at least so long ago, ms: less is usual for a request that waits. */
#define STALL_MS 600

/* A target that went dark says nothing: who may go on elsewhere does so while
** there is time, another waits for its time-out. */
static void check_stall(pw_exchange *x, int64_t now) {
  if (!x->u || !x->is_sent || now - x->sent_at < STALL_MS ||
      !pwfleet_is_dark(x->t, now) || !may_repeat(x, now))
    return;
  pwfleet_unreached(x->t, now);
  pw_upconn *u = x->u;
  x->u = NULL;
  pwupconn_cancel(u);
  pwexi_retry(x, "the target went dark", 1);
}

void pwexchange_check(pw_gate *g, int64_t now) {
  for (pw_client *c = g->clients, *next; c; c = next) {
    next = c->next;
    if (c->exchange)
      check_stall(c->exchange, now);
  }
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
  pw_client *c = take_client(x);
  pwexi_note(x, PWTRACE_WELL, "answered", "status=%d stream=1", x->status);
  free_exchange(x);
  pwclient_end(c);
}

void pwexchange_whole(pw_exchange *x) {
  int64_t now = pwclock_ms();
  int is_good = x->status / 100 == 2;
  x->u = NULL;
  if (x->is_events) {
    whole_stream(x);
  } else if (x->told.not_run && x->status != HTTP_STATUS_BAD_REQUEST) {
    not_run(x);
  } else if (x->has_begun || x->is_too_long || (is_good && !x->told.is_whole)) {
    pwfleet_failed(x->t, now);
    pwexi_unknown(x, "the answer is not one");
  } else if (x->status / 100 == 5 && may_repeat(x, now)) {
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
