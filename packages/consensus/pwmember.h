/* pwmember.h: choice of the next single change of a group's membership.
**
** An instance with an empty disk joins as a learner under a new id. Once it has
** caught up, the voter of the same slot, whose disk is lost, is removed and the
** learner is promoted. Until then the learner counts in no quorum, so that the
** loss of a second disk right after a replacement loses no committed entry. */
#ifndef PWMEMBER_H
#define PWMEMBER_H

#include "pwcons.h"

/* Whether a configuration contains an id. */
int pwmember_has(const pw_cons_config *c, uint64_t id);

/* Whether an instance must ask to join, possibly again. A learner may have been
** added by a leader that was deposed before that change was committed: it has a
** log or a configuration with its id, but no leader knows of it. */
int pwmember_must_join(const pw_cons *cons, uint64_t id, int64_t lease);

/* In a group of fixed size, a voter that has been silent for this long is
** replaced by a learner that has caught up, ms. It is longer than an election,
** so that a change of leader removes no voter. */
#define PWMEMBER_REPLACE_MS 2500

/* Chooses the next change towards having `joining` (id 0: none) and every
** learner that has caught up as voters. Fills *next and returns the name of the
** change, such as "promote"; NULL: no change is needed. No instance joins for a
** slot whose voter has answered within two leases, so that neither a replaced
** disk nor a second instance that is configured with the same id can displace
** a live voter.
**
** With `size` above 0 the group has that many voters. Further learners wait
** until a voter is silent; one is then promoted, and after that the silent
** voter is removed. */
const char *pwmember_next(const pw_cons *cons, const pw_cons_member *joining,
                          int64_t lease, int size, pw_cons_config *next);

#endif
