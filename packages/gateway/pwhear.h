/* pwhear.h: watches a ZeroMQ socket for messages on a libev event loop. */
#ifndef PWHEAR_H
#define PWHEAR_H

#include "pwwire.h"

#include <ev.h>

typedef struct pw_hear {
  struct ev_loop *ev; /* NULL: not started */
  void (*read)(void *arg);
  void *arg;
  ev_io io;
  ev_timer poll;
} pw_hear;

/* Starts calling `read` when messages may be waiting; it must take all of them. */
void pwhear_start(pw_hear *h, struct ev_loop *ev, pw_sock *sock,
                  void (*read)(void *arg), void *arg);
void pwhear_stop(pw_hear *h);

#endif
