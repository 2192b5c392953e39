/* pwconn.c: HTTP/1 connections of callers: reads requests, writes answers. */
#define _GNU_SOURCE
#include "pwconn.h"

#include "pwclock.h"
#include "pwconnint.h"
#include "pwconnmem.h"
#include "pwlog.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

/* Bytes read ahead while a request is in progress, before reading pauses. */
#define READ_AHEAD_MAX (256 * 1024)

/* Bytes of answers that wait for the caller; above that its next request is not started. */
#define PENDING_MAX (64 * 1024)

/* Bytes of a body buffer that are kept for the next request; a larger buffer is freed. */
#define BODY_RETAIN_MAX (16 * 1024)
#define MS_PER_S 1000.0

static void parse(pw_conn *c, const char *data, size_t n);

/* --- closing --- */

/* Pauses or resumes reading. While nothing is read, what the kernel may hold counts as memory of the process. */
static void set_paused(pw_conn *c, int is_paused) {
  if (is_paused == c->is_paused)
    return;
  c->is_paused = is_paused;
  pwtcp_pause(c->tcp, is_paused);
  if (is_paused)
    pwmemory_charge(c->all->tcp->memory, PWTCP_RECEIVE_BYTES);
  else
    pwmemory_release(c->all->tcp->memory, PWTCP_RECEIVE_BYTES);
}

void pwconni_close(pw_conn *c, pw_conn_close how) {
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
  pwconni_resume_accepting(all);
  set_paused(c, 0);
  pwh1_free(&c->request);
  pwbuf_free(&c->body);
  pwbuf_free(&c->read_ahead);
  c->next = all->dead;
  all->dead = c;
}

void pwconn_abort(pw_conn *c) {
  pwconni_close(c, CLOSE_RESET);
}

/* --- answers --- */

static const char *reason_of(int status) {
  return http_status_str((enum http_status)status);
}

static int is_http10(const pw_conn *c) {
  return c->request.parser.http_major == 1 && c->request.parser.http_minor == 0;
}

/* Whether this answer closes the connection. */
static int ends_with_answer(const pw_conn *c) {
  return c->close_next || c->drops_input || !c->request.keep ||
         c->all->is_stopping;
}

static void parse_read_ahead(pw_conn *c);

static void next_request(pw_conn *c) {
  c->is_busy = 0;
  c->state = NULL;
  if (ends_with_answer(c)) {
    pwconni_close(c, CLOSE_AFTER_WRITE);
    return;
  }
  pwh1_reset(&c->request);
  c->body.len = 0;
  if (c->body.cap > BODY_RETAIN_MAX || pwmemory_is_short(c->all->tcp->memory))
    pwbuf_free(&c->body);
  c->since = pwtcp_clock(c->all->tcp);
  if (pwtcp_pending(c->tcp) > PENDING_MAX)
    c->is_throttled = c->is_busy = 1;
  else
    parse_read_ahead(c);
}

/* Parses the bytes received during the previous request. */
static void parse_read_ahead(pw_conn *c) {
  if (c->is_parsing || c->read_ahead.len == 0)
    return;
  pw_buf read_ahead = c->read_ahead;
  c->read_ahead = (pw_buf){.memory = read_ahead.memory};
  set_paused(c, 0);
  parse(c, read_ahead.data, read_ahead.len);
  pwbuf_free(&read_ahead);
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

/* Answers with an error as JSON; `more` are further header lines. */
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

void pwconn_write(pw_conn *c, const char *data, size_t n) {
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

#define NOT_RUN "Peatwell-Outcome: not-run\r\n"

void pwconni_refuse_and_close(pw_conn *c, pw_code code, const char *message) {
  c->close_next = 1;
  refuse(c, code, message, NOT_RUN);
}

/* Counts and logs a refusal; at most one line a second. */
static void note_refused(const pw_conn *c, pw_conn_lack lack) {
  pw_conns *s = c->all;
  s->nrefused++;
  const pw_memory *m = s->tcp->memory;
  int64_t now = pwclock_ms();
  if (s->refused_logged_at &&
      now - s->refused_logged_at < PWCONN_LOG_INTERVAL_MS)
    return;
  s->refused_logged_at = now;
  pwlog(LOG_NOTICE, lack == LACKS_MEMORY ? "memory-short" : "connections-short",
        "held_bytes=%zu limit_bytes=%zu received_bytes=%zu connections=%d "
        "times=%lld",
        pwmemory_used(m), m ? m->limit : 0, c->request.head.len + c->body.len,
        s->count, (long long)s->nrefused);
}

void pwconni_refuse_busy(pw_conn *c, pw_conn_lack lack) {
  char lines[80];
  note_refused(c, lack);
  snprintf(lines, sizeof lines, NOT_RUN "Retry-After: %.3f\r\n",
           (double)pwconnmem_retry_ms(c->all) / MS_PER_S);
  c->close_next = 1;
  refuse(c, PW_E_BUSY,
         lack == LACKS_MEMORY ? "no memory for the request now"
                              : "no connection for a slow request now",
         lines);
}

void pwconn_refuse_for_memory(pw_conn *c, const char *message) {
  note_refused(c, LACKS_MEMORY);
  pwconn_refuse(c, PW_E_BUSY, message, pwconnmem_retry_ms(c->all));
}

/* Keeps bytes of a body. Bytes that may not be kept are dropped, and body_fault tells why: the parser that calls this
** cannot be ended here. */
static void on_body(void *arg, const char *data, size_t n) {
  pw_conn *c = arg;
  if (c->body_fault)
    return;
  if (n > c->body_max - c->body.len)
    c->body_fault = PW_E_TOO_LARGE;
  else if (!pwconnmem_reserve_body(c, n))
    c->body_fault = PW_E_BUSY;
  else
    pwbuf_add(&c->body, data, n);
}

/* Refuses a body that is longer than allowed, or than the memory available now. */
static void refuse_body(pw_conn *c, pw_code fault) {
  if (fault == PW_E_TOO_LARGE)
    pwconni_refuse_and_close(c, fault, "the request body is over its limit");
  else
    pwconni_refuse_busy(c, LACKS_MEMORY);
}

/* Reserves the memory of a body of a known length. */
static pw_code reserve_body(pw_conn *c, uint64_t length) {
  if (length > c->body_max)
    return PW_E_TOO_LARGE;
  return length == 0 || pwconnmem_reserve_body(c, (size_t)length) ? PW_OK
                                                                  : PW_E_BUSY;
}

/* Checks a complete head; returns 0 when the request was refused. */
static int check_head(pw_conn *c) {
  const pw_h1 *m = &c->request;
  uint64_t length =
      m->parser.flags & F_CONTENTLENGTH ? m->parser.content_length : 0;
  c->body_max = c->all->limits.body_bytes;
  c->body_fault = PW_OK;
  pw_code fault = reserve_body(c, length);
  if (fault) {
    refuse_body(c, fault);
    return 0;
  }
  if (m->has_body && pwh1_find(m, "Expect"))
    pwtcp_write(c->tcp, "HTTP/1.1 100 Continue\r\n\r\n", 25);
  return 1;
}

static void refuse_malformed(pw_conn *c) {
  pw_h1_fault fault = c->request.fault;
  pwconni_refuse_and_close(
      c, fault == PWH1_TRANSFER_CODING ? PW_E_CODING : PW_E_REQUEST,
      pwh1_fault_text(fault));
}

/* Acts on the parser's state; returns 0 when parsing must stop for now. */
static int check_state(pw_conn *c) {
  if (c->body_fault) {
    refuse_body(c, c->body_fault);
    return 0;
  }
  switch (c->request.state) {
  case PWH1_BAD:
    refuse_malformed(c);
    return 0;
  case PWH1_TOO_LARGE:
    pwconni_refuse_and_close(c, PW_E_HEAD_TOO_LARGE, "");
    return 0;
  case PWH1_DONE:
    c->is_busy = 1;
    c->all->handle(c);
    return 0;
  default:
    return 1;
  }
}

/* Drops bytes that follow the request in progress. Requests in them are not read, and the answer closes the
** connection. */
static void drop_input(pw_conn *c, size_t n) {
  c->drops_input = 1;
  c->dropped += c->read_ahead.len + n;
  pwbuf_free(&c->read_ahead);
  set_paused(c, c->dropped > PWTCP_DISCARD_MAX);
}

/* Keeps bytes that follow the request in progress, if there is memory for them. */
static void buffer_read_ahead(pw_conn *c, const char *data, size_t n) {
  size_t max = c->all->read_ahead_max ? c->all->read_ahead_max : READ_AHEAD_MAX;
  if (c->drops_input || !pwconnmem_takes_ahead(c, n)) {
    drop_input(c, n);
    return;
  }
  pwbuf_add(&c->read_ahead, data, n);
  if (c->read_ahead.len > max)
    set_paused(c, 1);
}

/* Parses bytes until a request is complete and handled; returns how many were used. */
static size_t parse_some(pw_conn *c, const char *data, size_t n) {
  pw_h1_state before = c->request.state;
  if (before == PWH1_HEAD && c->request.head.len == 0) {
    c->since = pwtcp_clock(c->all->tcp);
    c->request.head_max = c->all->limits.header_bytes;
  }
  if (before == PWH1_HEAD && !pwconnmem_takes_head(c, n)) {
    pwconni_refuse_busy(c, LACKS_MEMORY);
    return n;
  }
  size_t used = pwh1_feed(&c->request, data, n);
  c->unparsed = n - used;
  pw_h1_state now = c->request.state;
  int had_head = before == PWH1_HEAD && (now == PWH1_BODY || now == PWH1_DONE);
  if (had_head && !check_head(c))
    return n;
  if (!check_state(c))
    return used;
  return used || now != before ? used : n;
}

/* Parses received bytes. Pipelined requests that are answered at once are handled in this loop
** and not recursively; bytes that follow a request in progress are buffered. */
static void parse(pw_conn *c, const char *data, size_t n) {
  c->is_parsing = 1;
  while (n > 0 && !c->is_busy && !c->is_closed) {
    size_t used = parse_some(c, data, n);
    data += used;
    n -= used;
  }
  c->is_parsing = 0;
  c->unparsed = 0;
  if (n > 0 && !c->is_closed)
    buffer_read_ahead(c, data, n);
}

static void on_data(void *arg, const char *data, size_t n) {
  pw_conn *c = arg;
  if (c->is_busy)
    buffer_read_ahead(c, data, n);
  else
    parse(c, data, n);
}

static void on_ended(void *arg, pw_tcp_end how) {
  (void)how;
  pwconni_close(arg, CLOSE_RESET);
}

int pwconni_is_receiving(const pw_conn *c) {
  return !c->is_busy &&
         (c->request.state != PWH1_HEAD || c->request.head.len > 0);
}

int pwconni_is_idle(const pw_conn *c) {
  return !c->is_busy && !pwconni_is_receiving(c) && !pwtcp_has_unread(c->tcp);
}

static void on_drained(void *arg) {
  pw_conn *c = arg;
  if (c->state && c->all->resume)
    c->all->resume(c->state);
  if (c->is_closed)
    return;
  if (!c->is_busy)
    c->since = pwtcp_clock(c->all->tcp);
  if (c->is_throttled && c->drops_input) {
    pwconni_close(c, CLOSE_AFTER_WRITE);
    return;
  }
  if (c->is_throttled) {
    c->is_throttled = c->is_busy = 0;
    parse_read_ahead(c);
  }
  /* Left open, it would be reset at the end of the stop, with what the kernel still holds for the caller. */
  if (c->all->is_stopping && !c->is_closed && pwconni_is_idle(c))
    pwconni_close(c, CLOSE_AFTER_WRITE);
}

static void on_connected(void *arg) {
  (void)arg;
}

static const pw_tcp_callbacks calls = {on_connected, on_data, on_ended,
                                       on_drained};

void pwconni_add(pw_conns *s, int fd) {
  pw_conn *c = pw_alloc(sizeof *c);
  c->all = s;
  pwmemory_charge(s->tcp->memory, sizeof *c);
  pwh1_init(&c->request, HTTP_REQUEST, s->limits.header_bytes);
  c->request.arg = c;
  c->request.on_body = on_body;
  c->request.head.memory = s->tcp->memory;
  c->body.memory = s->tcp->memory;
  c->read_ahead.memory = s->tcp->memory;
  c->since = pwtcp_clock(s->tcp);
  c->next = s->first;
  if (c->next)
    c->next->prev = c;
  s->first = c;
  s->count++;
  if (s->send_bytes)
    setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &s->send_bytes, sizeof s->send_bytes);
  c->tcp = pwtcp_accepted(s->tcp, fd, s->keys, &calls, c);
  pwtcp_count_closing(c->tcp, &s->nclosing);
}

int pwconn_has_more(const pw_conn *c) {
  return c->unparsed > 0 || c->read_ahead.len > 0 || pwtcp_has_unread(c->tcp);
}

int pwconn_path_is(const pw_conn *c, const char *path) {
  return c->request.nurl == strlen(path) &&
         !memcmp(c->request.url, path, c->request.nurl);
}
