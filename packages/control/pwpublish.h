/* pwpublish.h: the configuration documents that the leader is asked to take,
** one after the other. */
#ifndef PWPUBLISH_H
#define PWPUBLISH_H

#include "pwapi.h"
#include "pwgroup.h"

typedef struct pw_publish pw_publish;

/* `doc` is the document applied here. */
pw_publish *pwpublish_new(pw_group *g, const pw_doc *doc);
void pwpublish_free(pw_publish *p);

/* A valid document came; the call is answered once it or a newer one is held by
** a quorum. Only for a leader with its lease. */
void pwpublish_add(pw_publish *p, pw_api_call *call, int64_t now);

/* An entry was applied; `o` is NULL unless it gave an outcome. */
void pwpublish_applied(pw_publish *p, const Pw__Entry *e, const Pw__Outcome *o);

/* Proposes the next one; gives up what is not decided in time. */
void pwpublish_tick(pw_publish *p, int64_t now);

/* Every call that waits gets its answer. */
void pwpublish_end(pw_publish *p);

#endif
