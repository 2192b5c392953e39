/* pwkvfeed.h: fetches the target's cache events (docs/ENGINE.md) in a thread of
** its own. */
#ifndef PWKVFEED_H
#define PWKVFEED_H

#include "pwcache.h"

typedef struct pw_kvfeed pw_kvfeed;

/* Starts to poll every every_ms; 0: never. */
pw_kvfeed *pwkvfeed_start(const char *url, int64_t every_ms);

/* Stops the thread and frees the feed. Returns -1, and frees nothing, when the
** thread waits for an unresponsive target. */
int pwkvfeed_stop(pw_kvfeed *f);

/* Takes the fetched events, if there are any (returns 1); pwkvfeed_clear frees
** them. Polling is suspended until pwkvfeed_resume. */
int pwkvfeed_take(pw_kvfeed *f, pw_cache_update *out);
void pwkvfeed_clear(pw_cache_update *update);

/* Resumes polling for the events after number `seen`, or for a snapshot. */
void pwkvfeed_resume(pw_kvfeed *f, uint64_t seen, int snapshot);

/* Parses an answer to a request sent at `sent_at` (our clock, ms). Returns -1 when
** it is malformed; single malformed events are skipped. Pure. */
int pwkvfeed_read(const char *text, size_t len, int64_t sent_at,
                  pw_cache_update *out);

#endif
