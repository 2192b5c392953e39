/* pwkvfeed.h: hears the target's cache events, in a thread of its own that asks
** for them (docs/ENGINE.md). */
#ifndef PWKVFEED_H
#define PWKVFEED_H

#include "pwcache.h"

typedef struct pw_kvfeed pw_kvfeed;

/* Starts asking every every_ms; 0: never. */
pw_kvfeed *pwkvfeed_start(const char *url, int64_t every_ms);

/* Ends it; -1 when it waits for a target that says nothing. */
int pwkvfeed_stop(pw_kvfeed *f);

/* Takes what came, if something did (1); freed with pwkvfeed_clear. Nothing is
** asked for until pwkvfeed_go_on. */
int pwkvfeed_take(pw_kvfeed *f, pw_cache_news *out);
void pwkvfeed_clear(pw_cache_news *news);

/* Asks on for what came after event `seen`, or for a whole picture. */
void pwkvfeed_go_on(pw_kvfeed *f, uint64_t seen, int picture);

/* Reads an answer that was asked for at `asked` (our clock, ms). 0, or -1 when
** it is malformed; parts that are, are passed over. Pure. */
int pwkvfeed_read(const char *text, size_t len, int64_t asked,
                  pw_cache_news *out);

#endif
