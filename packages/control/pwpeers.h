/* pwpeers.h: links of this instance to other control instances: which of
** them it watches, and whether all their updates have arrived. */
#ifndef PWPEERS_H
#define PWPEERS_H

#include "pwmesh.h"
#include "pwproc.h"

typedef struct pw_peers pw_peers;

/* Other control instances are reached through `dialler`. */
pw_peers *pwpeers_new(pw_proc *p, pw_sock *dialler);
void pwpeers_free(pw_peers *o);

pw_mesh *pwpeers_mesh(pw_peers *o);

/* Handles a Watch message of another control instance. */
void pwpeers_on_watch(pw_peers *o, const Pw__Watch *m, int64_t now);

/* Checks a Notice of another control instance for a gap in the numbers of
** its updates. */
void pwpeers_on_notice(pw_peers *o, const pw_peer *from, const Pw__Envelope *e,
                       int64_t now);

/* Requests all targets from an instance that sent a renewal of a target that
** is unknown here, as after a long stall. */
void pwpeers_request_all(pw_peers *o, const pw_peer *from);

/* Sends the Watch messages that are due. */
void pwpeers_tick(pw_peers *o, int64_t now);

#endif
