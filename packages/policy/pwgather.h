/* pwgather.h: how long news wait for each other before watchers are told.
**
** Pure. Answers this load: after a loss of all, hundreds of targets come back within seconds, a
** change every few ms, and hundreds of gateways are to be told. Each telling is a message to
** each of them, so the more there are the longer changes of targets wait for those that follow;
** but a gateway can answer nobody before it has the configuration, which changes seldom: that
** there is a newer one waits for much less, whatever else is told meanwhile. */
#ifndef PWGATHER_H
#define PWGATHER_H

#include <stdint.h>

/* Between two tellings of changes of targets, ms: `relying` watchers hear of all of them, `others` of
** what was heard here and leaves. */
int64_t pwgather_targets_ms(int relying, int others);

/* Between two tellings of configurations and other versions, to all watchers, ms. */
int64_t pwgather_versions_ms(int watchers);

#endif
