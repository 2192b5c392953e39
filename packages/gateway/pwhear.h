/* pwhear.h: calls back when a ZeroMQ socket may have messages, on libev's loop. */
#ifndef PWHEAR_H
#define PWHEAR_H

#include "pwwire.h"

#include <ev.h>

typedef struct pw_hear {
  struct ev_loop *ev; /* NULL: it was not started */
  void (*read)(void *arg);
  void *arg;
  ev_io io;
  ev_timer poll;
} pw_hear;

/* `read` takes all messages that are there. */
void pwhear_start(pw_hear *h, struct ev_loop *ev, pw_sock *sock,
                  void (*read)(void *arg), void *arg);
void pwhear_stop(pw_hear *h);

#endif
