/* test_lag.c: loops that were held up, and callers whose bytes came meanwhile.
**
** What happened: a gateway that stood still for longer than a limit of its callers measured them by
** its own standstill. "408 Request Timeout" and the end of the connection came for a head of which the
** second half lay in the socket; a caller with many requests under way lost all that followed. */
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

#define TURN_MS 50
#define LIMIT_MS 300           /* of each kind in a test */
#define WAITS_MS 5000          /* for what comes */
#define LONG (4 * 1024 * 1024) /* more than the kernel takes for a caller */
#define SHORT                                                                  \
  (32 * 1024)         /* less than that, and more than a caller's part of it */
#define RECEIVED 4096 /* that part */
#define SWEEP_S 0.01

/* How long a loop stands still: a little under a limit, a little over it, ten times over. */
static const int standstill[] = {LIMIT_MS * 8 / 10, LIMIT_MS * 13 / 10,
                                 LIMIT_MS * 10};
#define NSTANDSTILLS 3

/* --- decisions --- */

/* The clock of peers goes on as the loop turns, by at most a turn each. */
static void test_clock(void) {
  pw_lag l = {.turn_ms = TURN_MS};
  CHECK(pwlag_turn(&l, 1000) == 0);
  CHECK(pwlag_turn(&l, 1000 + TURN_MS) == 0);
  CHECK(pwlag_clock(&l, 1060) == 1060);
  CHECK(pwlag_turn(&l, 9050) == 8000 - TURN_MS);
  CHECK(pwlag_clock(&l, 9050) == 1050 + TURN_MS);
  CHECK(pwlag_clock(&l, 9070) == 1070 + TURN_MS);
}

/* What came during a standstill is read for a moment, and then no more. */
static void test_catches_up(void) {
  pw_lag l = {.turn_ms = TURN_MS};
  pwlag_turn(&l, 1000);
  CHECK(pwlag_catch_up(&l, 1000) == 0);
  pwlag_turn(&l, 5000);
  int64_t left = pwlag_catch_up(&l, 5000);
  CHECK(left > 0);
  pwlag_turn(&l, 5010);
  CHECK(pwlag_catch_up(&l, 5010) == left - 10);
  CHECK(pwlag_catch_up(&l, 5000 + left) == 0);
  pwlag_turn(&l, 9000);
  CHECK(pwlag_catch_up(&l, 9000) == left);
}

/* A loop that is always held up would give nobody up: it catches up for a part of its time only. */
static void test_always_held_up(void) {
  pw_lag l = {.turn_ms = TURN_MS};
  int catching = 0, turns = 0;
  for (int64_t now = 1000; now < 21000; now += 2 * TURN_MS, turns++) {
    pwlag_turn(&l, now);
    catching += pwlag_catch_up(&l, now) > 0;
  }
  CHECK(catching > 0 && catching < turns / 2);
  CHECK(pwlag_clock(&l, 21000) >= 1000 + turns * TURN_MS);
}

/* --- callers --- */

typedef struct bed {
  struct ev_loop *ev;
  pw_tcp_loop tcp;
  pw_conns conns;
  ev_timer sweep;
  int fd; /* of the caller */
} bed;

static void answer(pw_conn *c) {
  pwconn_answer(c, 200, "", "x", 1);
}

static void answer_with(pw_conn *c, size_t bytes) {
  char *body = calloc(1, bytes);
  pwconn_answer(c, 200, "", body, bytes);
  free(body);
}

static void answer_long(pw_conn *c) {
  answer_with(c, LONG);
}

static void answer_short(pw_conn *c) {
  answer_with(c, SHORT);
}

/* As in a gateway: in a turn it comes before what can be read. */
static void on_sweep(struct ev_loop *ev, ev_timer *w, int events) {
  (void)ev;
  (void)events;
  bed *b = w->data;
  pwconns_check(&b->conns, pwclock_ms());
  pwconns_sweep(&b->conns, pwclock_ms());
}

static void turn(bed *b) {
  ev_run(b->ev, EVRUN_NOWAIT);
  poll(NULL, 0, 1);
}

static void turns(bed *b, int ms) {
  for (int64_t until = pwclock_ms() + ms; pwclock_ms() < until;)
    turn(b);
}

static void set_up(bed *b, void (*handle)(pw_conn *c)) {
  struct sockaddr_in at;
  *b = (bed){.ev = ev_loop_new(0)};
  pwtcp_loop_init(&b->tcp, b->ev);
  b->tcp.lag.turn_ms = TURN_MS;
  b->conns = (pw_conns){.tcp = &b->tcp,
                        .limits = {1000, 1000, LIMIT_MS, LIMIT_MS},
                        .stall_whole_ms = LIMIT_MS,
                        .arg = b,
                        .handle = handle};
  pwconns_start(&b->conns, test_listen(&at));
  ev_timer_init(&b->sweep, on_sweep, SWEEP_S, SWEEP_S);
  b->sweep.data = b;
  ev_timer_start(b->ev, &b->sweep);
  b->fd = socket(AF_INET, SOCK_STREAM, 0);
  int received = RECEIVED;
  setsockopt(b->fd, SOL_SOCKET, SO_RCVBUF, &received, sizeof received);
  CHECK(connect(b->fd, (struct sockaddr *)&at, sizeof at) == 0);
}

static void tear_down(bed *b) {
  close(b->fd);
  ev_timer_stop(b->ev, &b->sweep);
  pwconns_end(&b->conns);
  pwtcp_loop_free(&b->tcp);
  ev_loop_destroy(b->ev);
}

static void say(const bed *b, const char *text) {
  CHECK(send(b->fd, text, strlen(text), MSG_NOSIGNAL) == (ssize_t)strlen(text));
}

/* Whether the next answer to the caller is a 200. */
static int is_well(bed *b) {
  char text[400] = "";
  for (int i = 0; i < WAITS_MS; i++) {
    turn(b);
    if (recv(b->fd, text, sizeof text - 1, MSG_DONTWAIT) > 0)
      return strstr(text, "HTTP/1.1 200") != NULL;
  }
  return 0;
}

/* The process stands still while the second part comes. */
static void ask_in_two(const char *first, const char *second) {
  for (int i = 0; i < NSTANDSTILLS; i++) {
    bed b;
    set_up(&b, answer);
    say(&b, first);
    turns(&b, LIMIT_MS / 2);
    CHECK(b.conns.count == 1);
    poll(NULL, 0, standstill[i]);
    say(&b, second);
    CHECK(is_well(&b));
    tear_down(&b);
  }
}

static void test_half_a_head(void) {
  ask_in_two("GET / HTTP/1.1\r\n", "A: b\r\n\r\n");
}

static void test_half_a_body(void) {
  ask_in_two("POST / HTTP/1.1\r\nContent-Length: 4\r\n\r\nab", "cd");
}

typedef struct order {
  int64_t lost_ms;
  int was_read; /* something had been read by then */
} order;

static int has_read;

static void read_first(pw_conn *c) {
  has_read = 1;
  answer(c);
}

static void on_held_up(void *arg, int64_t lost_ms) {
  order *o = arg;
  o->lost_ms = lost_ms;
  o->was_read = has_read;
}

/* Who counts a standstill does so before anything is read: a target heard right after it would be taken to
** be heard in the future, and not be missed for as long as the standstill was. */
static void test_first_of_a_turn(void) {
  bed b;
  order o = {0};
  set_up(&b, read_first);
  b.tcp.held_up = on_held_up;
  b.tcp.arg = &o;
  turns(&b, 2 * TURN_MS);
  has_read = 0;
  o = (order){0};
  say(&b, "GET / HTTP/1.1\r\n\r\n");
  poll(NULL, 0, 4 * TURN_MS);
  CHECK(is_well(&b));
  CHECK(has_read && o.lost_ms > 0 && !o.was_read);
  tear_down(&b);
}

/* A caller that is late itself is refused yet. */
static void test_late_caller(void) {
  char text[400] = "";
  bed b;
  set_up(&b, answer);
  say(&b, "GET / HTTP/1.1\r\n");
  for (int i = 0; i < WAITS_MS; i++) {
    turn(&b);
    if (recv(b.fd, text, sizeof text - 1, MSG_DONTWAIT) > 0)
      break;
  }
  CHECK(strstr(text, "HTTP/1.1 408") != NULL);
  tear_down(&b);
}

/* Reads what the caller gets, up to `most` bytes; gives how many. */
static size_t take(bed *b, size_t most) {
  char block[64 * 1024];
  size_t got = 0;
  int idle = 0;
  while (got < most && idle < WAITS_MS) {
    ssize_t n = recv(b->fd, block, sizeof block, MSG_DONTWAIT);
    if (n == 0 || (n < 0 && errno != EAGAIN))
      break;
    idle = n < 0 ? idle + 1 : 0;
    got += n > 0 ? (size_t)n : 0;
    if (n < 0)
      turn(b);
  }
  return got;
}

/* A caller that has its answer yet to take is not ended for the standstill. */
static void test_takes_nothing(void) {
  for (int i = 0; i < NSTANDSTILLS; i++) {
    bed b;
    set_up(&b, answer_long);
    say(&b, "GET / HTTP/1.1\r\n\r\n");
    turns(&b, LIMIT_MS / 2);
    poll(NULL, 0, standstill[i]);
    turn(&b);
    CHECK(b.conns.nstalled == 0);
    CHECK(take(&b, LONG) >= LONG);
    tear_down(&b);
  }
}

/* A connection that ends with an answer lets pass what its caller sent during a standstill: with
** bytes unread it would be reset, and the caller would lose what it has not taken yet. */
static void test_closes_in_order(void) {
  bed b;
  set_up(&b, answer_short);
  say(&b, "GET / HTTP/1.1\r\nConnection: close\r\n\r\n");
  turns(&b, 10);
  CHECK(b.tcp.nclosing == 1 && pwtcp_pending(b.tcp.closing) == 0);
  poll(NULL, 0, 1500); /* longer than it lets pass what comes */
  say(&b, "GET / HTTP/1.1\r\n\r\n");
  turn(&b);
  CHECK(take(&b, LONG) >= SHORT);
  tear_down(&b);
}

int main(void) {
  TESTS_BEGIN("lag");
  TEST(test_clock);
  TEST(test_catches_up);
  TEST(test_always_held_up);
  TEST(test_half_a_head);
  TEST(test_half_a_body);
  TEST(test_first_of_a_turn);
  TEST(test_late_caller);
  TEST(test_takes_nothing);
  TEST(test_closes_in_order);
  TESTS_END();
}
