/* pwclient.c: callers' connections: requests in, answers out. */
#include "pwgate.h"

#include "pwlog.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define AHEAD_MAX (256 * 1024) /* bytes read while a request is in progress */
#define HEAD_MAX_UNKNOWN 65536 /* until a configuration says the limit */
#define IDLE_UNKNOWN_MS 15000
#define MS_PER_S 1000.0

static void feed(pw_client *c, const char *data, size_t n);

/* --- ends --- */

static void close_client(pw_client *c, int reset) {
  if (c->is_closed)
    return;
  c->is_closed = 1;
  pw_exchange *x = c->exchange;
  c->exchange = NULL;
  if (x)
    pwexchange_abandon(x);
  if (reset)
    pwtcp_close(c->tcp, 1);
  else
    pwtcp_close_after_write(c->tcp);
  if (c->prev)
    c->prev->next = c->next;
  else
    c->g->clients = c->next;
  if (c->next)
    c->next->prev = c->prev;
  c->g->nclients--;
  pwh1_free(&c->request);
  pwbuf_free(&c->body);
  pwbuf_free(&c->ahead);
  pwgate_later(c->g, c);
}

void pwclient_break(pw_client *c) {
  close_client(c, 1);
}

/* --- answers --- */

static const char *reason_of(int status) {
  return http_status_str((enum http_status)status);
}

static int is_http10(const pw_client *c) {
  return c->request.parser.http_major == 1 && c->request.parser.http_minor == 0;
}

/* Whether the connection ends with this answer. */
static int ends_with_answer(const pw_client *c) {
  return c->close_next || !c->request.keep || c->g->stop_at;
}

static void next_request(pw_client *c) {
  c->is_busy = 0;
  c->exchange = NULL;
  if (ends_with_answer(c)) {
    close_client(c, 0);
    return;
  }
  pwh1_reset(&c->request);
  c->body.len = 0;
  c->since = pwclock_ms();
  if (c->ahead.len == 0)
    return;
  pw_buf rest = c->ahead;
  c->ahead = (pw_buf){0};
  pwtcp_pause(c->tcp, 0);
  feed(c, rest.data, rest.len);
  pwbuf_free(&rest);
}

static int is_head_only(const pw_client *c) {
  return c->request.state != PWH1_HEAD && c->request.parser.method == HTTP_HEAD;
}

void pwclient_answer(pw_client *c, int status, const char *lines,
                     const char *body, size_t n) {
  pw_buf head = {0};
  pwbuf_fmt(&head, "HTTP/1.1 %d %s\r\n%sContent-Length: %zu\r\n%s\r\n", status,
            reason_of(status), lines, n,
            ends_with_answer(c) ? "Connection: close\r\n" : "");
  pwtcp_write2(c->tcp, head.data, head.len, body, is_head_only(c) ? 0 : n);
  pwbuf_free(&head);
  next_request(c);
}

void pwclient_refuse(pw_client *c, pw_code code, const char *message,
                     int64_t retry_ms) {
  char lines[160];
  const char *text = message[0] ? message : pwcode_text(code);
  int n = snprintf(lines, sizeof lines,
                   "Content-Type: application/json\r\nPeatwell-Code: %d\r\n",
                   (int)code);
  if (retry_ms > 0)
    snprintf(lines + n, sizeof lines - (size_t)n, "Retry-After: %.3f\r\n",
             (double)retry_ms / MS_PER_S);
  json_t *o = json_pack("{s:{s:i,s:s,s:s}}", "error", "code", (int)code, "name",
                        pwcode_name(code), "message", text);
  char *body = json_dumps(o, JSON_COMPACT);
  json_decref(o);
  pwclient_answer(c, pwcode_http(code), lines, body ? body : "{}",
                  body ? strlen(body) : 2);
  free(body);
}

void pwclient_begin(pw_client *c, int status, const char *lines) {
  if (is_http10(c))
    c->close_next = 1;
  pw_buf head = {0};
  pwbuf_fmt(&head, "HTTP/1.1 %d %s\r\n%s%s%s\r\n", status, reason_of(status),
            lines, is_http10(c) ? "" : "Transfer-Encoding: chunked\r\n",
            ends_with_answer(c) ? "Connection: close\r\n" : "");
  pwtcp_write(c->tcp, head.data, head.len);
  pwbuf_free(&head);
}

void pwclient_piece(pw_client *c, const char *data, size_t n) {
  if (n == 0)
    return;
  if (is_http10(c)) {
    pwtcp_write(c->tcp, data, n);
    return;
  }
  pw_buf b = {0};
  pwbuf_fmt(&b, "%zx\r\n", n);
  pwbuf_add(&b, data, n);
  pwbuf_add(&b, "\r\n", 2);
  pwtcp_write(c->tcp, b.data, b.len);
  pwbuf_free(&b);
}

void pwclient_end(pw_client *c) {
  if (!is_http10(c))
    pwtcp_write(c->tcp, "0\r\n\r\n", 5);
  next_request(c);
}

/* --- requests --- */

static void refuse_and_close(pw_client *c, pw_code code, const char *message) {
  c->close_next = 1;
  pwclient_refuse(c, code, message, 0);
}

static size_t body_limit(const pw_client *c) {
  return c->g->site ? (size_t)pwsite_limits(c->g->site)->body_bytes
                    : PW_BODY_MAX;
}

static void on_body(void *arg, const char *data, size_t n) {
  pw_client *c = arg;
  if (c->body.len <= body_limit(c))
    pwbuf_add(&c->body, data, n);
}

/* A head has come. Gives 0 when it was refused. */
static int check_head(pw_client *c) {
  const pw_h1 *m = &c->request;
  uint64_t length =
      m->parser.flags & F_CONTENTLENGTH ? m->parser.content_length : 0;
  if (length > body_limit(c)) {
    refuse_and_close(c, PW_E_TOO_LARGE, "the body is over its limit");
    return 0;
  }
  if (m->has_body && pwh1_find(m, "Expect"))
    pwtcp_write(c->tcp, "HTTP/1.1 100 Continue\r\n\r\n", 25);
  return 1;
}

/* Gives 0 when no more is to be read for now. */
static int check_state(pw_client *c) {
  switch (c->request.state) {
  case PWH1_BAD:
    refuse_and_close(c, PW_E_REQUEST, "");
    return 0;
  case PWH1_TOO_LARGE:
    refuse_and_close(c, PW_E_HEAD_TOO_LARGE, "");
    return 0;
  case PWH1_DONE:
    if (c->body.len > body_limit(c)) {
      refuse_and_close(c, PW_E_TOO_LARGE, "the body is over its limit");
      return 0;
    }
    c->is_busy = 1;
    c->handle(c);
    return 0;
  default:
    return 1;
  }
}

static size_t head_limit(const pw_client *c) {
  return c->g->site ? (size_t)pwsite_limits(c->g->site)->header_bytes
                    : HEAD_MAX_UNKNOWN;
}

/* Bytes past a whole request are kept before it is handled: its answer may
** come at once and want the next. */
static void keep_ahead(pw_client *c, const char *data, size_t n) {
  pwbuf_add(&c->ahead, data, n);
  if (c->ahead.len > AHEAD_MAX)
    pwtcp_pause(c->tcp, 1);
}

static void feed(pw_client *c, const char *data, size_t n) {
  while (n > 0) {
    if (c->is_busy) {
      keep_ahead(c, data, n);
      return;
    }
    pw_h1_state before = c->request.state;
    if (before == PWH1_HEAD && c->request.head.len == 0) {
      c->since = pwclock_ms();
      c->request.head_max = head_limit(c);
    }
    size_t used = pwh1_take(&c->request, data, n);
    data += used;
    n -= used;
    int had_head = before == PWH1_HEAD && (c->request.state == PWH1_BODY ||
                                           c->request.state == PWH1_DONE);
    if (had_head && !check_head(c))
      return;
    if (c->request.state == PWH1_DONE && n > 0) {
      keep_ahead(c, data, n);
      n = 0;
    }
    if (!check_state(c))
      return;
    if (used == 0 && c->request.state == before)
      return;
  }
}

static void on_data(void *arg, const char *data, size_t n) {
  feed(arg, data, n);
}

static void on_ended(void *arg, pw_tcp_end how) {
  (void)how;
  close_client(arg, 1);
}

static void on_drained(void *arg) {
  pw_client *c = arg;
  if (c->exchange)
    pwexchange_resume(c->exchange);
}

static void on_connected(void *arg) {
  (void)arg;
}

static const pw_tcp_calls calls = {on_connected, on_data, on_ended, on_drained};

void pwclient_new(pw_gate *g, int fd, void (*handle)(pw_client *c)) {
  pw_client *c = pw_alloc(sizeof *c);
  c->g = g;
  c->handle = handle;
  pwh1_init(&c->request, HTTP_REQUEST, HEAD_MAX_UNKNOWN);
  c->request.arg = c;
  c->request.on_body = on_body;
  c->since = pwclock_ms();
  c->tcp = pwtcp_accepted(&g->tcp, fd, &calls, c);
  c->next = g->clients;
  if (c->next)
    c->next->prev = c;
  g->clients = c;
  g->nclients++;
}

/* --- connections that rest or dawdle --- */

/* No request is in progress, and none has come: after the process stood still
** one may wait to be read. */
static int is_at_rest(const pw_client *c) {
  return !c->is_busy && c->request.state == PWH1_HEAD &&
         c->request.head.len == 0 && !pwtcp_has_unread(c->tcp);
}

static void sweep_one(pw_client *c, int64_t now) {
  const pw_site_limits *l = c->g->site ? pwsite_limits(c->g->site) : NULL;
  if (c->is_busy)
    return;
  int64_t age = now - c->since;
  if (c->request.state == PWH1_HEAD && c->request.head.len == 0) {
    if (age > (l ? l->idle_timeout_ms : IDLE_UNKNOWN_MS) && is_at_rest(c))
      close_client(c, 0);
  } else if (c->request.state == PWH1_HEAD) {
    if (l && age > l->header_timeout_ms)
      refuse_and_close(c, PW_E_SLOW, "");
  } else if (l && age > l->header_timeout_ms + l->idle_timeout_ms) {
    refuse_and_close(c, PW_E_SLOW, "");
  }
}

void pwclient_close_idle(pw_gate *g) {
  for (pw_client *c = g->clients, *next; c; c = next) {
    next = c->next;
    if (is_at_rest(c))
      close_client(c, 0);
  }
}

void pwclient_sweep(pw_gate *g, int64_t now) {
  for (pw_client *c = g->clients, *next; c; c = next) {
    next = c->next;
    sweep_one(c, now);
  }
}
