/* test_lag.c: stalls of an event loop, and callers whose bytes arrive during a stall.
**
** Guards against this failure: a gateway that stalls for longer than a time limit of its callers
** counts the stall against them. It answered "408 Request Timeout" and closed the connection
** although the second half of the head was in the socket; a caller with many requests in flight
** lost all the following ones. */
#include "pwclock.h"
#include "pwconn.h"
#include "pwlag.h"
#include "pwports.h"
#include "pwtest.h"

#include <errno.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define ITERATION_MS 50
#define LIMIT_MS 300 /* every time limit of connections */
#define WAIT_MS 5000 /* longest wait for an expected event */

/* Bytes of an answer that does not fit in the kernel's buffers of both sides. */
#define LONG_BYTES (4 * 1024 * 1024)

/* Bytes of an answer that fits in these, but not in the caller's receive buffer alone. */
#define SHORT_BYTES (32 * 1024)
#define RECEIVE_BUFFER 4096 /* bytes of that receive buffer */
#define SWEEP_S 0.01

/* Duration of a stall, ms: a little below the limit, a little above it, ten times the limit. */
static const int stall_ms[] = {LIMIT_MS * 8 / 10, LIMIT_MS * 13 / 10,
                               LIMIT_MS * 10};
#define NSTALLS 3

/* --- decisions --- */

/* The clock for timeouts of peers advances by at most ITERATION_MS per iteration. */
static void test_clock(void) {
  pw_lag l = {.iteration_max_ms = ITERATION_MS};
  CHECK(pwlag_iteration(&l, 1000) == 0);
  CHECK(pwlag_iteration(&l, 1000 + ITERATION_MS) == 0);
  CHECK(pwlag_clock(&l, 1060) == 1060);
  CHECK(pwlag_iteration(&l, 9050) == 8000 - ITERATION_MS);
  CHECK(pwlag_clock(&l, 9050) == 1050 + ITERATION_MS);
  CHECK(pwlag_clock(&l, 9070) == 1070 + ITERATION_MS);
}

/* After a stall there is a limited time for reading the input that arrived during it. */
static void test_catch_up(void) {
  pw_lag l = {.iteration_max_ms = ITERATION_MS};
  pwlag_iteration(&l, 1000);
  CHECK(pwlag_catch_up(&l, 1000) == 0);
  pwlag_iteration(&l, 5000);
  int64_t left = pwlag_catch_up(&l, 5000);
  CHECK(left > 0);
  pwlag_iteration(&l, 5010);
  CHECK(pwlag_catch_up(&l, 5010) == left - 10);
  CHECK(pwlag_catch_up(&l, 5000 + left) == 0);
  pwlag_iteration(&l, 9000);
  CHECK(pwlag_catch_up(&l, 9000) == left);
}

/* A loop that stalls all the time catches up for a part of the time only; else it would never
** count a peer as lost. */
static void test_always_stalled(void) {
  pw_lag l = {.iteration_max_ms = ITERATION_MS};
  int catching = 0, turns = 0;
  for (int64_t now = 1000; now < 21000; now += 2 * ITERATION_MS, turns++) {
    pwlag_iteration(&l, now);
    catching += pwlag_catch_up(&l, now) > 0;
  }
  CHECK(catching > 0 && catching < turns / 2);
  CHECK(pwlag_clock(&l, 21000) >= 1000 + turns * ITERATION_MS);
}

/* --- callers --- */

typedef struct fixture {
  struct ev_loop *ev;
  pw_tcp_loop tcp;
  pw_conns conns;
  ev_timer sweep;
  int fd; /* of the caller */
} fixture;

static void answer(pw_conn *c) {
  pwconn_answer(c, 200, "", "x", 1);
}

static void answer_with(pw_conn *c, size_t bytes) {
  char *body = calloc(1, bytes);
  pwconn_answer(c, 200, "", body, bytes);
  free(body);
}

static void answer_long(pw_conn *c) {
  answer_with(c, LONG_BYTES);
}

static void answer_short(pw_conn *c) {
  answer_with(c, SHORT_BYTES);
}

/* As in a gateway, the checks run in an iteration before input is read. */
static void on_sweep(struct ev_loop *ev, ev_timer *w, int events) {
  (void)ev;
  (void)events;
  fixture *b = w->data;
  pwconns_close_stalled(&b->conns, pwclock_ms());
  pwconns_close_expired(&b->conns, pwclock_ms());
}

static void iterate(fixture *b) {
  ev_run(b->ev, EVRUN_NOWAIT);
  poll(NULL, 0, 1);
}

static void iterate_for(fixture *b, int ms) {
  for (int64_t until = pwclock_ms() + ms; pwclock_ms() < until;)
    iterate(b);
}

static void set_up(fixture *b, void (*handle)(pw_conn *c)) {
  struct sockaddr_in at;
  *b = (fixture){.ev = ev_loop_new(0)};
  pwtcp_loop_init(&b->tcp, b->ev);
  b->tcp.lag.iteration_max_ms = ITERATION_MS;
  b->conns = (pw_conns){.tcp = &b->tcp,
                        .limits = {1000, 1000, LIMIT_MS, LIMIT_MS},
                        .stall_complete_ms = LIMIT_MS,
                        .arg = b,
                        .handle = handle};
  pwconns_start(&b->conns, test_listen(&at));
  ev_timer_init(&b->sweep, on_sweep, SWEEP_S, SWEEP_S);
  b->sweep.data = b;
  ev_timer_start(b->ev, &b->sweep);
  b->fd = socket(AF_INET, SOCK_STREAM, 0);
  int received = RECEIVE_BUFFER;
  setsockopt(b->fd, SOL_SOCKET, SO_RCVBUF, &received, sizeof received);
  CHECK(connect(b->fd, (struct sockaddr *)&at, sizeof at) == 0);
}

static void tear_down(fixture *b) {
  close(b->fd);
  ev_timer_stop(b->ev, &b->sweep);
  pwconns_end(&b->conns);
  pwtcp_loop_free(&b->tcp);
  ev_loop_destroy(b->ev);
}

static void send_text(const fixture *b, const char *text) {
  CHECK(send(b->fd, text, strlen(text), MSG_NOSIGNAL) == (ssize_t)strlen(text));
}

/* Whether the next answer to the caller is a 200. */
static int is_answered_ok(fixture *b) {
  char text[400] = "";
  for (int i = 0; i < WAIT_MS; i++) {
    iterate(b);
    if (recv(b->fd, text, sizeof text - 1, MSG_DONTWAIT) > 0)
      return strstr(text, "HTTP/1.1 200") != NULL;
  }
  return 0;
}

/* A request whose second part arrives while the process is stalled is answered. */
static void request_in_two_parts(const char *first, const char *second) {
  for (int i = 0; i < NSTALLS; i++) {
    fixture b;
    set_up(&b, answer);
    send_text(&b, first);
    iterate_for(&b, LIMIT_MS / 2);
    CHECK(b.conns.count == 1);
    poll(NULL, 0, stall_ms[i]);
    send_text(&b, second);
    CHECK(is_answered_ok(&b));
    tear_down(&b);
  }
}

static void test_half_a_head(void) {
  request_in_two_parts("GET / HTTP/1.1\r\n", "A: b\r\n\r\n");
}

static void test_half_a_body(void) {
  request_in_two_parts("POST / HTTP/1.1\r\nContent-Length: 4\r\n\r\nab", "cd");
}

typedef struct stall_seen {
  int64_t lost_ms;
  int was_read; /* whether input had been read before */
} stall_seen;

static int has_read;

static void read_first(pw_conn *c) {
  has_read = 1;
  answer(c);
}

static void on_loop_stall(void *arg, int64_t lost_ms) {
  stall_seen *o = arg;
  o->lost_ms = lost_ms;
  o->was_read = has_read;
}

/* A stall is reported before any input is read. Otherwise a target's message read right after the
** stall would get a time in the future, and its silence would go unnoticed for as long as the
** stall. */
static void test_stall_reported_first(void) {
  fixture b;
  stall_seen o = {0};
  set_up(&b, read_first);
  b.tcp.on_stall = on_loop_stall;
  b.tcp.arg = &o;
  iterate_for(&b, 2 * ITERATION_MS);
  has_read = 0;
  o = (stall_seen){0};
  send_text(&b, "GET / HTTP/1.1\r\n\r\n");
  poll(NULL, 0, 4 * ITERATION_MS);
  CHECK(is_answered_ok(&b));
  CHECK(has_read && o.lost_ms > 0 && !o.was_read);
  tear_down(&b);
}

/* A caller that is late without a stall is still refused. */
static void test_late_caller(void) {
  char text[400] = "";
  fixture b;
  set_up(&b, answer);
  send_text(&b, "GET / HTTP/1.1\r\n");
  for (int i = 0; i < WAIT_MS; i++) {
    iterate(&b);
    if (recv(b.fd, text, sizeof text - 1, MSG_DONTWAIT) > 0)
      break;
  }
  CHECK(strstr(text, "HTTP/1.1 408") != NULL);
  tear_down(&b);
}

/* Reads up to `max` bytes as the caller; returns how many. */
static size_t receive(fixture *b, size_t max) {
  char block[64 * 1024];
  size_t got = 0;
  int idle = 0;
  while (got < max && idle < WAIT_MS) {
    ssize_t n = recv(b->fd, block, sizeof block, MSG_DONTWAIT);
    if (n == 0 || (n < 0 && errno != EAGAIN))
      break;
    idle = n < 0 ? idle + 1 : 0;
    got += n > 0 ? (size_t)n : 0;
    if (n < 0)
      iterate(b);
  }
  return got;
}

/* A caller with unread answer bytes is not reset because of a stall. */
static void test_unread_answer(void) {
  for (int i = 0; i < NSTALLS; i++) {
    fixture b;
    set_up(&b, answer_long);
    send_text(&b, "GET / HTTP/1.1\r\n\r\n");
    iterate_for(&b, LIMIT_MS / 2);
    poll(NULL, 0, stall_ms[i]);
    iterate(&b);
    CHECK(b.conns.nstalled == 0);
    CHECK(receive(&b, LONG_BYTES) >= LONG_BYTES);
    tear_down(&b);
  }
}

/* A closing connection discards input that arrived during a stall before it closes. With unread
** input it would be reset, and the caller would lose the unread part of its answer. */
static void test_close_discards_input(void) {
  fixture b;
  set_up(&b, answer_short);
  send_text(&b, "GET / HTTP/1.1\r\nConnection: close\r\n\r\n");
  for (int i = 0; i < WAIT_MS && b.tcp.nclosing == 0; i++)
    iterate(&b);
  CHECK(b.tcp.nclosing == 1 && pwtcp_pending(b.tcp.closing) == 0);
  poll(NULL, 0, 1500); /* longer than a closing connection discards input */
  send_text(&b, "GET / HTTP/1.1\r\n\r\n");
  iterate(&b);
  CHECK(receive(&b, LONG_BYTES) >= SHORT_BYTES);
  tear_down(&b);
}

int main(void) {
  TESTS_BEGIN("lag");
  TEST(test_clock);
  TEST(test_catch_up);
  TEST(test_always_stalled);
  TEST(test_half_a_head);
  TEST(test_half_a_body);
  TEST(test_stall_reported_first);
  TEST(test_late_caller);
  TEST(test_unread_answer);
  TEST(test_close_discards_input);
  TESTS_END();
}
