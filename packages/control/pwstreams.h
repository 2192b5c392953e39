/* pwstreams.h: which software version began a stream, as gateways tell a
** control instance while targets of several versions serve, and query it.
**
** The leader also confirms which versions are recorded as serving (pwserved.h):
** it answers only while its lease is valid, so that no other instance can have
** recorded a further version before the query came.
**
** The record of streams outlives a loss of all gateways. It is kept in memory and is not
** replicated: each gateway tells two instances. */
#ifndef PWSTREAMS_H
#define PWSTREAMS_H

#include "pwgroup.h"
#include "pwproc.h"

typedef struct pw_streams pw_streams;

/* `group` is borrowed: its leader confirms the recorded versions. */
pw_streams *pwstreams_new(pw_proc *p, pw_sock *listener, const pw_group *group);
void pwstreams_free(pw_streams *s);

/* Takes what a gateway announces, and answers what it queries. */
void pwstreams_message(pw_streams *s, const pw_peer *from,
                       const Pw__StreamReport *m, int64_t now);

/* Drops old records. */
void pwstreams_tick(pw_streams *s, int64_t now);

#endif
