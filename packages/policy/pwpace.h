/* pwpace.h: pacing of bulk data on a link that urgent messages share.
**
** Pure: time comes in as an argument. Prevents this failure: tables of all
** targets and long configurations, requested by a hundred receivers at once,
** are many times what the link of a control instance carries in a second.
** Votes, leases and acknowledgements would wait behind whatever is queued
** there. */
#ifndef PWPACE_H
#define PWPACE_H

#include <stddef.h>
#include <stdint.h>

typedef struct pw_pace {
  double bits_per_ms; /* rate of bulk data; 0: no limit */
  int64_t free_at;    /* when all bulk data queued so far will be sent, ms */
} pw_pace;

/* Pacing of bulk data on a link of that many Mbit/s; 0: no limit. */
pw_pace pwpace_of(double link_mbps);

/* Whether the next piece of bulk data may be sent. */
int pwpace_has_room(const pw_pace *p, int64_t now);

/* Counts a piece of that many bytes as sent. */
void pwpace_take(pw_pace *p, size_t bytes, int64_t now);

#endif
