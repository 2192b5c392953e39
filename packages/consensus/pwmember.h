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

/* A voter silent for so long gives its place to a learner that has caught up,
** in a group of a set size; ms. Longer than an election, so that a change of
** leader removes nobody. */
#define PWMEMBER_REPLACE_MS 2500

/* The next change towards having `joining` (id 0: nobody) and every learner
** that has caught up as voters. Fills *next and gives what it does, such as
** "promote"; NULL when there is nothing to do. Nobody joins for a slot whose
** voter has answered within two leases: a disk that was replaced cannot push
** out its successor, nor can a second instance set up with the same id.
**
** `size` above 0: the group has so many voters. More learners wait until a voter
** is silent, and take its place: the learner is promoted, then the silent one
** removed. */
const char *pwmember_next(const pw_cons *cons, const pw_cons_member *joining,
                          int64_t lease, int size, pw_cons_config *next);

#endif
