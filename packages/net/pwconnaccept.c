/* pwconnaccept.c: the listening side of HTTP/1 connections: accepts callers, and makes room for them. */
#define _GNU_SOURCE
#include "pwclock.h"
#include "pwconnint.h"
#include "pwlog.h"

#include <errno.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

/* To make room, one in so many idle connections is closed at a time, or of the requests that arrive slowly. Each one
** closed costs its caller a reconnect, so the share is small; but each search for the longest visits all of them, so more
** than one is closed. */
#define CLOSE_FRACTION 8

/* Retry interval of accept when no idle connection can be closed, ms. Another part of the process
** may release a descriptor without notice; the end of a connection of this listener resumes
** accepting at once. */
#define ACCEPT_RETRY_MS 50

void pwconni_resume_accepting(pw_conns *s) {
  if (s->listening.fd >= 0 && !ev_is_active(&s->listening))
    ev_io_start(s->tcp->ev, &s->listening);
}

/* A request that has been arriving for less than this is not refused to make room, ms. */
#define ARRIVAL_MS 1000

static int by_since(const void *a, const void *b) {
  int64_t x = (*(pw_conn *const *)a)->since;
  int64_t y = (*(pw_conn *const *)b)->since;
  return (x > y) - (x < y);
}

/* Lists the connections that pass a test, those first that have been so for longest, in an array that the caller frees;
** returns their number. */
static int list_longest(const pw_conns *s, int (*test)(const pw_conn *c),
                        pw_conn ***out) {
  pw_conn **list = pw_alloc(sizeof *list * (size_t)(s->count + 1));
  int n = 0;
  for (pw_conn *c = s->first; c; c = c->next)
    if (test(c))
      list[n++] = c;
  qsort(list, (size_t)n, sizeof(pw_conn *), by_since);
  *out = list;
  return n;
}

/* How many of n connections are closed at a time. */
static int batch_of(int n) {
  return (n + CLOSE_FRACTION - 1) / CLOSE_FRACTION;
}

/* Closes the longest idle connections and frees their descriptors at once; returns how many. A
** connection that waits for its caller to close keeps its descriptor for up to a second, and in
** that time all idle connections would be closed one after another. */
static int close_longest_idle(pw_conns *s) {
  pw_conn **idle;
  int batch = batch_of(list_longest(s, pwconni_is_idle, &idle));
  for (int i = 0; i < batch; i++)
    pwconni_close(idle[i], pwtcp_pending(idle[i]->tcp) ? CLOSE_AFTER_WRITE
                                                       : CLOSE_AT_ONCE);
  free(idle);
  return batch;
}

/* Whether a request has been arriving for a while and is not complete. */
static int is_slow_to_arrive(const pw_conn *c) {
  return pwconni_is_receiving(c) &&
         pwtcp_clock(c->all->tcp) - c->since >= ARRIVAL_MS;
}

/* Refuses the requests that have been arriving for longest. Their connections close within a second or so. */
static void refuse_slowest(pw_conns *s) {
  pw_conn **slow;
  int batch = batch_of(list_longest(s, is_slow_to_arrive, &slow));
  for (int i = 0; i < batch; i++)
    pwconni_refuse_busy(slow[i], LACKS_CONNECTIONS);
  free(slow);
}

/* Whether the limit is reached. Closing connections count: they still have their descriptors. */
static int is_full(const pw_conns *s) {
  return s->max && s->count + s->nclosing >= s->max;
}

static int has_room(pw_conns *s) {
  if (is_full(s) && close_longest_idle(s) == 0)
    refuse_slowest(s);
  return !is_full(s);
}

/* Stops accepting until a connection ends or ACCEPT_RETRY_MS have passed; callers wait in the
** kernel's backlog. */
static void wait_for_room(pw_conns *s) {
  ev_io_stop(s->tcp->ev, &s->listening);
  pwtcp_timer(s->tcp, &s->accept_retry, ACCEPT_RETRY_MS);
}

static void on_accept_retry(struct ev_loop *ev, ev_timer *w, int events) {
  (void)ev;
  (void)events;
  pwconni_resume_accepting(w->data);
}

static void log_accept_failed(pw_conns *s, int err) {
  int64_t now = pwclock_ms();
  s->nfailed++;
  if (s->failed_logged_at && now - s->failed_logged_at < PWCONN_LOG_INTERVAL_MS)
    return;
  pwlog(LOG_WARNING, "accept-failed",
        "errno=%d connections=%d closing=%d times=%d", err, s->count,
        s->tcp->nclosing, s->nfailed - s->nfailed_logged);
  s->nfailed_logged = s->nfailed;
  s->failed_logged_at = now;
}

static int lacks_descriptor(int err) {
  return err == EMFILE || err == ENFILE;
}

static void take_or_close(pw_conns *s, int fd) {
  if (s->takes && !s->takes(s->arg))
    close(fd);
  else
    pwconni_add(s, fd);
}

static void on_listening(struct ev_loop *ev, ev_io *w, int events) {
  (void)ev;
  (void)events;
  pw_conns *s = w->data;
  int has_closed = 0;
  while (has_room(s)) {
    int fd = accept4(w->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd >= 0) {
      take_or_close(s, fd);
      has_closed = 0;
      continue;
    }
    int err = errno;
    if (err == EAGAIN)
      return;
    if (err == EINTR || err == ECONNABORTED)
      continue;
    log_accept_failed(s, err);
    if (has_closed || !lacks_descriptor(err) || close_longest_idle(s) == 0)
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
    pwmemory_release(s->tcp->memory, sizeof *c);
    free(c);
  }
}

void pwconns_start(pw_conns *s, int fd) {
  ev_prepare_init(&s->reap, on_reap);
  ev_io_init(&s->listening, on_listening, fd, EV_READ);
  ev_timer_init(&s->accept_retry, on_accept_retry, 0, 0);
  s->reap.data = s->listening.data = s->accept_retry.data = s;
  ev_prepare_start(s->tcp->ev, &s->reap);
  ev_io_start(s->tcp->ev, &s->listening);
}

void pwconns_stop_listening(pw_conns *s) {
  if (!s->reap.data || s->listening.fd < 0)
    return;
  ev_io_stop(s->tcp->ev, &s->listening);
  ev_timer_stop(s->tcp->ev, &s->accept_retry);
  close(s->listening.fd);
  s->listening.fd = -1;
}

void pwconns_end(pw_conns *s) {
  if (!s->reap.data)
    return; /* never started */
  pwconns_stop_listening(s);
  while (s->first)
    pwconn_abort(s->first);
  ev_prepare_stop(s->tcp->ev, &s->reap);
  on_reap(s->tcp->ev, &s->reap, 0);
  pwbuf_free(&s->chunk);
}
