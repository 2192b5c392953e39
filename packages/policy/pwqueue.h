/* pwqueue.h: weighted fair queue of waiting requests, with deadlines.
**
** Classes by priority, higher first; within a class workspaces share by weight
** (start-time fair queueing over tokens); within a workspace the earliest
** deadline goes first. A full queue refuses from the workspace that holds most
** for its weight, so that a surge costs only the one that surges. */
#ifndef PWQUEUE_H
#define PWQUEUE_H

#include "pwlimits.h"

#include <stdint.h>

typedef struct pw_item {
  char workspace[PW_NAME_MAX];
  double weight; /* >= 1 */
  int priority;  /* 0 to 9 */
  double cost;   /* tokens */
  int64_t deadline;
  int64_t since; /* when it was queued, ms */
  void *job;     /* the caller's */
} pw_item;

typedef struct pw_queue pw_queue;

pw_queue *pwqueue_new(int cap);
void pwqueue_free(pw_queue *q);
int pwqueue_count(const pw_queue *q);

/* Tokens waiting in all. */
double pwqueue_tokens(const pw_queue *q);

/* Queues an item. Gives NULL, or the job that must be refused for want of
** room: the new one, or one of a workspace that holds more than its share. */
void *pwqueue_push(pw_queue *q, const pw_item *item);

/* The item to start next, without taking it; 0 when none waits. */
int pwqueue_peek(pw_queue *q, pw_item *out);

/* Takes the item that pwqueue_peek gave. */
void pwqueue_pop(pw_queue *q);

/* Takes a job out, wherever it is; 0 when it is not there. */
int pwqueue_remove(pw_queue *q, const void *job);

/* Takes out one job whose deadline is at or before `now`; NULL if none. */
void *pwqueue_expired(pw_queue *q, int64_t now);

/* Tokens that go before a new item of this workspace, weight and priority. */
double pwqueue_ahead(const pw_queue *q, const char *workspace, double weight,
                     int priority);

#endif
