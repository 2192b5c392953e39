/* pwreads.h: reads of the configuration, answered by any control instance.
**
** An instance that does not lead asks the leader for its commit index, which
** the leader gives only under a valid lease, and answers once it has applied
** the log that far. The leader states with its answer that the entry there is
** committed, so that no heartbeat has to come first. So the answer is never
** older than what was acknowledged before the read came, and the link of the
** leader does not carry the configuration. */
#ifndef PWREADS_H
#define PWREADS_H

#include "pwapi.h"
#include "pwgroup.h"

typedef struct pw_reads pw_reads;

pw_reads *pwreads_new(pw_group *g);

/* pwreads_end fails the calls that wait; pwreads_free also frees all. */
void pwreads_free(pw_reads *r);
void pwreads_end(pw_reads *r);

/* Takes a read, which is answered now or later. */
void pwreads_add(pw_reads *r, pw_api_call *call, int64_t now);

/* Handles a Confirm or Confirmed message, received on `sock`. */
void pwreads_message(pw_reads *r, pw_sock *sock, const pw_peer *from,
                     const Pw__Envelope *e, int64_t now);

/* Answers the reads that are confirmed and applied; all if this instance has
** come to lead. To be called in each iteration of the loop. */
void pwreads_answer(pw_reads *r, int64_t now);

/* Asks the leader again, or the new leader, while reads are not confirmed. */
void pwreads_ask_again(pw_reads *r, int64_t now);

/* Gives up the reads that waited too long: the caller is redirected to the
** leader, or refused while the leader is silent. To be called after
** pwreads_answer, and not while input that arrived in a stall is unread: the
** confirmation may be there. */
void pwreads_expire(pw_reads *r, int64_t now);

/* This process was stalled for `ms`: that is no silence of the leader. */
void pwreads_discount_stall(pw_reads *r, int64_t ms);

#endif
