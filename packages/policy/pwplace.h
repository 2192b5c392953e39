/* pwplace.h: home of a chat by rendezvous hashing through a slot table.
**
** A chat's key maps to one of PW_PLACEMENT_SLOTS slots; each slot ranks its
** PW_PLACEMENT_RANKS best targets by weighted rendezvous score. A pick is one
** table read however many targets there are; a target that joins or leaves
** only changes the slots that it is ranked in. Tables are immutable and may be
** read by any thread. */
#ifndef PWPLACE_H
#define PWPLACE_H

#include "pwlimits.h"

#include <stddef.h>
#include <stdint.h>

typedef struct pw_place_target {
  uint64_t id; /* pwplace_id of its name */
  uint32_t weight;
} pw_place_target;

typedef struct pw_place pw_place;

/* Hash of a target's name. */
uint64_t pwplace_id(const char *name);

/* Hash of a chat within a pool. */
uint64_t pwplace_key(const char *pool, const char *chat);

/* Builds a table for n targets (at most 65,534), in any order. `old`, when not
** NULL, is a table of earlier targets; it only makes the build faster, the
** result is the same. */
pw_place *pwplace_build(const pw_place_target *t, int n, const pw_place *old);
void pwplace_free(pw_place *p);

int pwplace_count(const pw_place *p);

/* Target id at a rank (0 is the home) for a key; 0: there are fewer targets. */
uint64_t pwplace_rank(const pw_place *p, uint64_t key, int rank);

/* The result of pwplace_rank, computed by its definition over all targets; for
** tests. */
uint64_t pwplace_naive(const pw_place_target *t, int n, uint64_t key, int rank);

#endif
