/* pwconn.c: callers' connections: requests in, answers out. */
#define _GNU_SOURCE
#include "pwconn.h"

#include "pwclock.h"
#include "pwlog.h"

#include <errno.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define AHEAD_MAX (256 * 1024) /* bytes read while a request is in progress */
#define UNTAKEN_MAX                                                            \
  (64 * 1024)                /* of answers; past that the next request waits */
#define KEPT_MAX (16 * 1024) /* a larger body's memory is given back after it */
#define MS_PER_S 1000.0

/* To make room, this part of those at rest are closed at once: they cost their callers a new
** connection each, so few; but finding the longest at rest looks at all of them. */
#define BATCH_PART 8

/* Where nobody rests, accept is tried again so soon: a descriptor may come back unseen, from
** another part of the process. Seen at once where a connection of the same listener ends. */
#define AGAIN_MS 50

#define SAY_MS 1000 /* between log lines of accepts that fail */

static void take(pw_conn *c, const char *data, size_t n);

/* --- ends --- */

/* Callers wait in the kernel's queue while as many as are allowed are here. */
static void resume_accepting(pw_conns *s) {
  if (s->listening.fd >= 0 && !ev_is_active(&s->listening))
    ev_io_start(s->tcp->ev, &s->listening);
}

typedef enum close_how {
  CLOSE_AFTER_WRITE, /* when what was written has left and the caller closes, too */
  CLOSE_AT_ONCE,     /* its descriptor is needed; what was written has left */
  CLOSE_RESET
} close_how;

static void close_conn(pw_conn *c, close_how how) {
  if (c->is_closed)
    return;
  c->is_closed = 1;
  pw_conns *all = c->all;
  void *request = c->state;
  c->state = NULL;
  if (request && all->abandoned)
    all->abandoned(request);
  if (how == CLOSE_AFTER_WRITE)
    pwtcp_close_after_write(c->tcp);
  else
    pwtcp_close(c->tcp, how == CLOSE_RESET);
  if (c->prev)
    c->prev->next = c->next;
  else
    all->first = c->next;
  if (c->next)
    c->next->prev = c->prev;
  all->count--;
  resume_accepting(all);
  pwh1_free(&c->request);
  pwbuf_free(&c->body);
  pwbuf_free(&c->ahead);
  c->next = all->dead;
  all->dead = c;
}

void pwconn_break(pw_conn *c) {
  close_conn(c, CLOSE_RESET);
}

/* --- answers --- */

static const char *reason_of(int status) {
  return http_status_str((enum http_status)status);
}

static int is_http10(const pw_conn *c) {
  return c->request.parser.http_major == 1 && c->request.parser.http_minor == 0;
}

/* Whether the connection ends with this answer. */
static int ends_with_answer(const pw_conn *c) {
  return c->close_next || !c->request.keep || c->all->is_stopping;
}

static void take_ahead(pw_conn *c);

static void next_request(pw_conn *c) {
  c->is_busy = 0;
  c->state = NULL;
  if (ends_with_answer(c)) {
    close_conn(c, CLOSE_AFTER_WRITE);
    return;
  }
  pwh1_reset(&c->request);
  c->body.len = 0;
  if (c->body.cap > KEPT_MAX)
    pwbuf_free(&c->body);
  c->since = pwtcp_clock(c->all->tcp);
  if (pwtcp_pending(c->tcp) > UNTAKEN_MAX)
    c->is_held_up = c->is_busy = 1;
  else
    take_ahead(c);
}

/* What came meanwhile is the next request. */
static void take_ahead(pw_conn *c) {
  if (c->is_taking || c->ahead.len == 0)
    return;
  pw_buf ahead = c->ahead;
  c->ahead = (pw_buf){0};
  pwtcp_pause(c->tcp, 0);
  take(c, ahead.data, ahead.len);
  pwbuf_free(&ahead);
}

static int is_head_only(const pw_conn *c) {
  return c->request.state != PWH1_HEAD && c->request.parser.method == HTTP_HEAD;
}

void pwconn_answer(pw_conn *c, int status, const char *lines, const char *body,
                   size_t n) {
  pw_buf head = {0};
  pwbuf_fmt(&head, "HTTP/1.1 %d %s\r\n%sContent-Length: %zu\r\n%s\r\n", status,
            reason_of(status), lines, n,
            ends_with_answer(c) ? "Connection: close\r\n" : "");
  pwtcp_write2(c->tcp, head.data, head.len, body, is_head_only(c) ? 0 : n);
  pwbuf_free(&head);
  next_request(c);
}

/* `more` are header lines besides. */
static void refuse(pw_conn *c, pw_code code, const char *message,
                   const char *more) {
  char lines[160];
  const char *text = message[0] ? message : pwcode_text(code);
  snprintf(lines, sizeof lines,
           "Content-Type: application/json\r\nPeatwell-Code: %d\r\n%s",
           (int)code, more);
  json_t *o = json_pack("{s:{s:i,s:s,s:s}}", "error", "code", (int)code, "name",
                        pwcode_name(code), "message", text);
  char *body = json_dumps(o, JSON_COMPACT);
  json_decref(o);
  pwconn_answer(c, pwcode_http(code), lines, body ? body : "{}",
                body ? strlen(body) : 2);
  free(body);
}

void pwconn_refuse(pw_conn *c, pw_code code, const char *message,
                   int64_t retry_ms) {
  char more[40] = "";
  if (retry_ms > 0)
    snprintf(more, sizeof more, "Retry-After: %.3f\r\n",
             (double)retry_ms / MS_PER_S);
  refuse(c, code, message, more);
}

void pwconn_begin(pw_conn *c, int status, const char *lines) {
  if (is_http10(c))
    c->close_next = 1;
  pw_buf head = {0};
  pwbuf_fmt(&head, "HTTP/1.1 %d %s\r\n%s%s%s\r\n", status, reason_of(status),
            lines, is_http10(c) ? "" : "Transfer-Encoding: chunked\r\n",
            ends_with_answer(c) ? "Connection: close\r\n" : "");
  pwtcp_write(c->tcp, head.data, head.len);
  pwbuf_free(&head);
}

void pwconn_piece(pw_conn *c, const char *data, size_t n) {
  if (n == 0)
    return;
  if (is_http10(c)) {
    pwtcp_write(c->tcp, data, n);
    return;
  }
  pw_buf *b = &c->all->chunk;
  b->len = 0;
  pwbuf_fmt(b, "%zx\r\n", n);
  pwbuf_add(b, data, n);
  pwbuf_add(b, "\r\n", 2);
  pwtcp_write(c->tcp, b->data, b->len);
}

void pwconn_end(pw_conn *c) {
  if (!is_http10(c))
    pwtcp_write(c->tcp, "0\r\n\r\n", 5);
  next_request(c);
}

/* --- requests --- */

/* A request that did not come whole, or is none: nobody has seen it. */
static void refuse_and_close(pw_conn *c, pw_code code, const char *message) {
  c->close_next = 1;
  refuse(c, code, message, "Peatwell-Outcome: not-run\r\n");
}

static void on_body(void *arg, const char *data, size_t n) {
  pw_conn *c = arg;
  if (c->body.len <= c->body_max)
    pwbuf_add(&c->body, data, n);
}

static size_t longest_body(const pw_conns *s) {
  size_t most = s->limits.body_bytes;
  return s->body_room && s->body_room < most ? s->body_room : most;
}

/* It is longer than is allowed, or than there is room for now. */
static void refuse_body(pw_conn *c, uint64_t length) {
  if (length > c->all->limits.body_bytes)
    refuse_and_close(c, PW_E_TOO_LARGE, "the body is over its limit");
  else
    refuse_and_close(c, PW_E_BUSY, "no room for its body now");
}

/* A head has come. Gives 0 when it was refused. */
static int check_head(pw_conn *c) {
  const pw_h1 *m = &c->request;
  uint64_t length =
      m->parser.flags & F_CONTENTLENGTH ? m->parser.content_length : 0;
  c->body_max = longest_body(c->all);
  if (length > c->body_max) {
    refuse_body(c, length);
    return 0;
  }
  if (m->has_body && pwh1_find(m, "Expect"))
    pwtcp_write(c->tcp, "HTTP/1.1 100 Continue\r\n\r\n", 25);
  return 1;
}

/* Gives 0 when no more is to be read for now. */
static int check_state(pw_conn *c) {
  switch (c->request.state) {
  case PWH1_BAD:
    refuse_and_close(c, PW_E_REQUEST, "");
    return 0;
  case PWH1_TOO_LARGE:
    refuse_and_close(c, PW_E_HEAD_TOO_LARGE, "");
    return 0;
  case PWH1_DONE:
    if (c->body.len > c->body_max) {
      refuse_body(c, c->body.len);
      return 0;
    }
    c->is_busy = 1;
    c->all->handle(c);
    return 0;
  default:
    return 1;
  }
}

static void keep_ahead(pw_conn *c, const char *data, size_t n) {
  size_t most = c->all->ahead_max ? c->all->ahead_max : AHEAD_MAX;
  pwbuf_add(&c->ahead, data, n);
  if (c->ahead.len > most)
    pwtcp_pause(c->tcp, 1);
}

/* Takes bytes until a request is whole and was handled; gives how many. */
static size_t take_some(pw_conn *c, const char *data, size_t n) {
  pw_h1_state before = c->request.state;
  if (before == PWH1_HEAD && c->request.head.len == 0) {
    c->since = pwtcp_clock(c->all->tcp);
    c->request.head_max = c->all->limits.header_bytes;
  }
  size_t used = pwh1_take(&c->request, data, n);
  c->behind = n - used;
  pw_h1_state now = c->request.state;
  int had_head = before == PWH1_HEAD && (now == PWH1_BODY || now == PWH1_DONE);
  if (had_head && !check_head(c))
    return n;
  if (!check_state(c))
    return used;
  return used || now != before ? used : n;
}

/* Takes what has come: requests that are answered at once follow one another here,
** not each within the one before. What follows one in progress is kept. */
static void take(pw_conn *c, const char *data, size_t n) {
  c->is_taking = 1;
  while (n > 0 && !c->is_busy && !c->is_closed) {
    size_t used = take_some(c, data, n);
    data += used;
    n -= used;
  }
  c->is_taking = 0;
  c->behind = 0;
  if (n > 0 && !c->is_closed)
    keep_ahead(c, data, n);
}

static void on_data(void *arg, const char *data, size_t n) {
  pw_conn *c = arg;
  if (c->is_busy)
    keep_ahead(c, data, n);
  else
    take(c, data, n);
}

static void on_ended(void *arg, pw_tcp_end how) {
  (void)how;
  close_conn(arg, CLOSE_RESET);
}

static void on_drained(void *arg) {
  pw_conn *c = arg;
  if (c->state && c->all->resume)
    c->all->resume(c->state);
  if (c->is_closed)
    return;
  if (!c->is_busy)
    c->since = pwtcp_clock(c->all->tcp);
  if (!c->is_held_up)
    return;
  c->is_held_up = c->is_busy = 0;
  take_ahead(c);
}

static void on_connected(void *arg) {
  (void)arg;
}

static const pw_tcp_calls calls = {on_connected, on_data, on_ended, on_drained};

static void add_conn(pw_conns *s, int fd) {
  pw_conn *c = pw_alloc(sizeof *c);
  c->all = s;
  pwh1_init(&c->request, HTTP_REQUEST, s->limits.header_bytes);
  c->request.arg = c;
  c->request.on_body = on_body;
  c->since = pwtcp_clock(s->tcp);
  c->next = s->first;
  if (c->next)
    c->next->prev = c;
  s->first = c;
  s->count++;
  if (s->send_bytes)
    setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &s->send_bytes, sizeof s->send_bytes);
  c->tcp = pwtcp_accepted(s->tcp, fd, s->keys, &calls, c);
}

/* --- listening --- */

/* No request is in progress, and none has come: after the process stood still
** one may wait to be read. */
static int is_at_rest(const pw_conn *c) {
  return !c->is_busy && c->request.state == PWH1_HEAD &&
         c->request.head.len == 0 && !pwtcp_has_unread(c->tcp);
}

static int by_since(const void *a, const void *b) {
  int64_t x = (*(pw_conn *const *)a)->since;
  int64_t y = (*(pw_conn *const *)b)->since;
  return (x > y) - (x < y);
}

/* Those at rest, the longest first, to be freed; gives how many. */
static int list_at_rest(const pw_conns *s, pw_conn ***out) {
  pw_conn **at_rest = pw_alloc(sizeof *at_rest * (size_t)(s->count + 1));
  int n = 0;
  for (pw_conn *c = s->first; c; c = c->next)
    if (is_at_rest(c))
      at_rest[n++] = c;
  qsort(at_rest, (size_t)n, sizeof(pw_conn *), by_since);
  *out = at_rest;
  return n;
}

/* Closes some of those that have rested longest, so that their descriptors are free now: one
** that waits for its caller to close keeps it for up to a second, and those at rest would all
** be closed meanwhile. Gives how many. */
static int close_longest_at_rest(pw_conns *s) {
  pw_conn **at_rest;
  int n = list_at_rest(s, &at_rest);
  int batch = (n + BATCH_PART - 1) / BATCH_PART;
  for (int i = 0; i < batch; i++)
    close_conn(at_rest[i], pwtcp_pending(at_rest[i]->tcp) ? CLOSE_AFTER_WRITE
                                                          : CLOSE_AT_ONCE);
  free(at_rest);
  return batch;
}

/* Whether one more may come; those that are being closed have their descriptors yet. */
static int is_full(const pw_conns *s) {
  return s->max && s->count + s->tcp->nclosing >= s->max;
}

static int has_room(pw_conns *s) {
  if (is_full(s))
    close_longest_at_rest(s);
  return !is_full(s);
}

/* Callers wait in the kernel's queue: until a connection ends, or for a moment. */
static void wait_for_room(pw_conns *s) {
  ev_io_stop(s->tcp->ev, &s->listening);
  pwtcp_timer(s->tcp, &s->again, AGAIN_MS);
}

static void on_again(struct ev_loop *ev, ev_timer *w, int events) {
  (void)ev;
  (void)events;
  resume_accepting(w->data);
}

static void note_failed(pw_conns *s, int why) {
  int64_t now = pwclock_ms();
  s->nfailed++;
  if (s->said_at && now - s->said_at < SAY_MS)
    return;
  pwlog(LOG_WARNING, "accept-failed",
        "errno=%d connections=%d closing=%d times=%d", why, s->count,
        s->tcp->nclosing, s->nfailed - s->nsaid);
  s->nsaid = s->nfailed;
  s->said_at = now;
}

static int lacks_descriptor(int why) {
  return why == EMFILE || why == ENFILE;
}

static void on_listening(struct ev_loop *ev, ev_io *w, int events) {
  (void)ev;
  (void)events;
  pw_conns *s = w->data;
  int has_closed = 0;
  while (has_room(s)) {
    int fd = accept4(w->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd >= 0) {
      add_conn(s, fd);
      has_closed = 0;
      continue;
    }
    int why = errno;
    if (why == EAGAIN)
      return;
    if (why == EINTR || why == ECONNABORTED)
      continue;
    note_failed(s, why);
    if (has_closed || !lacks_descriptor(why) || close_longest_at_rest(s) == 0)
      break;
    has_closed = 1;
  }
  wait_for_room(s);
}

static void on_reap(struct ev_loop *ev, ev_prepare *w, int events) {
  (void)ev;
  (void)events;
  pw_conns *s = w->data;
  while (s->dead) {
    pw_conn *c = s->dead;
    s->dead = c->next;
    free(c);
  }
}

void pwconns_start(pw_conns *s, int fd) {
  ev_prepare_init(&s->reap, on_reap);
  ev_io_init(&s->listening, on_listening, fd, EV_READ);
  ev_timer_init(&s->again, on_again, 0, 0);
  s->reap.data = s->listening.data = s->again.data = s;
  ev_prepare_start(s->tcp->ev, &s->reap);
  ev_io_start(s->tcp->ev, &s->listening);
}

void pwconns_unlisten(pw_conns *s) {
  if (!s->reap.data || s->listening.fd < 0)
    return;
  ev_io_stop(s->tcp->ev, &s->listening);
  ev_timer_stop(s->tcp->ev, &s->again);
  close(s->listening.fd);
  s->listening.fd = -1;
}

void pwconns_end(pw_conns *s) {
  if (!s->reap.data)
    return; /* was never started */
  pwconns_unlisten(s);
  while (s->first)
    pwconn_break(s->first);
  ev_prepare_stop(s->tcp->ev, &s->reap);
  on_reap(s->tcp->ev, &s->reap, 0);
  pwbuf_free(&s->chunk);
}

int pwconn_has_more(const pw_conn *c) {
  return c->behind > 0 || c->ahead.len > 0 || pwtcp_has_unread(c->tcp);
}

int pwconn_path_is(const pw_conn *c, const char *path) {
  return c->request.nurl == strlen(path) &&
         !memcmp(c->request.url, path, c->request.nurl);
}

/* --- connections that rest or dawdle --- */

/* Its caller has not taken its answer yet; pwconns_check ends it if it does not. */
static int is_awaited(const pw_conn *c) {
  return c->all->stall_whole_ms && pwtcp_pending(c->tcp) > 0;
}

/* `now` by pwtcp_clock: a caller is not late for what the loop stood still. */
static void sweep_one(pw_conn *c, int64_t now) {
  const pw_conn_limits *l = &c->all->limits;
  if (c->is_busy)
    return;
  int64_t age = now - c->since;
  int64_t header_ms = l->header_ms ? l->header_ms : l->idle_ms;
  if (c->request.state == PWH1_HEAD && c->request.head.len == 0) {
    if (age > l->idle_ms && is_at_rest(c) && !is_awaited(c))
      close_conn(c, CLOSE_AFTER_WRITE);
  } else if (c->request.state == PWH1_HEAD) {
    if (age > header_ms)
      refuse_and_close(c, PW_E_SLOW, "");
  } else if (age > header_ms + l->idle_ms) {
    refuse_and_close(c, PW_E_SLOW, "");
  }
}

/* --- callers that do not read --- */

/* `now` by pwtcp_clock. */
static int has_stalled(pw_conn *c, int64_t now) {
  uint64_t taken = pwtcp_taken(c->tcp);
  if (pwtcp_pending(c->tcp) == 0 || taken != c->taken || !c->taken_at) {
    c->taken = taken;
    c->taken_at = now;
  }
  int64_t most = c->state ? c->all->stall_ms : c->all->stall_whole_ms;
  return most && now - c->taken_at >= most;
}

static void note_stalled(pw_conns *s, const pw_conn *c, int64_t now) {
  s->nstalled++;
  if (s->stalled_at && now - s->stalled_at < SAY_MS)
    return;
  s->stalled_at = now;
  pwlog(LOG_NOTICE, "caller-stalled",
        "ms=%lld untaken_bytes=%zu times=%lld connections=%d",
        (long long)(now - c->taken_at), pwtcp_pending(c->tcp),
        (long long)s->nstalled, s->count);
}

size_t pwconns_check(pw_conns *s, int64_t at) {
  int64_t now = pwlag_clock(&s->tcp->lag, at);
  size_t held = 0;
  for (pw_conn *c = s->first, *next; c; c = next) {
    next = c->next;
    if (has_stalled(c, now)) {
      note_stalled(s, c, now);
      close_conn(c, CLOSE_RESET);
      continue;
    }
    held += pwtcp_held(c->tcp) + c->body.cap + c->ahead.cap;
  }
  return held;
}

void pwconns_close_idle(pw_conns *s) {
  for (pw_conn *c = s->first, *next; c; c = next) {
    next = c->next;
    if (is_at_rest(c))
      close_conn(c, CLOSE_AFTER_WRITE);
  }
}

void pwconns_sweep(pw_conns *s, int64_t at) {
  int64_t now = pwlag_clock(&s->tcp->lag, at);
  for (pw_conn *c = s->first, *next; c; c = next) {
    next = c->next;
    sweep_one(c, now);
  }
}
