/* pwrendezvous.h: which members of a group hold a record, by rendezvous hashing.
**
** Pure. Members that have the same list choose the same holders without a message; a member more or less changes the
** holders of few keys. */
#ifndef PWRENDEZVOUS_H
#define PWRENDEZVOUS_H

#include <stdint.h>

/* Most holders of one key. */
#define PWRENDEZVOUS_MAX 8

/* Chooses up to `want` (at most PWRENDEZVOUS_MAX) of `n` members, given by their hashes, the most preferred first: their
** indices are written to `chosen`. Returns how many were chosen. */
int pwrendezvous_choose(const uint64_t *member, int n, uint64_t key, int want,
                        int chosen[PWRENDEZVOUS_MAX]);

#endif
