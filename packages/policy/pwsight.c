/* pwsight.c: how gateways tell each other their loads when there are many of them. */
#include "pwsight.h"

/* Who has not answered for so long, ms, is passed over, and is asked again after as long as the
** second: answers come ten times a second, and a dead one's group is blind until then. */
#define SILENT_MS 400
#define AGAIN_MS 2000

/* Groups by the number of gateways: near its square root, where members and groups together
** are fewest, doubled so that few changes of the number of gateways change it. */
#define GROUPS_FIRST 4
#define GROUPS_STEP 2

uint32_t pwsight_groups(int n) {
  uint32_t groups = GROUPS_FIRST;
  if (n <= PWSIGHT_DIRECT)
    return 1;
  while (groups * groups * GROUPS_STEP < (uint32_t)n)
    groups *= GROUPS_STEP;
  return groups;
}

uint32_t pwsight_group(uint64_t hash, uint32_t groups) {
  return (uint32_t)(hash % groups);
}

int pwsight_first(const pw_sight_peer *p, int n, uint32_t groups,
                  uint32_t group, int64_t now) {
  int best = -1, answers = 0;
  for (int i = 0; i < n; i++) {
    if (pwsight_group(p[i].hash, groups) != group)
      continue;
    int well = p[i].is_self || p[i].skip_until <= now;
    if (best >= 0 &&
        (well < answers || (well == answers && p[i].hash >= p[best].hash)))
      continue;
    best = i;
    answers = well;
  }
  return best;
}

void pwsight_asked(pw_sight_peer *p, int64_t now) {
  if (!p->asked_since) {
    p->asked_since = now;
  } else if (now - p->asked_since > SILENT_MS) {
    p->skip_until = now + AGAIN_MS;
    p->asked_since = 0;
  }
}

void pwsight_heard(pw_sight_peer *p) {
  p->asked_since = 0;
  p->skip_until = 0;
}
