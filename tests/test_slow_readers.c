/* test_slow_readers.c: callers that read their answers slowly over connections with a small window.
**
** Guards against this failure: the kernel's TCP_USER_TIMEOUT counts all the time for which the bytes at the head of its queue
** do not fit into the window, whatever the peer reads meanwhile. A caller that read 17 kB a second was reset 3 s after its
** answer was written, with most of it unread. */
#include "pwclock.h"
#include "pwconn.h"
#include "pwports.h"
#include "pwtest.h"

#include <errno.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define RECEIVE_BUFFER 8192 /* bytes; smaller than a segment on loopback */
#define SEND_BUFFER 16384   /* bytes */
#define READ_BYTES 16384    /* bytes of one read, more than are there */
#define SWEEP_S 0.05
#define STALL_MS 1500 /* longest time without progress on a kept connection */
#define LONGEST_MS 60000

typedef struct fixture {
  struct ev_loop *ev;
  pw_tcp_loop tcp;
  pw_conns conns;
  ev_timer sweep;
  size_t bytes; /* of the answer's body */
  int fd;       /* of the caller */
} fixture;

static void answer(pw_conn *c) {
  const fixture *f = c->all->arg;
  char *body = calloc(1, f->bytes);
  pwconn_answer(c, 200, "", body, f->bytes);
  free(body);
}

static void on_sweep(struct ev_loop *ev, ev_timer *w, int events) {
  (void)ev;
  (void)events;
  fixture *f = w->data;
  pwconns_close_stalled(&f->conns, pwclock_ms());
}

/* `send_bytes`: the kernel's send buffer; 0: the system's default. */
static void set_up(fixture *f, size_t bytes, int send_bytes,
                   const char *connection) {
  struct sockaddr_in at;
  char request[100];
  *f = (fixture){.ev = ev_loop_new(0), .bytes = bytes};
  pwtcp_loop_init(&f->tcp, f->ev);
  f->conns = (pw_conns){.tcp = &f->tcp,
                        .limits = {1000, 1000, LONGEST_MS, LONGEST_MS},
                        .stall_complete_ms = STALL_MS,
                        .send_bytes = send_bytes,
                        .arg = f,
                        .handle = answer};
  pwconns_start(&f->conns, test_listen(&at));
  ev_timer_init(&f->sweep, on_sweep, SWEEP_S, SWEEP_S);
  f->sweep.data = f;
  ev_timer_start(f->ev, &f->sweep);
  f->fd = socket(AF_INET, SOCK_STREAM, 0);
  int received = RECEIVE_BUFFER;
  setsockopt(f->fd, SOL_SOCKET, SO_RCVBUF, &received, sizeof received);
  CHECK(connect(f->fd, (struct sockaddr *)&at, sizeof at) == 0);
  int n = snprintf(request, sizeof request,
                   "GET / HTTP/1.1\r\nConnection: %s\r\n\r\n", connection);
  CHECK(send(f->fd, request, (size_t)n, MSG_NOSIGNAL) == n);
}

static void tear_down(fixture *f) {
  close(f->fd);
  ev_timer_stop(f->ev, &f->sweep);
  pwconns_end(&f->conns);
  pwtcp_loop_free(&f->tcp);
  ev_loop_destroy(f->ev);
}

static void iterate_for(fixture *f, int ms) {
  for (int64_t until = pwclock_ms() + ms; pwclock_ms() < until;) {
    ev_run(f->ev, EVRUN_NOWAIT);
    poll(NULL, 0, 1);
  }
}

/* Reads once in every gap_ms until so many bytes have come, or none can come any more; returns how many came. */
static size_t read_slowly(fixture *f, size_t bytes, int gap_ms) {
  char block[READ_BYTES];
  size_t got = 0;
  for (int64_t until = pwclock_ms() + LONGEST_MS;
       got < bytes && pwclock_ms() < until;) {
    ssize_t n = recv(f->fd, block, sizeof block, MSG_DONTWAIT);
    if (n == 0 || (n < 0 && errno != EAGAIN))
      break;
    got += n > 0 ? (size_t)n : 0;
    iterate_for(f, gap_ms);
  }
  return got;
}

/* A connection that closes with the answer waits for its caller as long as that reads. */
static void test_closing_connection(void) {
  fixture f;
  set_up(&f, 100000, 0, "close");
  CHECK(read_slowly(&f, f.bytes, 700) > f.bytes);
  tear_down(&f);
}

/* The same for one that has more to write than the kernel takes. */
static void test_closing_connection_with_a_long_answer(void) {
  fixture f;
  set_up(&f, 150000, SEND_BUFFER, "close");
  CHECK(read_slowly(&f, f.bytes, 700) > f.bytes);
  tear_down(&f);
}

/* One that stays open is not taken for stalled, though the kernel's buffer is full all the time. */
static void test_kept_connection(void) {
  fixture f;
  set_up(&f, 8000000, 0, "keep-alive");
  CHECK(read_slowly(&f, 100000, 700) >= 100000);
  CHECK(f.conns.nstalled == 0);
  tear_down(&f);
}

/* A caller that reads nothing at all is reset, whatever the connection is to do. */
static void test_caller_that_reads_nothing(void) {
  static const size_t bytes[] = {100000, 8000000};
  for (size_t i = 0; i < sizeof bytes / sizeof bytes[0]; i++) {
    fixture f;
    set_up(&f, bytes[i], 0, "close");
    for (int64_t until = pwclock_ms() + LONGEST_MS; pwclock_ms() < until;) {
      iterate_for(&f, 10);
      if (f.conns.count == 0 && f.tcp.nclosing == 0)
        break;
    }
    CHECK(f.conns.count == 0 && f.tcp.nclosing == 0);
    CHECK(read_slowly(&f, bytes[i], 1) < bytes[i]);
    tear_down(&f);
  }
}

int main(void) {
  TESTS_BEGIN("slow readers");
  TEST(test_closing_connection);
  TEST(test_closing_connection_with_a_long_answer);
  TEST(test_kept_connection);
  TEST(test_caller_that_reads_nothing);
  TESTS_END();
}
