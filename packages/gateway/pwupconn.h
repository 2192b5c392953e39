/* pwupconn.h: pooled HTTP connections to targets. A connection carries one request at a time and reports what becomes of
** it through callbacks. */
#ifndef PWUPCONN_H
#define PWUPCONN_H

#include "pwdialect.h"
#include "pwfleet.h"
#include "pwh1.h"
#include "pwtcp.h"

typedef struct pw_gate pw_gate;

/* Events of a request at a target; `arg` is that of pwupconn_send. */
typedef struct pw_upconn_callbacks {
  void (*sent)(void *arg); /* the request was sent */
  /* Whether an answer belongs to an earlier request of the connection. Fills *info. */
  int (*is_stale)(void *arg, const pw_h1 *m, pw_answer_info *info);
  /* The answer's head, a piece of its body and its end were received. */
  void (*head)(void *arg, const pw_h1 *m, const pw_answer_info *info);
  void (*body)(void *arg, const char *data, size_t n);
  void (*complete)(void *arg);
  /* The connection failed. `unused`: it was reused from the pool and the target has sent nothing over it since. */
  void (*failed)(void *arg, pw_tcp_end how, int unused);
} pw_upconn_callbacks;

/* A request to send. The body is not copied: it must stay until the answer is complete, has failed or was cancelled. */
typedef struct pw_upconn_request {
  const pw_buf *head, *body;
  int is_head_only; /* its answer has no body */
  /* Longest idle time of a connection that is reused, ms. */
  int64_t max_idle_ms;
} pw_upconn_request;

/* Sends a request to a target, over a pooled connection or over a new one. NULL: no connection can be made. */
pw_upconn *pwupconn_send(pw_gate *g, pw_target *t, const pw_upconn_request *r,
                         const pw_upconn_callbacks *calls, void *arg);

/* Called once when a replacement was established or could not be. */
typedef void pw_upconn_replaced(pw_gate *g, pw_target *t, int is_up);

/* Replaces a connection that the target ended: opens one without a request, t->replacement, which goes to the pool.
** Does nothing while an earlier replacement is being established. The callback comes later, or before the return if
** the target refuses at once. Returns 0 if this process cannot open any. */
int pwupconn_replace(pw_gate *g, pw_target *t, pw_upconn_replaced *replaced);

/* Closes that connection if it is still being established or idle. The target's requests must have ended. */
void pwupconn_cancel_replacement(pw_target *t);

/* Cancels the pending answer by resetting the connection. */
void pwupconn_cancel(pw_upconn *u);

/* Whether unread bytes of the answer, or its end, have arrived. */
int pwupconn_is_readable(const pw_upconn *u);

/* Whether bytes have arrived since the current request was sent, also unread ones. */
int pwupconn_has_received(const pw_upconn *u);

void pwupconn_pause(pw_upconn *u, int paused);

/* Closes connections that were idle for too long, and all idle ones to a target that is gone. */
void pwupconn_sweep(pw_target *t, int64_t now);

#endif
