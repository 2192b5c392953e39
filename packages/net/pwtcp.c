/* pwtcp.c: TCP connections on an event loop. */
#define _GNU_SOURCE
#include "pwtcp.h"

#include "pwclock.h"

#include <arpa/inet.h>
#include <assert.h>
#include <errno.h>
#include <fcntl.h>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <unistd.h>

#define READ_BYTES (64 * 1024) /* bytes of one read */
#define BACKLOG 1024           /* connections that wait to be accepted */

/* Longest time that a peer which acknowledges nothing can delay a close, ms. */
#define LINGER_MS 3000

/* Bytes of an output buffer that are kept once it is empty; a larger buffer is freed. */
#define OUT_RETAIN_MAX (16 * 1024)

/* How long a closing connection discards input, and interval of the checks whether its peer still reads, ms. */
#define DRAIN_MS 1000

/* Default of lag.iteration_max_ms: the longest iteration of a loop that is not stalled. */
#define ITERATION_MAX_MS 500
#define MS_PER_S 1000.0

struct pw_tcp {
  pw_tcp_loop *l;
  const pw_tcp_callbacks *calls;
  void *arg;
  int fd;
  int connecting;
  int closed;
  int closing; /* closes once `out` is written and the peer has closed */
  ev_timer
      closing_check; /* limits the wait for the peer to read and to close */
  int64_t
      drain_started_at; /* when input began to be discarded, by pwtcp_clock; 0: not yet */
  uint64_t closing_acked;   /* bytes acknowledged at the last check ... */
  int64_t closing_acked_at; /* ... and when they rose last, by pwtcp_clock */
  int *closing_count;       /* of the owner; NULL: none */
  size_t discarded;         /* bytes of input discarded since the close began */
  ev_io rd, wr;
  pw_buf out;
  size_t out_at;    /* bytes of `out` already written */
  pw_span borrowed; /* bytes that the owner keeps, to be written after `out` */
  uint64_t written; /* bytes written to the socket since the start */
  pw_tls *tls;      /* NULL: plain TCP */
  pw_tcp *next;     /* in the list of dead or of closing connections */
};

/* Memory of an established TLS session, bytes. */
#define TLS_BYTES (18 * 1024)

/* Bytes that a connection holds beside its output. */
static size_t held_by(const pw_tcp *c) {
  return sizeof *c + (c->tls ? TLS_BYTES : 0);
}

/* Copies the borrowed bytes: their owner need not keep them any more. */
static void copy_borrowed(pw_tcp *c) {
  if (c->borrowed.n > 0)
    pwbuf_add(&c->out, c->borrowed.p, c->borrowed.n);
  c->borrowed = (pw_span){0};
}

/* --- event loop --- */

static void reap(struct ev_loop *ev, ev_prepare *w, int events) {
  (void)ev;
  (void)events;
  pw_tcp_loop *l = w->data;
  while (l->dead) {
    pw_tcp *c = l->dead;
    l->dead = c->next;
    pwbuf_free(&c->out);
    pwmemory_release(l->memory, held_by(c));
    pwtls_free(c->tls);
    free(c);
  }
}

static void on_iteration(struct ev_loop *ev, ev_check *w, int events) {
  (void)ev;
  (void)events;
  pw_tcp_loop *l = w->data;
  int64_t lost_ms = pwlag_iteration(&l->lag, pwclock_ms());
  if (lost_ms > 0 && l->on_stall)
    l->on_stall(l->arg, lost_ms);
}

void pwtcp_loop_init(pw_tcp_loop *l, struct ev_loop *ev) {
  *l = (pw_tcp_loop){.ev = ev,
                     .read_buf = pw_alloc(READ_BYTES),
                     .lag.iteration_max_ms = ITERATION_MAX_MS};
  ev_prepare_init(&l->reap, reap);
  ev_check_init(&l->iteration, on_iteration);
  ev_set_priority(&l->iteration, EV_MAXPRI);
  l->reap.data = l->iteration.data = l;
  ev_prepare_start(ev, &l->reap);
  ev_check_start(ev, &l->iteration);
  ev_unref(ev);
  ev_unref(ev);
}

void pwtcp_loop_free(pw_tcp_loop *l) {
  while (l->closing)
    pwtcp_close(l->closing, 0);
  reap(l->ev, &l->reap, 0);
  ev_ref(l->ev);
  ev_ref(l->ev);
  ev_prepare_stop(l->ev, &l->reap);
  ev_check_stop(l->ev, &l->iteration);
  free(l->read_buf);
}

void pwtcp_timer(pw_tcp_loop *l, ev_timer *w, int64_t ms) {
  ev_now_update(l->ev);
  ev_timer_stop(l->ev, w);
  ev_timer_set(w, (double)(ms > 0 ? ms : 0) / MS_PER_S, 0);
  ev_timer_start(l->ev, w);
}

int64_t pwtcp_clock(const pw_tcp_loop *l) {
  return pwlag_clock(&l->lag, pwclock_ms());
}

/* --- sockets --- */

static void set_int(int fd, int level, int option, int value) {
  setsockopt(fd, level, option, &value, sizeof value);
}

int pwtcp_listen(const struct sockaddr_in *at) {
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return -1;
  set_int(fd, SOL_SOCKET, SO_REUSEADDR, 1);
  set_int(fd, SOL_SOCKET, SO_RCVBUF, PWTCP_RECEIVE_BYTES);
  if (bind(fd, (const struct sockaddr *)at, sizeof *at) == 0 &&
      listen(fd, BACKLOG) == 0)
    return fd;
  close(fd);
  return -1;
}

int pwtcp_address(const char *text, struct sockaddr_in *out) {
  char ip[32];
  unsigned port;
  *out = (struct sockaddr_in){.sin_family = AF_INET};
  if (sscanf(text, "%31[0-9.]:%u", ip, &port) != 2 || port > 65535)
    return -1;
  out->sin_port = htons((uint16_t)port);
  return inet_pton(AF_INET, ip, &out->sin_addr) == 1 ? 0 : -1;
}

/* Bytes in the socket that the peer has not acknowledged; the end of the stream counts as one. */
static uint64_t unacknowledged(const pw_tcp *c) {
  int n = 0;
  return ioctl(c->fd, SIOCOUTQ, &n) == 0 && n > 0 ? (uint64_t)n : 0;
}

uint64_t pwtcp_acknowledged(const pw_tcp *c) {
  uint64_t left = unacknowledged(c);
  return left < c->written ? c->written - left : 0;
}

/* --- closing --- */

static void unlist_closing(pw_tcp *c) {
  for (pw_tcp **at = &c->l->closing; *at; at = &(*at)->next) {
    if (*at != c)
      continue;
    *at = c->next;
    c->l->nclosing--;
    if (c->closing_count)
      (*c->closing_count)--;
    return;
  }
}

void pwtcp_close(pw_tcp *c, int reset) {
  if (c->closed)
    return;
  c->closed = 1;
  ev_io_stop(c->l->ev, &c->rd);
  ev_io_stop(c->l->ev, &c->wr);
  ev_timer_stop(c->l->ev, &c->closing_check);
  if (reset) {
    struct linger hard = {.l_onoff = 1, .l_linger = 0};
    setsockopt(c->fd, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
  }
  close(c->fd);
  if (c->closing)
    unlist_closing(c);
  c->next = c->l->dead;
  c->l->dead = c;
}

static void end(pw_tcp *c, pw_tcp_end how) {
  if (c->closing)
    pwtcp_close(c, 0);
  else if (!c->closed)
    c->calls->ended(c->arg, how);
}

/* Notes what the peer has acknowledged; returns for how long it has acknowledged nothing more, ms. */
static int64_t closing_idle_ms(pw_tcp *c) {
  uint64_t acked = pwtcp_acknowledged(c);
  int64_t now = pwtcp_clock(c->l);
  if (acked != c->closing_acked) {
    c->closing_acked = acked;
    c->closing_acked_at = now;
  }
  return now - c->closing_acked_at;
}

int pwtcp_has_unacknowledged(const pw_tcp *c) {
  return pwtcp_pending(c) > 0 || unacknowledged(c) > 0;
}

/* Closes a connection whose peer has its bytes or has stopped reading them. The kernel's TCP_USER_TIMEOUT does not serve
** for this: it also counts the time of a peer that reads slowly with a small window. After a stall the timer may fire
** before input that arrived meanwhile is read. Closing with unread input would reset the connection, and the peer would
** lose the unread part of its answer; so times are of pwtcp_clock. */
static void on_closing_check(struct ev_loop *ev, ev_timer *w, int events) {
  (void)ev;
  (void)events;
  pw_tcp *c = w->data;
  int64_t drained_ms =
      c->drain_started_at ? pwtcp_clock(c->l) - c->drain_started_at : 0;
  if (pwtcp_has_unacknowledged(c) && closing_idle_ms(c) >= LINGER_MS)
    pwtcp_close(c, 1);
  else if (pwtcp_has_unacknowledged(c))
    pwtcp_timer(c->l, w, DRAIN_MS);
  else if (drained_ms >= DRAIN_MS)
    pwtcp_close(c, 0);
  else
    pwtcp_timer(c->l, w, DRAIN_MS - drained_ms);
}

/* Half-closes the connection and discards input until the peer closes. A close with unread input
** would reset the connection, and the peer could lose bytes written to it. */
static void drain(pw_tcp *c) {
  shutdown(c->fd, SHUT_WR);
  c->drain_started_at = pwtcp_clock(c->l);
  ev_io_start(c->l->ev, &c->rd);
}

void pwtcp_close_after_write(pw_tcp *c) {
  if (c->closed || c->closing)
    return;
  copy_borrowed(c);
  if (c->tls)
    pwtls_close_notify(c->tls);
  c->closing = 1;
  c->next = c->l->closing;
  c->l->closing = c;
  c->l->nclosing++;
  if (c->closing_count)
    (*c->closing_count)++;
  c->closing_acked = pwtcp_acknowledged(c);
  c->closing_acked_at = pwtcp_clock(c->l);
  pwtcp_timer(c->l, &c->closing_check, DRAIN_MS);
  if (pwtcp_pending(c) == 0)
    drain(c);
}

/* --- reading and writing --- */

/* Decrypts received bytes and delivers the plain text. */
static void read_tls(pw_tcp *c, size_t n) {
  pwtls_feed(c->tls, c->l->read_buf, n);
  while (!c->closed && !c->closing) {
    ssize_t got = pwtls_read(c->tls, c->l->read_buf, READ_BYTES);
    if (got > 0) {
      c->calls->data(c->arg, c->l->read_buf, (size_t)got);
      continue;
    }
    if (got < 0)
      end(c, got == -1 ? PWTCP_EOF : PWTCP_RESET);
    return;
  }
}

/* Discards input of a closing connection; above PWTCP_DISCARD_MAX it is not read any more, and its peer can send no more. */
static void discard(pw_tcp *c, size_t n) {
  c->discarded += n;
  if (c->discarded > PWTCP_DISCARD_MAX)
    ev_io_stop(c->l->ev, &c->rd);
}

static void deliver(pw_tcp *c, size_t n) {
  if (c->closing)
    discard(c, n);
  else if (c->tls)
    read_tls(c, n);
  else
    c->calls->data(c->arg, c->l->read_buf, n);
}

static void on_read(struct ev_loop *ev, ev_io *w, int events) {
  (void)ev;
  (void)events;
  pw_tcp *c = w->data;
  ssize_t n = read(c->fd, c->l->read_buf, READ_BYTES);
  if (n > 0) {
    deliver(c, (size_t)n);
  } else if (n == 0) {
    end(c, PWTCP_EOF);
  } else if (errno != EAGAIN && errno != EINTR) {
    end(c, PWTCP_RESET);
  }
}

static void drained(pw_tcp *c) {
  ev_io_stop(c->l->ev, &c->wr);
  c->out.len = 0;
  c->out_at = 0;
  if (c->out.cap > OUT_RETAIN_MAX)
    pwbuf_free(&c->out);
  if (c->closing)
    drain(c);
  else if (c->calls->drained)
    c->calls->drained(c->arg);
}

/* The bytes to be written next. */
static pw_span next_output(const pw_tcp *c) {
  if (c->out_at < c->out.len)
    return (pw_span){c->out.data + c->out_at, c->out.len - c->out_at};
  return c->borrowed;
}

static void note_written(pw_tcp *c, size_t n) {
  c->written += n;
  if (c->out_at < c->out.len) {
    c->out_at += n;
  } else {
    c->borrowed.p += n;
    c->borrowed.n -= n;
  }
}

static void flush(pw_tcp *c) {
  while (pwtcp_pending(c) > 0) {
    pw_span next = next_output(c);
    ssize_t n = write(c->fd, next.p, next.n);
    if (n > 0) {
      note_written(c, (size_t)n);
      continue;
    }
    if (errno == EINTR)
      continue;
    if (errno != EAGAIN)
      end(c, PWTCP_RESET);
    return;
  }
  drained(c);
}

static void connect_done(pw_tcp *c) {
  int err = 0;
  socklen_t len = sizeof err;
  getsockopt(c->fd, SOL_SOCKET, SO_ERROR, &err, &len);
  if (err) {
    end(c, PWTCP_REFUSED);
    return;
  }
  c->connecting = 0;
  ev_io_start(c->l->ev, &c->rd);
  c->calls->connected(c->arg);
  if (!c->closed)
    flush(c);
}

static void on_write(struct ev_loop *ev, ev_io *w, int events) {
  (void)ev;
  (void)events;
  pw_tcp *c = w->data;
  if (c->connecting)
    connect_done(c);
  else
    flush(c);
}

/* With `borrows`, what is left of `b` is not copied. */
static void write_raw(pw_tcp *c, const void *a, size_t an, const void *b,
                      size_t bn, int borrows) {
  size_t done = 0;
  copy_borrowed(c);
  if (!c->connecting && pwtcp_pending(c) == 0) {
    struct iovec v[2] = {{(void *)a, an}, {(void *)b, bn}};
    ssize_t n = bn ? writev(c->fd, v, 2) : write(c->fd, a, an);
    done = n > 0 ? (size_t)n : 0;
    c->written += done;
    if (done == an + bn)
      return;
  }
  /* A write error shows again when the socket is next writable. */
  if (done < an)
    pwbuf_add(&c->out, (const char *)a + done, an - done);
  size_t skip = done > an ? done - an : 0;
  if (bn > skip && borrows)
    c->borrowed = (pw_span){(const char *)b + skip, bn - skip};
  else if (bn > skip)
    pwbuf_add(&c->out, (const char *)b + skip, bn - skip);
  ev_io_start(c->l->ev, &c->wr);
}

static void send_tls(void *arg, const void *data, size_t n) {
  write_raw(arg, data, n, NULL, 0, 0);
}

/* When the TLS session fails, the connection is shut down, so the owner sees it end. */
static void write_tls(pw_tcp *c, const void *data, size_t n) {
  if (pwtls_write(c->tls, data, n) != 0)
    shutdown(c->fd, SHUT_RDWR);
}

void pwtcp_write2(pw_tcp *c, const void *a, size_t an, const void *b,
                  size_t bn) {
  if (c->closed || c->closing)
    return;
  if (!c->tls) {
    write_raw(c, a, an, b, bn, 0);
    return;
  }
  write_tls(c, a, an);
  write_tls(c, b, bn);
}

void pwtcp_write_borrowed(pw_tcp *c, const void *a, size_t an, const void *b,
                          size_t bn) {
  if (c->tls)
    pwtcp_write2(c, a, an, b, bn);
  else if (!c->closed && !c->closing)
    write_raw(c, a, an, b, bn, 1);
}

void pwtcp_write(pw_tcp *c, const void *data, size_t n) {
  pwtcp_write2(c, data, n, NULL, 0);
}

size_t pwtcp_pending(const pw_tcp *c) {
  return c->out.len - c->out_at + c->borrowed.n;
}

/* 1: unread bytes wait; 0: the peer has closed; -1: no input, or the connection failed. */
static ssize_t peek(const pw_tcp *c) {
  char one;
  return c->closed ? -1 : recv(c->fd, &one, 1, MSG_PEEK | MSG_DONTWAIT);
}

int pwtcp_has_unread(const pw_tcp *c) {
  return peek(c) > 0;
}

int pwtcp_is_readable(const pw_tcp *c) {
  return peek(c) >= 0;
}

void pwtcp_pause(pw_tcp *c, int paused) {
  if (c->closed || c->connecting)
    return;
  if (paused)
    ev_io_stop(c->l->ev, &c->rd);
  else
    ev_io_start(c->l->ev, &c->rd);
}

void pwtcp_count_closing(pw_tcp *c, int *count) {
  c->closing_count = count;
}

void pwtcp_set_silent(pw_tcp *c, int silent_ms) {
  set_int(c->fd, IPPROTO_TCP, TCP_USER_TIMEOUT, silent_ms);
}

/* --- opening --- */

static pw_tcp *new_conn(pw_tcp_loop *l, int fd, const pw_tcp_callbacks *calls,
                        void *arg) {
  pw_tcp *c = pw_alloc(sizeof *c);
  c->l = l;
  c->fd = fd;
  c->calls = calls;
  c->arg = arg;
  c->out.memory = l->memory;
  ev_io_init(&c->rd, on_read, fd, EV_READ);
  ev_io_init(&c->wr, on_write, fd, EV_WRITE);
  ev_timer_init(&c->closing_check, on_closing_check, 0, 0);
  c->rd.data = c->wr.data = c->closing_check.data = c;
  set_int(fd, IPPROTO_TCP, TCP_NODELAY, 1);
  return c;
}

pw_tcp *pwtcp_accepted(pw_tcp_loop *l, int fd, const pw_tls_keys *keys,
                       const pw_tcp_callbacks *calls, void *arg) {
  pw_tcp *c = new_conn(l, fd, calls, arg);
  if (keys)
    c->tls = pwtls_new(keys, send_tls, c);
  pwmemory_charge(l->memory, held_by(c));
  ev_io_start(l->ev, &c->rd);
  return c;
}

pw_tcp *pwtcp_connect(pw_tcp_loop *l, const struct sockaddr_in *to,
                      int silent_ms, const pw_tcp_callbacks *calls, void *arg) {
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return NULL;
  set_int(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, silent_ms);
  pw_tcp *c = new_conn(l, fd, calls, arg);
  c->connecting = 1;
  if (connect(fd, (const struct sockaddr *)to, sizeof *to) != 0 &&
      errno != EINPROGRESS) {
    int why = errno;
    close(fd);
    free(c);
    errno = why;
    return NULL;
  }
  pwmemory_charge(l->memory, held_by(c));
  ev_io_start(l->ev, &c->wr);
  return c;
}
