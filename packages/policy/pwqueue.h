/* pwqueue.h: weighted fair queue of waiting requests, with deadlines.
**
** Higher priorities go first; within a priority, workspaces share by weight
** (start-time fair queueing over tokens); within a workspace, the earliest
** deadline goes first. A full queue refuses a request of the workspace that has
** the most tokens queued for its weight, so that a load spike costs only the
** workspace that causes it. */
#ifndef PWQUEUE_H
#define PWQUEUE_H

#include "pwlimits.h"

#include <stdint.h>

typedef struct pw_item {
  char workspace[PW_NAME_MAX];
  double weight;    /* >= 1 */
  int priority;     /* 0 to 9 */
  double cost;      /* tokens */
  int64_t deadline; /* ms */
  int64_t since;    /* when it was queued, ms */
  void *job;        /* belongs to the caller */
} pw_item;

typedef struct pw_queue pw_queue;

pw_queue *pwqueue_new(int cap);
void pwqueue_free(pw_queue *q);
int pwqueue_count(const pw_queue *q);

/* Sum of the tokens of all waiting requests. */
double pwqueue_tokens(const pw_queue *q);

/* Queues an item. Returns NULL, or, when the queue is full, the job to refuse:
** the new one, or one of a workspace that has more than its share queued. */
void *pwqueue_push(pw_queue *q, const pw_item *item);

/* The item to start next, without removing it; 0: none waits. */
int pwqueue_peek(pw_queue *q, pw_item *out);

/* Removes the item that pwqueue_peek returned. */
void pwqueue_pop(pw_queue *q);

/* Removes a job from any position; 0: it is not queued. */
int pwqueue_remove(pw_queue *q, const void *job);

/* Removes and returns one job whose deadline is at or before `now`; NULL:
** none. */
void *pwqueue_expired(pw_queue *q, int64_t now);

/* Tokens queued ahead of a new item of this workspace, weight and priority. */
double pwqueue_ahead(const pw_queue *q, const char *workspace, double weight,
                     int priority);

#endif
