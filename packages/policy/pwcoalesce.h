/* pwcoalesce.h: how long updates are coalesced before they are sent to
** watchers.
**
** Pure. The problem: after a loss of all targets, hundreds of them return
** within seconds, a change every few ms, and hundreds of gateways have to be
** notified. Each update is a message to each of them, so the more watchers
** there are, the longer changes of targets wait for those that follow. But a
** gateway can answer no request before it has the configuration, which changes
** rarely: the notice of a newer version waits much less, and separately from
** other updates. */
#ifndef PWCOALESCE_H
#define PWCOALESCE_H

#include <stdint.h>

/* Interval between updates on targets, ms. `relying` watchers are sent all
** changes, `others` only what targets reported to this instance, and targets
** that leave. */
int64_t pwcoalesce_targets_ms(int relying, int others);

/* Interval between notices to all watchers of new versions, such as that of the
** configuration, ms. */
int64_t pwcoalesce_versions_ms(int watchers);

#endif
