/* pwaffinity.h: affinity table of fixed size, which maps a prompt to the target
** that got it last.
**
** A prompt may overwrite the row of another one with the same index. A lost row
** costs one prompt cache miss and nothing else. */
#ifndef PWAFFINITY_H
#define PWAFFINITY_H

#include <stddef.h>
#include <stdint.h>

typedef struct pw_affinity pw_affinity;

pw_affinity *pwaffinity_new(void);
void pwaffinity_free(pw_affinity *a);

/* Records that the prompt of `key` was sent to the target with this short hash at `now`, ms. */
void pwaffinity_note(pw_affinity *a, uint64_t key, uint32_t target,
                     int64_t now);

/* Short hash of the target that got the prompt last, within keep_ms; 0: unknown. */
uint32_t pwaffinity_find(const pw_affinity *a, uint64_t key, int64_t now,
                         int64_t keep_ms);

#endif
