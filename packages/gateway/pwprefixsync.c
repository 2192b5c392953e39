/* pwprefixsync.c: announces the known prefixes again after another gateway has started. */
#include "pwprefixsync.h"

#include <xxhash.h>

void pwprefixsync_begin(pw_prefix_sync *s) {
  *s = (pw_prefix_sync){.is_active = 1};
}

static int is_ours(uint64_t key, pw_prefix_share share) {
  uint64_t part = XXH3_64bits(&key, sizeof key) % share.parts;
  return part == share.part || part == (share.part + 1) % share.parts;
}

void pwprefixsync_add(pw_prefix_sync *s, const pw_affinity *a,
                      pw_prefix_share share, int64_t now, int64_t keep_ms,
                      pw_gossip_prompts *out) {
  uint64_t key;
  uint32_t target;
  while (s->is_active && out->n < PWGOSSIPMSG_PROMPTS_ALL) {
    s->is_active = pwaffinity_next(a, &s->at, now, keep_ms, &key, &target);
    if (s->is_active && is_ours(key, share))
      pwgossipmsg_add_prompt(out, key, target);
  }
}
