/* pwprefixsync.h: announces the known prefixes again after another gateway has started. */
#ifndef PWPREFIXSYNC_H
#define PWPREFIXSYNC_H

#include "pwaffinity.h"
#include "pwgossipmsg.h"

/* A pass over the table of prefixes. {0}: none is in progress. */
typedef struct pw_prefix_sync {
  size_t at;
  int is_active;
} pw_prefix_sync;

/* The share of the prefixes that this gateway announces: parts `part` and `part` + 1 of `parts`, so that two gateways
** announce each. */
typedef struct pw_prefix_share {
  uint32_t part, parts;
} pw_prefix_share;

/* Begins a pass, from the start if one is in progress. */
void pwprefixsync_begin(pw_prefix_sync *s);

/* Adds the next prefixes of the pass to a message, as many as it has room for. */
void pwprefixsync_add(pw_prefix_sync *s, const pw_affinity *a,
                      pw_prefix_share share, int64_t now, int64_t keep_ms,
                      pw_gossip_prompts *out);

#endif
