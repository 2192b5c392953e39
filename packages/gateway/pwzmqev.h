/* pwzmqev.h: watches a ZeroMQ socket for messages on a libev event loop. */
#ifndef PWZMQEV_H
#define PWZMQEV_H

#include "pwwire.h"

#include <ev.h>

typedef struct pw_zmqev {
  struct ev_loop *ev; /* NULL: not started */
  void (*read)(void *arg);
  void *arg;
  ev_io io;
  ev_timer poll;
} pw_zmqev;

/* Starts calling `read` when messages may be waiting; it must take all of them. */
void pwzmqev_start(pw_zmqev *h, struct ev_loop *ev, pw_sock *sock,
                   void (*read)(void *arg), void *arg);
void pwzmqev_stop(pw_zmqev *h);

#endif
