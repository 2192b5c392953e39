/* pwreads.h: reads of the configuration, answered by whichever control instance is asked.
**
** One that does not lead asks the leader, which must hold its lease, up to where the log
** is committed, and answers when it has applied that much: no older than what was
** acknowledged when the read came, and the leader's link carries none of it. */
#ifndef PWREADS_H
#define PWREADS_H

#include "pwapi.h"
#include "pwgroup.h"

typedef struct pw_reads pw_reads;

pw_reads *pwreads_new(pw_group *g);

/* Fails those that wait. */
void pwreads_free(pw_reads *r);
void pwreads_end(pw_reads *r);

/* A read came; it is answered now or later. */
void pwreads_add(pw_reads *r, pw_api_call *call, int64_t now);

/* A Confirm or Confirmed came through `sock`. */
void pwreads_message(pw_reads *r, pw_sock *sock, const pw_peer *from,
                     const Pw__Envelope *e, int64_t now);

/* Answers what can be answered by now; sends to the leader who waited too long. */
void pwreads_work(pw_reads *r, int64_t now);

#endif
