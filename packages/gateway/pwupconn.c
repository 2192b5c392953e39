/* pwupconn.c: pooled HTTP connections to targets. */
#include "pwupconn.h"

#include "pwgate.h"

#include "pwlimits.h"
#include "pwlog.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CONNECT_MS 300 /* longest time to establish a connection, ms */
#define SILENT_MS 1500 /* longest time without an acknowledgement, ms */

#define HEAD_MAX 65536 /* largest head of an answer, bytes */

/* Longest idle time of a connection if the target announces none, ms. */
#define IDLE_DEFAULT_MS 4000

/* An idle connection is closed this long before the target would close it, ms. */
#define IDLE_MARGIN_MS 1000

/* Most answers that are skipped before the one to the current request: 1xx ones, and late ones to an earlier request. */
#define SKIPPED_MAX 16

struct pw_upconn {
  pw_gate *g;
  pw_target *t;
  pw_tcp *tcp;
  pw_h1 answer;
  const pw_upconn_callbacks *calls; /* of the current request; NULL: idle */
  void *arg;
  pw_upconn_replaced *replaced; /* of a replacement that is being established */
  ev_timer connecting;
  int64_t dialled_at; /* ms of pwtcp_clock */
  pw_buf out;   /* head of the request, to be written once connected ... */
  pw_span body; /* ... and its body, which its owner keeps */
  int is_up;
  int has_long_body; /* the current request has, and SILENT_MS does not hold */
  int was_reused; /* the current request is not the first on this connection */
  int has_received; /* bytes have come since the current request was sent */
  int is_stale; /* the answer of an earlier request, or a 1xx one, is skipped */
  int skipped;  /* answers that were skipped since the request was sent */
  int is_closed;
  int64_t idle_ms; /* longest idle time, as announced by the target, ms */
  int64_t idle_since;
  pw_upconn *next;
};

/* --- closing --- */

static void unlist(pw_upconn *u) {
  for (pw_upconn **at = &u->t->idle; *at; at = &(*at)->next) {
    if (*at != u)
      continue;
    *at = u->next;
    return;
  }
}

static void close_conn(pw_upconn *u, int reset) {
  if (u->is_closed)
    return;
  u->is_closed = 1;
  if (!u->calls)
    unlist(u);
  if (u->t->replacement == u)
    u->t->replacement = NULL;
  ev_timer_stop(u->g->ev, &u->connecting);
  pwtcp_close(u->tcp, reset);
  u->t->nconns--;
  pwfleet_release(u->t);
  pwh1_free(&u->answer);
  pwbuf_free(&u->out);
  pwgate_free_later(u->g, u);
}

void pwupconn_cancel(pw_upconn *u) {
  close_conn(u, 1);
}

/* Reports whether a replacement was established. */
static void report_replaced(pw_upconn *u) {
  pw_upconn_replaced *replaced = u->replaced;
  u->replaced = NULL;
  replaced(u->g, u->t, u->is_up);
}

static void fail(pw_upconn *u, pw_tcp_end how) {
  const pw_upconn_callbacks *calls = u->calls;
  int unused = u->was_reused && !u->has_received;
  if (u->replaced)
    report_replaced(u);
  if (!u->is_up)
    how = PWTCP_REFUSED;
  close_conn(u, how != PWTCP_EOF);
  if (calls)
    calls->failed(u->arg, how, unused);
}

static void make_idle(pw_upconn *u) {
  u->calls = NULL;
  u->idle_since = pwclock_ms();
  u->next = u->t->idle;
  u->t->idle = u;
}

/* --- answers --- */

static void read_keep_alive(pw_upconn *u) {
  int64_t ms = pwh1_keep_alive_ms(&u->answer);
  if (ms >= 0)
    u->idle_ms = ms;
}

static void on_body(void *arg, const char *data, size_t n) {
  pw_upconn *u = arg;
  if (u->calls && !u->is_stale && !u->is_closed)
    u->calls->body(u->arg, data, n);
}

/* Handles the head of an answer. It belongs to the current request or, if it is late, to an earlier one. */
static void on_head(pw_upconn *u) {
  pw_answer_info info;
  read_keep_alive(u);
  if (u->answer.parser.status_code / 100 == 1) {
    u->is_stale = 1;
    return;
  }
  u->is_stale = u->calls->is_stale(u->arg, &u->answer, &info);
  pwhint_apply(u->g, u->t, u->answer.parser.status_code, &info);
  if (!u->is_stale)
    u->calls->head(u->arg, &u->answer, &info);
}

/* Handles the end of an answer. `more`: bytes follow it. */
static void on_complete(pw_upconn *u, int more) {
  int keep = u->answer.keep;
  const pw_upconn_callbacks *calls = u->calls;
  if (u->is_stale) {
    u->is_stale = 0;
    if (keep && ++u->skipped <= SKIPPED_MAX)
      pwh1_reset(&u->answer);
    else
      fail(u, keep ? PWTCP_RESET : PWTCP_EOF);
    return;
  }
  /* Bytes that follow belong to no request; and no other request may follow a body that
  ** is still being written. */
  if (!keep || more || pwtcp_pending(u->tcp) > 0 || u->t->is_gone) {
    close_conn(u, 1);
  } else {
    pwh1_reset(&u->answer);
    make_idle(u);
  }
  calls->complete(u->arg);
}

/* Fails the request because its answer is malformed. */
static void fail_malformed(pw_upconn *u) {
  const char *why = u->answer.state == PWH1_TOO_LARGE
                        ? "the head is over its limit"
                        : pwh1_fault_text(u->answer.fault);
  pwcount_add(u->g->p->counters, PWC_GW_MALFORMED, 1);
  pwtrace_line(u->g->trace, PWTRACE_FAIL, pwclock_ms(), "answer-malformed",
               "target=%s why=\"%s\"", u->t->id, why);
  fail(u, PWTCP_RESET);
}

static void on_data(void *arg, const char *data, size_t n) {
  pw_upconn *u = arg;
  if (!u->calls) { /* the bytes belong to no request */
    close_conn(u, 1);
    return;
  }
  u->has_received = 1;
  u->t->received_at = pwclock_ms();
  while (n > 0 && u->calls && !u->is_closed) {
    pw_h1_state before = u->answer.state;
    size_t used = pwh1_feed(&u->answer, data, n);
    data += used;
    n -= used;
    if (u->is_closed)
      return;
    pw_h1_state now = u->answer.state;
    if (now == PWH1_BAD || now == PWH1_TOO_LARGE) {
      fail_malformed(u);
      return;
    }
    if (before == PWH1_HEAD && now != PWH1_HEAD)
      on_head(u);
    if (!u->is_closed && u->answer.state == PWH1_DONE)
      on_complete(u, n > 0);
  }
}

/* Whether the end of the connection may be the end of an answer. A target that ends it before it has received all of the
** request has not answered the request. */
static int may_end_answer(const pw_upconn *u, pw_tcp_end how) {
  return how == PWTCP_EOF && u->calls && !u->is_stale &&
         !pwtcp_has_unacknowledged(u->tcp);
}

static void on_ended(void *arg, pw_tcp_end how) {
  pw_upconn *u = arg;
  if (may_end_answer(u, how)) {
    pwh1_eof(&u->answer);
    if (u->answer.state == PWH1_DONE) {
      u->answer.keep = 0;
      on_complete(u, 0);
      return;
    }
  }
  fail(u, how);
}

/* --- sending --- */

static void on_connected(void *arg) {
  pw_upconn *u = arg;
  ev_timer_stop(u->g->ev, &u->connecting);
  u->t->received_at = pwclock_ms();
  u->is_up = 1;
  if (u->replaced) {
    make_idle(u);
    report_replaced(u);
    return;
  }
  pwtcp_write_borrowed(u->tcp, u->out.data, u->out.len, u->body.p, u->body.n);
  pwbuf_free(&u->out);
  if (u->calls)
    u->calls->sent(u->arg);
}

static const pw_tcp_callbacks tcp_calls = {on_connected, on_data, on_ended,
                                           NULL};

/* Fails a connection that was not established in time. Time for which the event loop was stalled does not
** count: the connection may have been established meanwhile, and the target must not be taken for lost. */
static void on_connect_timeout(struct ev_loop *ev, ev_timer *w, int events) {
  (void)ev;
  (void)events;
  pw_upconn *u = w->data;
  int64_t left = u->dialled_at + CONNECT_MS - pwtcp_clock(&u->g->tcp);
  if (left > 0)
    pwtcp_timer(&u->g->tcp, w, left);
  else
    fail(u, PWTCP_REFUSED);
}

static pw_upconn *open_conn(pw_gate *g, pw_target *t) {
  pw_upconn *u = pw_alloc(sizeof *u);
  u->g = g;
  u->t = pwfleet_retain(t);
  u->idle_ms = IDLE_DEFAULT_MS;
  pwh1_init(&u->answer, HTTP_RESPONSE, HEAD_MAX);
  u->answer.arg = u;
  u->answer.on_body = on_body;
  u->answer.head.memory = u->out.memory = g->p->memory;
  ev_timer_init(&u->connecting, on_connect_timeout, 0, 0);
  u->connecting.data = u;
  u->tcp = pwtcp_connect(&g->tcp, &t->addr, SILENT_MS, &tcp_calls, u);
  if (!u->tcp) {
    pwfleet_release(t);
    free(u);
    return NULL;
  }
  u->dialled_at = pwtcp_clock(&g->tcp);
  pwtcp_timer(&g->tcp, &u->connecting, CONNECT_MS);
  t->nconns++;
  pwcount_add(g->p->counters, PWC_GW_CONNECTS, 1);
  return u;
}

static int64_t longest_idle(const pw_upconn *u) {
  return u->idle_ms - IDLE_MARGIN_MS;
}

static pw_upconn *take_idle(pw_target *t, int64_t max_idle_ms, int64_t now) {
  pw_upconn *u = t->idle;
  if (!u)
    return NULL;
  int64_t idle = now - u->idle_since;
  if (idle > max_idle_ms || idle > longest_idle(u)) {
    close_conn(u, 0); /* the newest one: all others were idle for longer */
    return NULL;
  }
  t->idle = u->next;
  u->next = NULL;
  u->was_reused = 1;
  return u;
}

/* While a long body is sent, the request's own time limits hold in place of SILENT_MS, which would reset a target that does
** not read for a while. */
static void limit_silence(pw_upconn *u, size_t body_bytes) {
  int is_long = body_bytes > PW_LONG_BODY;
  if (is_long != u->has_long_body)
    pwtcp_set_silent(u->tcp, is_long ? 0 : SILENT_MS);
  u->has_long_body = is_long;
}

pw_upconn *pwupconn_send(pw_gate *g, pw_target *t, const pw_upconn_request *r,
                         const pw_upconn_callbacks *calls, void *arg) {
  pw_upconn *u = take_idle(t, r->max_idle_ms, pwclock_ms());
  if (!u)
    u = open_conn(g, t);
  if (!u)
    return NULL;
  u->calls = calls;
  u->arg = arg;
  u->has_received = 0;
  u->skipped = 0;
  u->answer.skip_body = r->is_head_only;
  limit_silence(u, r->body->len);
  if (u->is_up) {
    pwtcp_write_borrowed(u->tcp, r->head->data, r->head->len, r->body->data,
                         r->body->len);
    calls->sent(arg);
    return u;
  }
  pwbuf_add(&u->out, r->head->data, r->head->len);
  u->body = (pw_span){r->body->data, r->body->len};
  return u;
}

int pwupconn_replace(pw_gate *g, pw_target *t, pw_upconn_replaced *replaced) {
  if (t->replacement && t->replacement->replaced)
    return 1;
  t->replacement = open_conn(g, t);
  if (t->replacement)
    t->replacement->replaced = replaced;
  else if (errno == ECONNREFUSED)
    replaced(g, t, 0);
  else
    return 0;
  return 1;
}

void pwupconn_cancel_replacement(pw_target *t) {
  if (t->replacement)
    close_conn(t->replacement, 1);
}

int pwupconn_is_readable(const pw_upconn *u) {
  return u->is_up && pwtcp_is_readable(u->tcp);
}

int pwupconn_has_received(const pw_upconn *u) {
  return u->has_received || pwupconn_is_readable(u);
}

void pwupconn_pause(pw_upconn *u, int paused) {
  pwtcp_pause(u->tcp, paused);
}

/* --- idle connections --- */

void pwupconn_sweep(pw_target *t, int64_t now) {
  for (pw_upconn *u = t->idle, *next; u; u = next) {
    next = u->next;
    if (t->is_gone || now - u->idle_since > longest_idle(u))
      close_conn(u, 0);
  }
}
