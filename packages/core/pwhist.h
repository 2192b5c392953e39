/* pwhist.h: latency histograms as Prometheus text. */
#ifndef PWHIST_H
#define PWHIST_H

#include "pwbuf.h"

#include <stdint.h>

#define PWHIST_BUCKETS 15 /* the last one has no upper bound */

/* The index of the bucket that a latency falls into. */
int pwhist_bucket(int64_t us);

/* Appends the HELP and TYPE lines of a metric. */
void pwhist_head(pw_buf *out, const char *name, const char *help);

/* Appends the lines of one series; `bucket` holds the count of each bucket. `labels` is
** KEY="VALUE",... or "". */
void pwhist_render(pw_buf *out, const char *name, const char *labels,
                   const int64_t *bucket, int64_t sum_us);

#endif
