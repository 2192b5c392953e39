/* pwhist.h: buckets of latencies, and how they read as Prometheus text. */
#ifndef PWHIST_H
#define PWHIST_H

#include "pwbuf.h"

#include <stdint.h>

#define PWHIST_BUCKETS 15 /* the last one holds what is over all bounds */

/* The bucket of a latency. */
int pwhist_bucket(int64_t us);

/* HELP and TYPE lines of a metric. */
void pwhist_head(pw_buf *out, const char *name, const char *help);

/* The lines of one series: `bucket` holds how many fell into each. Labels as
** KEY="VALUE",... or "". */
void pwhist_render(pw_buf *out, const char *name, const char *labels,
                   const int64_t *bucket, int64_t sum_us);

#endif
