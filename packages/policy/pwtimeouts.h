/* pwtimeouts.h: the baseline timeout of a route's callers, learned from the
** timeouts of their requests. A much shorter timeout marks a retry: the
** caller's time goal has passed.
**
** Pure. The baseline is the longest timeout that many requests have. The few
** longer ones, and retries with whatever time is left, do not change it. Where
** callers have different timeouts, the shortest common one is learned while
** hardly any caller has to retry. If all requests below the longest timeout
** were taken for retries, callers with short timeouts would get no slot until
** all others had one. */
#ifndef PWTIMEOUTS_H
#define PWTIMEOUTS_H

#include <stdint.h>

#define PWTIMEOUTS_COUNTERS 16 /* different timeouts that are counted */

/* Timeouts and their frequency. */
typedef struct pw_timeouts_counts {
  int time[PWTIMEOUTS_COUNTERS]; /* logarithm of the timeout, rounded down */
  int count[PWTIMEOUTS_COUNTERS];
  int total;
} pw_timeouts_counts;

typedef struct pw_timeouts {
  pw_timeouts_counts all;
  pw_timeouts_counts unloaded; /* seen while hardly any caller was refused */
} pw_timeouts;

/* Counts a request with a timeout of `ms`; `is_unloaded`: hardly any caller was
** refused recently. */
void pwtimeouts_note(pw_timeouts *u, int64_t ms, int is_unloaded);

/* The baseline timeout in ms, at most a few percent too low; 0: unknown. */
int64_t pwtimeouts_baseline(const pw_timeouts *u);

/* The shortest common timeout of first attempts in ms, at most a few percent
** too low; the baseline while no other is known. */
int64_t pwtimeouts_shortest(const pw_timeouts *u);

#endif
