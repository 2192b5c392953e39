/* pwservedrecord.h: records in the replicated log which software versions of
** each service's targets serve or served lately. Only the leader writes.
**
** A version stays in the record for PWORIGINS_KEEP_MS after its last target
** has gone, since a caller may resume a stream of that version until then. A
** new leader counts all recorded versions as just seen, so that no version
** leaves the record too early after a change of leaders. */
#ifndef PWSERVEDRECORD_H
#define PWSERVEDRECORD_H

#include "pwgroup.h"
#include "pwwatch.h"

typedef struct pw_served_record pw_served_record;

pw_served_record *pwservedrecord_new(pw_group *group, const pw_watch *watch);
void pwservedrecord_free(pw_served_record *r);

/* Proposes what the record lacks, if this instance leads. */
void pwservedrecord_tick(pw_served_record *r, int64_t now);

#endif
