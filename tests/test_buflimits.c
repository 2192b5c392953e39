/* test_buflimits.c: limits on what a process buffers for callers that do not read
** their answers.
**
** It guards against this failure: 1,000 callers stop in the middle of their
** answers, 128 KB are buffered for each, and each following request on such a
** connection is answered into the same buffer: more than the 160 MB that a
** gateway has. A process that exceeds its memory is killed, with every
** caller's request. */
#include "pwbuflimits.h"
#include "pwclock.h"
#include "pwconn.h"
#include "pwports.h"
#include "pwtest.h"

#include <errno.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define KB 1024UL
#define MB (1024UL * 1024)

/* --- limits --- */

/* Longest body while so many bytes of 80 MB are held. */
static size_t body_with(size_t held) {
  return pwbuflimits_body(held < 80 * MB ? 80 * MB - held : 0);
}

static void test_limits(void) {
  pw_buflimits none = pwbuflimits_of(0, 80 * MB);
  CHECK(none.unwritten == 128 * KB && none.ahead == 256 * KB);
  CHECK(body_with(0) == 20 * MB && none.stall_ms == 5000);
  CHECK(none.stall_complete_ms == 60000);
  CHECK(none.answer == 4 * MB);
  pw_buflimits before = none;
  for (size_t held = 0; held <= 100 * MB; held += MB) {
    pw_buflimits l = pwbuflimits_of(held, 80 * MB);
    CHECK(held > 40 * MB || l.unwritten == none.unwritten);
    CHECK(l.unwritten <= before.unwritten && l.ahead <= before.ahead);
    CHECK(body_with(held) <= body_with(held ? held - MB : 0));
    CHECK(l.stall_ms <= before.stall_ms);
    CHECK(l.stall_complete_ms <= before.stall_complete_ms);
    CHECK(l.answer <= before.answer);
    before = l;
  }
  CHECK(before.unwritten == 0 && before.ahead == 4 * KB);
  CHECK(body_with(100 * MB) == 0 && before.stall_ms == 1000);
  CHECK(before.stall_complete_ms == 1000);
  CHECK(before.answer == 64 * KB);
}

/* Answers that grow together, in pieces, until each is over its limit. Returns how many bytes are held then. */
static size_t held_by_answers(size_t answers, size_t budget) {
  size_t length = 0, held = 0;
  while (length <= pwbuflimits_of(held, budget).answer) {
    length += 16 * KB;
    held = length * answers;
  }
  return held;
}

/* A hundred answers that are long, or that have no end, stay within the budget and a piece for each. */
static void test_answers_grow_together(void) {
  for (size_t answers = 1; answers <= 200; answers++)
    CHECK(held_by_answers(answers, 80 * MB) <=
          80 * MB + answers * (64 + 16) * KB);
}

/* Callers stop reading, more of them in each step; each is sent data until it
** is paused. Returns the most that was buffered: up to a piece for each caller
** above the budget, as the limits are computed once a step. */
static size_t most_buffered(size_t callers, size_t budget, size_t a_step,
                            int is_bounded) {
  size_t *unwritten = calloc(callers, sizeof *unwritten);
  size_t held = 0, most = 0;
  pw_buflimits l = pwbuflimits_of(0, budget);
  for (int step = 0; step < 400; step++) {
    size_t stopped = callers * (size_t)(step + 1) / 100;
    for (size_t i = 0; i < stopped && i < callers; i++)
      if (unwritten[i] <= l.unwritten) {
        unwritten[i] += a_step;
        held += a_step;
      }
    if (is_bounded)
      l = pwbuflimits_of(held, budget);
    most = held > most ? held : most;
  }
  free(unwritten);
  return most;
}

static void test_many_stop_reading(void) {
  CHECK(most_buffered(1000, 80 * MB, 2 * KB, 0) > 120 * MB);
  CHECK(most_buffered(1000, 80 * MB, 2 * KB, 1) < 80 * MB + 1000 * 2 * KB);
  CHECK(most_buffered(4000, 80 * MB, 2 * KB, 1) < 80 * MB + 4000 * 2 * KB);
  CHECK(most_buffered(100, 80 * MB, 2 * KB, 1) >
        12 * MB); /* a few callers keep their buffers */
}

/* --- over sockets --- */

#define STOPPED 200
#define READING 50
#define CALLERS (STOPPED + READING)
#define PIECE (4 * KB)
#define PIECES 100
#define BUDGET (4 * MB) /* half of the memory, as buffers grow by doubling */
#define BUFFER (8 * KB) /* kernel buffer of each connection */
#define TURNS 20000
#define SETTLE_MS 500

typedef struct stream {
  pw_conn *c;
  int sent;
} stream;

typedef struct bed {
  struct ev_loop *ev;
  pw_tcp_loop tcp;
  pw_memory memory;
  pw_conns conns;
  pw_buflimits hold;
  stream stream[CALLERS];
  int nstreams, ended, abandoned;
  size_t most;
  struct sockaddr_in at;
  int fd[CALLERS];
  size_t got[CALLERS];
} bed;

static void begin(pw_conn *c) {
  bed *b = c->all->arg;
  stream *s = &b->stream[b->nstreams++];
  s->c = c;
  c->state = s;
  pwconn_begin(c, 200, "");
}

static void abandoned(void *request) {
  stream *s = request;
  bed *b = s->c->all->arg;
  b->abandoned++;
  s->c = NULL;
}

static void set_up(bed *b, void (*handle)(pw_conn *c)) {
  memset(b, 0, sizeof *b);
  b->ev = ev_loop_new(0);
  pwtcp_loop_init(&b->tcp, b->ev);
  pwmemory_init(&b->memory, 2 * BUDGET);
  b->tcp.memory = &b->memory;
  b->conns = (pw_conns){.tcp = &b->tcp,
                        .limits = {1000, MB, 60000, 60000},
                        .send_bytes = (int)BUFFER,
                        .arg = b,
                        .handle = handle,
                        .abandoned = abandoned};
  b->hold = pwbuflimits_of(0, BUDGET);
  pwconns_start(&b->conns, test_listen(&b->at));
}

static void tear_down(bed *b) {
  for (int i = 0; i < CALLERS; i++)
    if (b->fd[i] > 0)
      close(b->fd[i]);
  pwconns_end(&b->conns);
  pwtcp_loop_free(&b->tcp);
  ev_loop_destroy(b->ev);
}

static int new_caller(bed *b) {
  int fd = socket(AF_INET, SOCK_STREAM, 0), bytes = (int)BUFFER, on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
  CHECK(connect(fd, (struct sockaddr *)&b->at, sizeof b->at) == 0);
  return fd;
}

static void ask(int fd) {
  static const char text[] = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
  CHECK(send(fd, text, strlen(text), MSG_NOSIGNAL) == (ssize_t)strlen(text));
}

/* Sends each stream its next piece unless it is paused by its caller. */
static void feed(bed *b) {
  static const char piece[PIECE];
  for (int i = 0; i < b->nstreams; i++) {
    stream *s = &b->stream[i];
    if (!s->c || pwtcp_pending(s->c->tcp) > b->hold.unwritten)
      continue;
    if (s->sent++ < PIECES) {
      pwconn_write(s->c, piece, PIECE);
      continue;
    }
    pw_conn *c = s->c;
    s->c = NULL;
    b->ended++;
    c->state = NULL;
    pwconn_end(c);
  }
}

/* `now` is the time by the clock of callers' limits, which leaves out for how long the loop stalled. */
static void turn(bed *b, int64_t now) {
  char block[16 * KB];
  ev_run(b->ev, EVRUN_NOWAIT);
  feed(b);
  pwconns_close_stalled(&b->conns, now + b->tcp.lag.lost_ms);
  size_t held = pwmemory_used(&b->memory);
  b->hold = pwbuflimits_of(held, BUDGET);
  b->conns.read_ahead_max = b->hold.ahead;
  b->conns.stall_ms = b->hold.stall_ms;
  b->conns.stall_complete_ms = b->hold.stall_complete_ms;
  b->most = held > b->most ? held : b->most;
  for (int i = STOPPED; i < CALLERS; i++) {
    ssize_t n = recv(b->fd[i], block, sizeof block, MSG_DONTWAIT);
    b->got[i] += n > 0 ? (size_t)n : 0;
  }
}

static int have_all(const bed *b) {
  for (int i = STOPPED; i < CALLERS; i++)
    if (b->got[i] < PIECES * PIECE)
      return 0;
  return 1;
}

/* Bytes that the callers that read nothing have acknowledged. */
static uint64_t acknowledged(const bed *b) {
  uint64_t sum = 0;
  for (int i = 0; i < b->nstreams; i++)
    if (b->stream[i].c)
      sum += pwtcp_acknowledged(b->stream[i].c->tcp);
  return sum;
}

/* Waits until they have acknowledged what they will: their kernel takes some bytes for a while after the last write, which
** is progress. */
static void settle(bed *b) {
  uint64_t before, now = acknowledged(b);
  do {
    before = now;
    poll(NULL, 0, SETTLE_MS);
    turn(b, 1);
    now = acknowledged(b);
  } while (now != before);
}

/* Most callers read nothing: the others get their complete answers, and less
** than the memory is used; 128 KB for each would be three times as much. The clock
** does not advance until the readers have everything; then the callers that
** read nothing are disconnected. */
static void test_most_do_not_read(void) {
  bed *b = calloc(1, sizeof *b);
  set_up(b, begin);
  for (int i = 0; i < CALLERS; i++) {
    b->fd[i] = new_caller(b);
    ask(b->fd[i]);
    turn(b, 1);
  }
  for (int i = 0; i < TURNS && !(have_all(b) && b->ended == READING); i++)
    turn(b, 1);
  CHECK(have_all(b));
  CHECK(b->ended == READING);
  CHECK(STOPPED * 128 * KB > 3 * 2 * BUDGET);
  CHECK(b->most < 2 * BUDGET);
  CHECK(b->most > BUDGET / 2);
  CHECK(b->abandoned == 0);
  settle(b);
  turn(b, 1 + b->conns.stall_ms);
  CHECK(b->abandoned == STOPPED);
  CHECK(b->conns.nstalled == STOPPED);
  tear_down(b);
  free(b);
}

static void answer(pw_conn *c) {
  static const char body[KB];
  bed *b = c->all->arg;
  b->ended++;
  pwconn_answer(c, 200, "", body, sizeof body);
}

/* A caller sends requests and reads no answer: after some requests the next
** ones wait, and are answered once it reads. */
static void test_endless_requests(void) {
  bed *b = calloc(1, sizeof *b);
  set_up(b, answer);
  int fd = b->fd[0] = new_caller(b);
  int asked = 0;
  for (; asked < 1000; asked++) {
    ask(fd);
    ev_run(b->ev, EVRUN_NOWAIT);
  }
  for (int i = 0; i < TURNS && b->ended < asked; i++)
    ev_run(b->ev, EVRUN_NOWAIT);
  pwconns_close_stalled(&b->conns, 1);
  size_t held = pwmemory_used(&b->memory);
  CHECK(b->ended > 60 && b->ended < asked / 2);
  CHECK(held < 256 * KB);
  char block[16 * KB];
  for (int i = 0; i < TURNS && b->ended < asked; i++) {
    ev_run(b->ev, EVRUN_NOWAIT);
    recv(fd, block, sizeof block, MSG_DONTWAIT);
  }
  CHECK(b->ended == asked);
  tear_down(b);
  free(b);
}

#define LONG_BODY (60 * KB) /* more than the kernel buffers */

static void answer_long(pw_conn *c) {
  static const char body[LONG_BODY];
  pwconn_answer(c, 200, "", body, sizeof body);
}

/* It guards against this failure: a caller is unreachable for six seconds
** while its complete answer is buffered, and loses it, with `caller-stalled
** ms=5000 untaken_bytes=` logged and most of the memory free. It gets the
** answer once it reads again, and is disconnected like others only while
** memory is short. */
static void test_complete_answer_is_kept(void) {
  char block[16 * KB];
  bed *b = calloc(1, sizeof *b);
  set_up(b, answer_long);
  int fd = b->fd[0] = new_caller(b);
  size_t got = 0;
  ask(fd);
  for (int i = 0; i < TURNS && b->conns.count == 0; i++)
    ev_run(b->ev, EVRUN_NOWAIT);
  for (int i = 0; i < TURNS && pwtcp_pending(b->conns.first->tcp) == 0; i++)
    ev_run(b->ev, EVRUN_NOWAIT);
  b->conns.stall_ms = 5000;
  b->conns.stall_complete_ms = 60000;
  pwconns_close_stalled(&b->conns, 1);
  pwconns_close_stalled(&b->conns, 6001);
  pwconns_close_expired(&b->conns, pwclock_ms() + 61000);
  CHECK(b->conns.nstalled == 0 && b->conns.count == 1);
  for (int i = 0; i < TURNS && got < LONG_BODY; i++) {
    ev_run(b->ev, EVRUN_NOWAIT);
    ssize_t n = recv(fd, block, sizeof block, MSG_DONTWAIT);
    got += n > 0 ? (size_t)n : 0;
  }
  CHECK(got >= LONG_BODY);
  ask(fd);
  for (int i = 0; i < TURNS && pwtcp_pending(b->conns.first->tcp) == 0; i++)
    ev_run(b->ev, EVRUN_NOWAIT);
  b->conns.stall_complete_ms = 1000;
  pwconns_close_stalled(&b->conns, 7000);
  pwconns_close_stalled(&b->conns, 8000);
  CHECK(b->conns.nstalled == 1);
  tear_down(b);
  free(b);
}

int main(void) {
  TESTS_BEGIN("hold");
  TEST(test_limits);
  TEST(test_answers_grow_together);
  TEST(test_many_stop_reading);
  TEST(test_most_do_not_read);
  TEST(test_endless_requests);
  TEST(test_complete_answer_is_kept);
  TESTS_END();
}
