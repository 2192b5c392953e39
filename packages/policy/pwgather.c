/* pwgather.c: how long news wait for each other before watchers are told. */
#include "pwgather.h"

#define LEAST_MS 30
#define MS_A_RELYING 2.0  /* a table's worth of changes to each */
#define MS_A_WATCHER 0.25 /* a message of a few bytes to each */

static int64_t at_least(double ms) {
  return ms > LEAST_MS ? (int64_t)ms : LEAST_MS;
}

int64_t pwgather_targets_ms(int relying, int others) {
  return at_least(MS_A_RELYING * relying + MS_A_WATCHER * others);
}

int64_t pwgather_versions_ms(int watchers) {
  return at_least(MS_A_WATCHER * watchers);
}
