/* test_conn.c: callers' connections when the process has no descriptors left, or as many
** connections as are allowed.
**
** Guards against this failure: a connection that is closed to make room keeps its descriptor until
** its caller closes too, or for a second. When these are not counted, the next accept fails as well
** and closes the next half of the idle connections, until none is left ("accept-failed errno=24
** connections=79", 39, 20, 7, 2, 0); then accept fails in every iteration of the event loop, with a
** log line each: 541,461 lines in 5 s. */
#include "pwconn.h"
#include "pwports.h"
#include "pwtest.h"

#include <errno.h>
#include <poll.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#define CALLERS 64
#define ITERATIONS 20000 /* iterations of an event loop that does not wait */
#define WAIT_MS 5000     /* longest wait for an expected event */

typedef struct fixture {
  struct ev_loop *ev;
  pw_tcp_loop tcp;
  pw_conns conns;
  pw_conn *busy[CALLERS]; /* connections with a request in progress */
  int nbusy, no_answers;  /* no_answers: requests are not answered */
  struct sockaddr_in at;
  int caller[CALLERS];
} fixture;

static void answer(pw_conn *c) {
  fixture *b = c->all->arg;
  if (b->no_answers)
    b->busy[b->nbusy++] = c;
  else
    pwconn_answer(c, 200, "", "x", 1);
}

static void set_up(fixture *b, int max) {
  *b = (fixture){.ev = ev_loop_new(0)};
  pwtcp_loop_init(&b->tcp, b->ev);
  b->conns = (pw_conns){.tcp = &b->tcp,
                        .limits = {1000, 1000, 60000, 60000},
                        .max = max,
                        .arg = b,
                        .handle = answer};
  pwconns_start(&b->conns, test_listen(&b->at));
}

static void tear_down(fixture *b) {
  pwconns_end(&b->conns);
  pwtcp_loop_free(&b->tcp);
  ev_loop_destroy(b->ev);
}

/* Runs one iteration of the event loop, then waits 1 ms. */
static void iterate(fixture *b) {
  ev_run(b->ev, EVRUN_NOWAIT);
  poll(NULL, 0, 1);
}

static int new_caller(void) {
  return socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
}

static void send_request(fixture *b, int fd) {
  static const char text[] = "GET / HTTP/1.1\r\n\r\n";
  if (connect(fd, (struct sockaddr *)&b->at, sizeof b->at) != 0)
    CHECK(errno == EINPROGRESS);
  for (int i = 0; i < WAIT_MS && send(fd, text, strlen(text), MSG_NOSIGNAL) < 0;
       i++)
    iterate(b);
}

/* What a caller sees: 1 an answer, 0 nothing yet, -1 the connection closed. */
static int peek_answer(int fd) {
  char text[400];
  ssize_t n = recv(fd, text, sizeof text, MSG_DONTWAIT);
  if (n > 0)
    return 1;
  return n < 0 && errno == EAGAIN ? 0 : -1;
}

static int is_answered(fixture *b, int fd) {
  for (int i = 0; i < WAIT_MS; i++) {
    iterate(b);
    if (peek_answer(fd) == 1)
      return 1;
  }
  return 0;
}

/* Connects callers that get an answer and then do nothing, not even close when the server does. */
static void fill(fixture *b, int n) {
  for (int i = 0; i < n; i++) {
    b->caller[i] = new_caller();
    send_request(b, b->caller[i]);
    if (!b->no_answers)
      CHECK(is_answered(b, b->caller[i]));
  }
  for (int i = 0; b->no_answers && b->nbusy < n && i < WAIT_MS; i++)
    iterate(b);
}

static void close_callers(fixture *b, int n) {
  for (int i = 0; i < n; i++)
    close(b->caller[i]);
}

static int count_closed(const fixture *b, int n) {
  int closed = 0;
  for (int i = 0; i < n; i++)
    closed += peek_answer(b->caller[i]) < 0;
  return closed;
}

/* Makes the process run out of descriptors; returns the previous limit. */
static struct rlimit exhaust_descriptors(void) {
  struct rlimit limit_before, none;
  getrlimit(RLIMIT_NOFILE, &limit_before);
  int next = dup(0);
  close(next);
  none = (struct rlimit){(rlim_t)next, limit_before.rlim_max};
  CHECK(setrlimit(RLIMIT_NOFILE, &none) == 0);
  return limit_before;
}

/* Without descriptors, accepting one more caller closes only a few idle connections, although their
** callers do not close. */
static void test_no_descriptor(void) {
  fixture b;
  set_up(&b, 0);
  fill(&b, CALLERS);
  int more = new_caller();
  struct rlimit limit_before = exhaust_descriptors();
  send_request(&b, more);
  CHECK(is_answered(&b, more));
  CHECK(count_closed(&b, CALLERS) <= CALLERS / 2);
  CHECK(b.conns.count >= CALLERS / 2);
  setrlimit(RLIMIT_NOFILE, &limit_before);
  close(more);
  close_callers(&b, CALLERS);
  tear_down(&b);
}

/* Without descriptors, each of many new callers is answered in place of the longest idle one. */
static void test_many_new_callers(void) {
  fixture b;
  int more[CALLERS];
  set_up(&b, 0);
  fill(&b, CALLERS);
  for (int i = 0; i < CALLERS; i++)
    more[i] = new_caller();
  struct rlimit limit_before = exhaust_descriptors();
  for (int i = 0; i < CALLERS; i++) {
    send_request(&b, more[i]);
    CHECK(is_answered(&b, more[i]));
  }
  setrlimit(RLIMIT_NOFILE, &limit_before);
  for (int i = 0; i < CALLERS; i++)
    close(more[i]);
  close_callers(&b, CALLERS);
  tear_down(&b);
}

/* Without an idle connection, accept is not retried in every iteration of the event loop; a waiting
** caller is accepted once a connection ends. */
static void test_none_idle(void) {
  fixture b;
  set_up(&b, 0);
  b.no_answers = 1;
  fill(&b, CALLERS);
  CHECK(b.nbusy == CALLERS);
  int more = new_caller();
  struct rlimit limit_before = exhaust_descriptors();
  send_request(&b, more);
  for (int i = 0; i < ITERATIONS; i++)
    ev_run(b.ev, EVRUN_NOWAIT);
  CHECK(b.conns.count == CALLERS);
  CHECK(b.conns.nfailed < ITERATIONS / 100);
  b.no_answers = 0;
  pwconn_answer(b.busy[0], 200, "", "x", 1);
  CHECK(is_answered(&b, more));
  setrlimit(RLIMIT_NOFILE, &limit_before);
  close(more);
  close_callers(&b, CALLERS);
  tear_down(&b);
}

/* Accepting resumes after another part of the process has released descriptors. */
static void test_descriptors_released(void) {
  fixture b;
  set_up(&b, 0);
  int more = new_caller();
  struct rlimit limit_before = exhaust_descriptors();
  send_request(&b, more);
  for (int i = 0; i < ITERATIONS; i++)
    ev_run(b.ev, EVRUN_NOWAIT);
  CHECK(b.conns.nfailed < ITERATIONS / 100);
  setrlimit(RLIMIT_NOFILE, &limit_before);
  CHECK(is_answered(&b, more));
  close(more);
  tear_down(&b);
}

/* Connections that are being closed count against the limit. */
static void test_closing_count_against_limit(void) {
  enum { MAX = 16 };
  fixture b;
  int more[MAX];
  set_up(&b, MAX);
  fill(&b, MAX);
  int most = 0;
  for (int i = 0; i < MAX; i++) {
    more[i] = new_caller();
    send_request(&b, more[i]);
    CHECK(is_answered(&b, more[i]));
    int open = b.conns.count + b.tcp.nclosing;
    most = open > most ? open : most;
  }
  CHECK(most <= MAX);
  for (int i = 0; i < MAX; i++)
    close(more[i]);
  close_callers(&b, MAX);
  tear_down(&b);
}

int main(void) {
  TESTS_BEGIN("connections");
  TEST(test_no_descriptor);
  TEST(test_many_new_callers);
  TEST(test_none_idle);
  TEST(test_descriptors_released);
  TEST(test_closing_count_against_limit);
  TESTS_END();
}
