/* pworder.h: applies the assignment at the target: a thread of its own sends the
** target orders and polls their results.
**
** Each order has a (term, sequence). An order older than the one sent before is
** never sent, and no order is sent after the agent's permission has expired, which
** is checked right before sending. An order is sent once for each attempt; a
** failure is reported to the leader, which decides when to try again. */
#ifndef PWORDER_H
#define PWORDER_H

#include "pwassign.h"
#include "pwproc.h"

typedef struct pw_order pw_order;

/* One model of the assignment. */
typedef struct pw_order_item {
  pw_assigned want;
  int idle; /* no request is in progress, so the version may be exchanged */
} pw_order_item;

/* The desired state of the target. */
typedef struct pw_order_want {
  uint64_t term, sequence;
  char role[PW_NAME_MAX];
  pw_order_item item[PWASSIGN_MODELS];
  int n;
} pw_order_want;

/* Starts the thread. */
pw_order *pworder_start(pw_proc *p, const char *url);

/* Stops the thread and frees the object. Returns -1, and frees nothing, when the
** thread waits for an unresponsive target. */
int pworder_stop(pw_order *o);

/* Sets the desired state, and until when (own clock, ms) orders may be sent. */
void pworder_set_want(pw_order *o, const pw_order_want *want, int64_t until);

/* A counter that grows whenever the result of pworder_state changes. */
uint64_t pworder_changes(pw_order *o);

/* Fills in the orders that have succeeded or failed, as last seen at the target.
** pworder_state_clear frees the models. */
void pworder_state(pw_order *o, Pw__TargetState *out);
void pworder_state_clear(Pw__TargetState *s);

#endif
