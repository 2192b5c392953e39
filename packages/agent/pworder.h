/* pworder.h: carries out the assignment at the target: a thread of its own that
** gives the target orders and sees what became of them.
**
** Each order carries (term, sequence); an order older than one given before is
** never given, and none is given once the agent may not act any more, which is
** looked at right before it is sent. An order is given once for each attempt:
** what failed is told to the leader, which decides when to try again. */
#ifndef PWORDER_H
#define PWORDER_H

#include "pwassign.h"
#include "pwproc.h"

typedef struct pw_order pw_order;

/* One model that the target is to carry. */
typedef struct pw_order_item {
  pw_assigned want;
  int idle; /* no request for the model is in progress: it may be exchanged */
} pw_order_item;

/* What is wanted of the target. */
typedef struct pw_order_want {
  uint64_t term, sequence;
  char role[PW_NAME_MAX];
  pw_order_item item[PWASSIGN_MODELS];
  int n;
} pw_order_want;

/* Starts the thread. */
pw_order *pworder_start(pw_proc *p, const char *url);

/* Ends it; -1 when it waits for a target that says nothing. */
int pworder_stop(pw_order *o);

/* Says what is wanted, and until when (own clock, ms) orders may be given. */
void pworder_want(pw_order *o, const pw_order_want *want, int64_t until);

/* Counts up whenever what follows has changed. */
uint64_t pworder_changes(pw_order *o);

/* Fills in the orders that have come to an end, as last seen at the target; the
** caller frees the models with pworder_state_clear. */
void pworder_state(pw_order *o, Pw__TargetState *out);
void pworder_state_clear(Pw__TargetState *s);

#endif
