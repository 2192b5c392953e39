/* pwwaiting.h: requests of one service that wait at a gateway for a place at a
** target: whether one more may wait, who is next, when a refused caller is to come
** back.
**
** Pure: time comes in as an argument. A request waits for so long as it can still be
** answered within its goal; who would wait longer is refused at once. */
#ifndef PWWAITING_H
#define PWWAITING_H

#include "pwqueue.h"

#include <stdint.h>

/* Requests of one service that wait at most, whatever the rate. */
#define PWWAITING_MAX 2000

/* Urgencies that are told apart: the operator's, below PWWAITING_SURPLUS; and the same
** again, after all of those, for what a workspace sends beyond its usual. */
#define PWWAITING_SURPLUS 10
#define PWWAITING_URGENCIES (2 * PWWAITING_SURPLUS)

typedef struct pw_waiting {
  pw_queue *queue;
  double rate; /* requests a second that got a place lately */
  double got;  /* places since rate_at */
  int64_t rate_at;
  double reserve[PWWAITING_URGENCIES]; /* share of slots that each urgency has
                                       ** before less urgent ones */
} pw_waiting;

/* A request that found no place. */
typedef struct pw_waiting_ask {
  const char *workspace;
  int urgency;          /* 0 first, below PWWAITING_URGENCIES */
  int is_last;          /* it goes after others of its urgency */
  int64_t goal_ms;      /* within which its answer is worth most; 0: not told */
  int64_t time_left_ms; /* that its caller has */
  void *job;
} pw_waiting_ask;

typedef struct pw_waiting_answer {
  int may_wait;
  int64_t patience_ms; /* how long at most */
  double ahead;        /* requests that would go before it */
  double wait_ms;      /* expected */
  void *pushed_out;    /* another that must be refused in its place, or NULL */
} pw_waiting_answer;

void pwwaiting_init(pw_waiting *w, int64_t now);
void pwwaiting_free(pw_waiting *w);

/* Whether the request may wait; if so it is in the queue. */
pw_waiting_answer pwwaiting_ask(pw_waiting *w, const pw_waiting_ask *ask,
                                int64_t now);

/* Whether a request that came found a place at once: more is kept for its urgency when
** too many do not. */
void pwwaiting_found(pw_waiting *w, int urgency, int at_once);

/* The share of a target's slots that a request of this urgency leaves to more urgent
** ones; one that goes last leaves it to others of its own urgency, too. */
double pwwaiting_reserve(const pw_waiting *w, int urgency, int is_last);

/* Whether somebody waits who goes before a newcomer. */
int pwwaiting_precedes(pw_waiting *w, int urgency, int is_last);

/* After pwwaiting_rewind, pwwaiting_next gives one after the other that waits, in
** their order, without taking any; NULL: no more. With *in_turn it may have a place
** that is kept for more urgent ones: its class was passed over for long. */
void pwwaiting_rewind(pw_waiting *w);
void *pwwaiting_next(pw_waiting *w, int *in_turn);

/* One that pwwaiting_next gave has got a place. */
void pwwaiting_took(pw_waiting *w, void *job);

/* One that waited does not any more. */
void pwwaiting_left(pw_waiting *w, void *job);

/* A request got a place, waiting or not: the rate is learned from these. */
void pwwaiting_placed(pw_waiting *w, int64_t now);

/* When a refused caller is to come back, ms: not before what waits has gone, spread
** over the time in which it would still come; `draw` is uniform in [0, 1). */
int64_t pwwaiting_retry(const pw_waiting_answer *a, int64_t time_left_ms,
                        double draw);

#endif
