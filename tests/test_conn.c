/* test_conn.c: callers' connections when a process has no descriptors left, or as many as are
** allowed.
**
** What happened: a connection that is closed to make room keeps its descriptor until its caller
** closes too, or for a second. Nobody counted these, so the next accept failed as well and closed
** the next half, until none was left that rested; then accept failed as fast as the loop turns, with
** a log line each. "accept-failed errno=24 connections=79", 39, 20, 7, 2, 0, and then 541,461 such
** lines in 5 s showed it. */
#include "pwconn.h"
#include "pwports.h"
#include "pwtest.h"

#include <errno.h>
#include <poll.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#define RESTING 64
#define TURNS 20000   /* of a loop that does not wait */
#define WAITS_MS 5000 /* for what comes; never for what does not */

typedef struct bed {
  struct ev_loop *ev;
  pw_tcp_loop tcp;
  pw_conns conns;
  pw_conn *busy[RESTING]; /* whose request is kept in progress */
  int nbusy, is_kept;
  struct sockaddr_in at;
  int caller[RESTING];
} bed;

static void answer(pw_conn *c) {
  bed *b = c->all->arg;
  if (b->is_kept)
    b->busy[b->nbusy++] = c;
  else
    pwconn_answer(c, 200, "", "x", 1);
}

static void set_up(bed *b, int max) {
  *b = (bed){.ev = ev_loop_new(0)};
  pwtcp_loop_init(&b->tcp, b->ev);
  b->conns = (pw_conns){.tcp = &b->tcp,
                        .limits = {1000, 1000, 60000, 60000},
                        .max = max,
                        .arg = b,
                        .handle = answer};
  pwconns_start(&b->conns, test_listen(&b->at));
}

static void tear_down(bed *b) {
  pwconns_end(&b->conns);
  pwtcp_loop_free(&b->tcp);
  ev_loop_destroy(b->ev);
}

/* Lets the loop run for a moment at most. */
static void turn(bed *b) {
  ev_run(b->ev, EVRUN_NOWAIT);
  poll(NULL, 0, 1);
}

static int new_caller(void) {
  return socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
}

static void ask(bed *b, int fd) {
  static const char text[] = "GET / HTTP/1.1\r\n\r\n";
  if (connect(fd, (struct sockaddr *)&b->at, sizeof b->at) != 0)
    CHECK(errno == EINPROGRESS);
  for (int i = 0;
       i < WAITS_MS && send(fd, text, strlen(text), MSG_NOSIGNAL) < 0; i++)
    turn(b);
}

/* What a caller sees: 1 an answer, 0 nothing yet, -1 the end. */
static int look(int fd) {
  char text[400];
  ssize_t n = recv(fd, text, sizeof text, MSG_DONTWAIT);
  if (n > 0)
    return 1;
  return n < 0 && errno == EAGAIN ? 0 : -1;
}

static int is_answered(bed *b, int fd) {
  for (int i = 0; i < WAITS_MS; i++) {
    turn(b);
    if (look(fd) == 1)
      return 1;
  }
  return 0;
}

/* Callers that were answered and stand still: they notice no close. */
static void fill(bed *b, int n) {
  for (int i = 0; i < n; i++) {
    b->caller[i] = new_caller();
    ask(b, b->caller[i]);
    if (!b->is_kept)
      CHECK(is_answered(b, b->caller[i]));
  }
  for (int i = 0; b->is_kept && b->nbusy < n && i < WAITS_MS; i++)
    turn(b);
}

static void close_callers(bed *b, int n) {
  for (int i = 0; i < n; i++)
    close(b->caller[i]);
}

static int count_closed(const bed *b, int n) {
  int closed = 0;
  for (int i = 0; i < n; i++)
    closed += look(b->caller[i]) < 0;
  return closed;
}

/* Lets no more descriptors be had; gives the limit that was. */
static struct rlimit use_up(void) {
  struct rlimit was, none;
  getrlimit(RLIMIT_NOFILE, &was);
  int next = dup(0);
  close(next);
  none = (struct rlimit){(rlim_t)next, was.rlim_max};
  CHECK(setrlimit(RLIMIT_NOFILE, &none) == 0);
  return was;
}

/* One more caller costs few of those that rest their connection, though none of them closes. */
static void test_no_descriptor(void) {
  bed b;
  set_up(&b, 0);
  fill(&b, RESTING);
  int more = new_caller();
  struct rlimit was = use_up();
  ask(&b, more);
  CHECK(is_answered(&b, more));
  CHECK(count_closed(&b, RESTING) <= RESTING / 2);
  CHECK(b.conns.count >= RESTING / 2);
  setrlimit(RLIMIT_NOFILE, &was);
  close(more);
  close_callers(&b, RESTING);
  tear_down(&b);
}

/* Callers that keep coming are all answered, by the longest at rest of those before. */
static void test_many_come(void) {
  bed b;
  int more[RESTING];
  set_up(&b, 0);
  fill(&b, RESTING);
  for (int i = 0; i < RESTING; i++)
    more[i] = new_caller();
  struct rlimit was = use_up();
  for (int i = 0; i < RESTING; i++) {
    ask(&b, more[i]);
    CHECK(is_answered(&b, more[i]));
  }
  setrlimit(RLIMIT_NOFILE, &was);
  for (int i = 0; i < RESTING; i++)
    close(more[i]);
  close_callers(&b, RESTING);
  tear_down(&b);
}

/* Where none rests, accept is not tried as fast as the loop turns; a caller that waits comes in
** when one has ended, however it ended. */
static void test_none_rests(void) {
  bed b;
  set_up(&b, 0);
  b.is_kept = 1;
  fill(&b, RESTING);
  CHECK(b.nbusy == RESTING);
  int more = new_caller();
  struct rlimit was = use_up();
  ask(&b, more);
  for (int i = 0; i < TURNS; i++)
    ev_run(b.ev, EVRUN_NOWAIT);
  CHECK(b.conns.count == RESTING);
  CHECK(b.conns.nfailed < TURNS / 100);
  b.is_kept = 0;
  pwconn_answer(b.busy[0], 200, "", "x", 1);
  CHECK(is_answered(&b, more));
  setrlimit(RLIMIT_NOFILE, &was);
  close(more);
  close_callers(&b, RESTING);
  tear_down(&b);
}

/* Descriptors that others of the process used come back: that is noticed, too. */
static void test_others_give_back(void) {
  bed b;
  set_up(&b, 0);
  int more = new_caller();
  struct rlimit was = use_up();
  ask(&b, more);
  for (int i = 0; i < TURNS; i++)
    ev_run(b.ev, EVRUN_NOWAIT);
  CHECK(b.conns.nfailed < TURNS / 100);
  setrlimit(RLIMIT_NOFILE, &was);
  CHECK(is_answered(&b, more));
  close(more);
  tear_down(&b);
}

/* Connections that are being closed count among those that are allowed. */
static void test_closings_count(void) {
  enum { MAX = 16 };
  bed b;
  int more[MAX];
  set_up(&b, MAX);
  fill(&b, MAX);
  int most = 0;
  for (int i = 0; i < MAX; i++) {
    more[i] = new_caller();
    ask(&b, more[i]);
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
  TEST(test_many_come);
  TEST(test_none_rests);
  TEST(test_others_give_back);
  TEST(test_closings_count);
  TESTS_END();
}
