/* pwrendezvous.c: which members of a group hold a record, by rendezvous hashing. */
#include "pwrendezvous.h"

#include <xxhash.h>

static uint64_t rank_of(uint64_t member, uint64_t key) {
  return XXH3_64bits_withSeed(&member, sizeof member, key);
}

int pwrendezvous_choose(const uint64_t *member, int n, uint64_t key, int want,
                        int chosen[PWRENDEZVOUS_MAX]) {
  uint64_t rank[PWRENDEZVOUS_MAX];
  int count = 0;
  if (want > PWRENDEZVOUS_MAX)
    want = PWRENDEZVOUS_MAX;
  for (int i = 0; i < n; i++) {
    uint64_t own = rank_of(member[i], key);
    int at = count;
    while (at > 0 && own > rank[at - 1])
      at--;
    if (at == want)
      continue;
    if (count < want)
      count++;
    for (int k = count - 1; k > at; k--) {
      rank[k] = rank[k - 1];
      chosen[k] = chosen[k - 1];
    }
    rank[at] = own;
    chosen[at] = i;
  }
  return count;
}
