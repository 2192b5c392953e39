/* pwmember.h: which single change of a group's membership comes next.
**
** An instance whose disk is empty joins as a learner under a new id. Once it
** has caught up, the voter of the same slot, whose disk is lost, is removed,
** and then the learner votes; until then it counts in no quorum, so the loss of
** a second instance right after a repair loses nothing. */
#ifndef PWMEMBER_H
#define PWMEMBER_H

#include "pwcons.h"

/* Whether an id is in a configuration. */
int pwmember_has(const pw_cons_config *c, uint64_t id);

/* Whether an instance must ask to be let in (again). A learner may have been
** added by a leader that lost its place before that was committed: it believes
** to be a member, or holds a log, but no leader knows of it. */
int pwmember_seeks(const pw_cons *cons, uint64_t id, int64_t lease);

/* The next change towards having `joining` (id 0: nobody) and every learner
** that has caught up as voters. Fills *next and gives what it does, such as
** "promote"; NULL when there is nothing to do. Nobody joins for a slot whose
** voter has answered within two leases: a disk that was replaced cannot push
** out its successor, nor can a second instance set up with the same id. */
const char *pwmember_next(const pw_cons *cons, const pw_cons_member *joining,
                          int64_t lease, pw_cons_config *next);

#endif
