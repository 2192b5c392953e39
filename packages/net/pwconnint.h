/* pwconnint.h: what pwconn.c, pwconnaccept.c and pwconnsweep.c share. */
#ifndef PWCONNINT_H
#define PWCONNINT_H

#include "pwconn.h"

/* Shortest time between log lines of one kind, ms. */
#define PWCONN_LOG_INTERVAL_MS 1000

typedef enum pw_conn_close {
  CLOSE_AFTER_WRITE, /* once all output is written and the caller has closed, too */
  CLOSE_AT_ONCE,     /* frees the descriptor now; all output has been written */
  CLOSE_RESET
} pw_conn_close;

void pwconni_close(pw_conn *c, pw_conn_close how);

/* Makes a connection of an accepted descriptor. */
void pwconni_add(pw_conns *s, int fd);

/* Whether a request has begun to arrive and is not complete. */
int pwconni_is_receiving(const pw_conn *c);

/* Whether no request is in progress or partly received. Unread bytes count as a request: after a stall of
** the process a request may wait in the socket. */
int pwconni_is_idle(const pw_conn *c);

/* Refuses a request that no handler has seen, so it has not run, and closes the connection. */
void pwconni_refuse_and_close(pw_conn *c, pw_code code, const char *message);

/* What is lacking for a request that is being received. */
typedef enum pw_conn_lack { LACKS_MEMORY, LACKS_CONNECTIONS } pw_conn_lack;

/* The same for want of something: the caller is told when to come back. */
void pwconni_refuse_busy(pw_conn *c, pw_conn_lack lack);

/* Accepts callers again. Accepting stops while the listener is full; callers wait in the kernel's backlog
** then. */
void pwconni_resume_accepting(pw_conns *s);

#endif
