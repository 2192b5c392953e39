/* pwtopology.c: the groups in which many gateways exchange their loads. */
#include "pwtopology.h"

/* An aggregator that has not answered for SILENT_MS is skipped for AGAIN_MS.
** Answers come ten times a second; until a dead aggregator is skipped,
** its group gets no loads of others. */
#define SILENT_MS 400
#define AGAIN_MS 2000

/* The number of groups is near the square root of the number of gateways, where
** members of a group and groups together are fewest. It grows by doubling, so
** that it rarely changes. */
#define GROUPS_FIRST 4
#define GROUPS_STEP 2

uint32_t pwtopology_groups(int n) {
  uint32_t groups = GROUPS_FIRST;
  if (n <= PWTOPOLOGY_DIRECT_MAX)
    return 1;
  while (groups * groups * GROUPS_STEP < (uint32_t)n)
    groups *= GROUPS_STEP;
  return groups;
}

uint32_t pwtopology_group(uint64_t hash, uint32_t groups) {
  return (uint32_t)(hash % groups);
}

int pwtopology_aggregator(const pw_topology_peer *p, int n, uint32_t groups,
                          uint32_t group, int64_t now) {
  int best = -1, best_answers = 0;
  for (int i = 0; i < n; i++) {
    if (pwtopology_group(p[i].hash, groups) != group)
      continue;
    int answers = p[i].is_self || p[i].skip_until <= now;
    if (best >= 0 && (answers < best_answers ||
                      (answers == best_answers && p[i].hash >= p[best].hash)))
      continue;
    best = i;
    best_answers = answers;
  }
  return best;
}

void pwtopology_sent(pw_topology_peer *p, int64_t now) {
  if (!p->awaiting_since) {
    p->awaiting_since = now;
  } else if (now - p->awaiting_since > SILENT_MS) {
    p->skip_until = now + AGAIN_MS;
    p->awaiting_since = 0;
  }
}

void pwtopology_answered(pw_topology_peer *p) {
  p->awaiting_since = 0;
  p->skip_until = 0;
}
