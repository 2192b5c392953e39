/* pwaffinity.h: affinity table of fixed size, which maps a shared part of a
** prompt to the targets that have it cached.
**
** A key may overwrite the row of another one with the same index. A lost row
** costs one prompt cache miss and nothing else. */
#ifndef PWAFFINITY_H
#define PWAFFINITY_H

#include <stddef.h>
#include <stdint.h>

/* Targets that are kept for one key; another one replaces the target that was
** used least recently. */
#define PWAFFINITY_HOLDERS 4

/* The bit of a key that marks a part whose prefill is in progress at the target. It
** is clear in the keys of parts that are cached. */
#define PWAFFINITY_PREFILL (1ULL << 63)

typedef struct pw_affinity pw_affinity;

pw_affinity *pwaffinity_new(void);
void pwaffinity_free(pw_affinity *a);

/* Records that at `now`, ms, the target with this short hash has the part cached,
** or computes it if the key has PWAFFINITY_PREFILL. Returns whether other gateways should be told: they do not
** know it, or were told more than half of keep_ms ago. */
int pwaffinity_note(pw_affinity *a, uint64_t key, uint32_t target, int64_t now,
                    int64_t keep_ms);

/* Records the same as reported by another gateway; nothing for target 0. */
void pwaffinity_learn(pw_affinity *a, uint64_t key, uint32_t target,
                      int64_t now);

/* Fills `target` with the short hashes of the targets that got the part within
** keep_ms, the most recently used first. Returns their number. */
int pwaffinity_holders(const pw_affinity *a, uint64_t key, int64_t now,
                       int64_t keep_ms, uint32_t target[PWAFFINITY_HOLDERS]);

/* Iterates over the targets that got a part within keep_ms: *at starts
** at 0 and is advanced. Returns 0 at the end. */
int pwaffinity_next(const pw_affinity *a, size_t *at, int64_t now,
                    int64_t keep_ms, uint64_t *key, uint32_t *target);

#endif
