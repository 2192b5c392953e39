/* pwcoalesce.c: how long updates are coalesced before they are sent to
** watchers. */
#include "pwcoalesce.h"

#define LEAST_MS 30
#define MS_PER_RELYING 2.0  /* as much as a table of changes to each */
#define MS_PER_WATCHER 0.25 /* a message of a few bytes to each */

static int64_t at_least(double ms) {
  return ms > LEAST_MS ? (int64_t)ms : LEAST_MS;
}

int64_t pwcoalesce_targets_ms(int relying, int others) {
  return at_least(MS_PER_RELYING * relying + MS_PER_WATCHER * others);
}

int64_t pwcoalesce_versions_ms(int watchers) {
  return at_least(MS_PER_WATCHER * watchers);
}
