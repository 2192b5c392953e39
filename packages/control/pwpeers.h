/* pwpeers.h: this instance's links to other control instances: whom it watches, and
** whether all has come that they told. */
#ifndef PWPEERS_H
#define PWPEERS_H

#include "pwmesh.h"
#include "pwproc.h"

typedef struct pw_peers pw_peers;

/* Others are reached through `dialler`. */
pw_peers *pwpeers_new(pw_proc *p, pw_sock *dialler);
void pwpeers_free(pw_peers *o);

pw_mesh *pwpeers_mesh(pw_peers *o);

/* A Watch of another control instance came. */
void pwpeers_watched(pw_peers *o, const Pw__Watch *m, int64_t now);

/* A Notice of another one has been taken in. */
void pwpeers_told(pw_peers *o, const pw_peer *from, const Pw__Envelope *e,
                  int64_t now);

/* It told of a target that is not known here, as after a long pause. */
void pwpeers_ask_all(pw_peers *o, const pw_peer *from);

/* Watches whom it is time to watch. */
void pwpeers_tick(pw_peers *o, int64_t now);

#endif
