/* pworigins.h: which software version began a stream, by a hash of the stream.
**
** Pure: time comes in as an argument. A stream may go on only at the version that began it, and any gateway may be
** asked to let it go on. Records are bounded in number and are dropped some time after they were last noted. */
#ifndef PWORIGINS_H
#define PWORIGINS_H

#include <stddef.h>
#include <stdint.h>

/* A record is kept for at least this time after it was last noted, and for at most twice as long, ms. A caller whose
** connection broke comes back within its deadline, or not at all. */
#define PWORIGINS_KEEP_MS 60000

/* Records noted within PWORIGINS_KEEP_MS that are kept; with more of them the oldest are dropped sooner. */
#define PWORIGINS_MAX 65536

/* In place of a version: targets of more than one version are said to have begun the stream. */
#define PWORIGINS_CONFLICT 0

typedef struct pw_origins pw_origins;

/* What is known of a stream's beginning. */
typedef struct pw_origin {
  uint64_t
      version; /* hash of the service and its software version, or PWORIGINS_CONFLICT */
  int64_t age_ms; /* since it was last noted */
  int is_own;     /* it began at this gateway */
} pw_origin;

pw_origins *pworigins_new(void);
void pworigins_free(pw_origins *o);

/* Notes that a target of this version began the stream. A second version makes it a conflict, which stays. */
void pworigins_note(pw_origins *o, uint64_t stream, uint64_t version,
                    int is_own, int64_t now);

/* Looks a stream up. Returns 0 if it is not known. */
int pworigins_find(const pw_origins *o, uint64_t stream, int64_t now,
                   pw_origin *out);

/* Drops records that were last noted too long ago. */
void pworigins_tick(pw_origins *o, int64_t now);

/* Number of records. One that was noted again lately may count twice. */
size_t pworigins_count(const pw_origins *o);

#endif
