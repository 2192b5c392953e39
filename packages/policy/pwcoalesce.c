/* pwcoalesce.c: how long updates are coalesced before they are sent to
** watchers. */
#include "pwcoalesce.h"

#define LEAST_MS 30 /* shortest interval */

/* Interval in ms for each watcher: one that relies on this instance for all
** changes is sent a table of them, any other one a message of a few bytes. */
#define MS_PER_RELYING 2.0
#define MS_PER_WATCHER 0.25

static int64_t at_least(double ms) {
  return ms > LEAST_MS ? (int64_t)ms : LEAST_MS;
}

int64_t pwcoalesce_targets_ms(int relying, int others) {
  return at_least(MS_PER_RELYING * relying + MS_PER_WATCHER * others);
}

int64_t pwcoalesce_versions_ms(int watchers) {
  return at_least(MS_PER_WATCHER * watchers);
}
