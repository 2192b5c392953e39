/* pwpublish.h: publishes new configuration documents through the log of the
** control group, one after the other, on the leader. */
#ifndef PWPUBLISH_H
#define PWPUBLISH_H

#include "pwapi.h"
#include "pwgroup.h"

typedef struct pw_publish pw_publish;

/* `doc` is the configuration document applied here. */
pw_publish *pwpublish_new(pw_group *g, const pw_doc *doc);
void pwpublish_free(pw_publish *p);

/* Takes a call with a valid document. It is answered once that document or a
** newer one is committed by a quorum. Only for a leader whose lease is
** valid. */
void pwpublish_add(pw_publish *p, pw_api_call *call, int64_t now);

/* A log entry was applied; `o` is its outcome, or NULL if it had none. */
void pwpublish_applied(pw_publish *p, const Pw__Entry *e, const Pw__Outcome *o);

/* Proposes the next document, and fails the calls that were not decided in
** time. */
void pwpublish_tick(pw_publish *p, int64_t now);

/* Fails all calls that wait. */
void pwpublish_end(pw_publish *p);

#endif
