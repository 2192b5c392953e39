/* pwkeepers.h: which members of a group keep a record, by rendezvous hashing.
**
** Pure. Members that have the same list choose the same keepers without a message; a member more or less changes the
** keepers of few keys. */
#ifndef PWKEEPERS_H
#define PWKEEPERS_H

#include <stdint.h>

/* Most keepers of one key. */
#define PWKEEPERS_MAX 8

/* Chooses up to `want` (at most PWKEEPERS_MAX) of `n` members, given by their hashes, the most preferred first: their
** indices are written to `chosen`. Returns how many were chosen. */
int pwkeepers_choose(const uint64_t *member, int n, uint64_t key, int want,
                     int chosen[PWKEEPERS_MAX]);

#endif
