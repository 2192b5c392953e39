/* pwzmqev.c: watches a ZeroMQ socket for messages on a libev event loop. */
#include "pwzmqev.h"

#include <zmq.h>

/* Polling interval, s, in case a wake-up is missed: the descriptor of a ZeroMQ socket is
** edge-triggered. */
#define POLL_S 0.05

static void on_io(struct ev_loop *ev, ev_io *w, int events) {
  (void)ev;
  (void)events;
  pw_zmqev *h = w->data;
  h->read(h->arg);
}

static void on_poll(struct ev_loop *ev, ev_timer *w, int events) {
  (void)ev;
  (void)events;
  pw_zmqev *h = w->data;
  h->read(h->arg);
}

void pwzmqev_start(pw_zmqev *h, struct ev_loop *ev, pw_sock *sock,
                   void (*read)(void *arg), void *arg) {
  int fd = -1;
  size_t len = sizeof fd;
  *h = (pw_zmqev){.ev = ev, .read = read, .arg = arg};
  zmq_getsockopt(pwwire_raw(sock), ZMQ_FD, &fd, &len);
  ev_io_init(&h->io, on_io, fd, EV_READ);
  ev_timer_init(&h->poll, on_poll, POLL_S, POLL_S);
  h->io.data = h->poll.data = h;
  ev_io_start(ev, &h->io);
  ev_timer_start(ev, &h->poll);
}

void pwzmqev_stop(pw_zmqev *h) {
  if (!h->ev)
    return;
  ev_io_stop(h->ev, &h->io);
  ev_timer_stop(h->ev, &h->poll);
  h->ev = NULL;
}
