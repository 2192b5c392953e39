/* pwpace.h: how fast bulk may go out over a link that urgent messages share.
**
** Pure: time comes in as an argument. Answers this load: tables of all targets and long
** configurations, wanted by a hundred receivers at once, are many times what the link of
** a control instance carries in a second. Whatever is queued there, votes, leases and
** acknowledgements wait behind. */
#ifndef PWPACE_H
#define PWPACE_H

#include <stddef.h>
#include <stdint.h>

typedef struct pw_pace {
  double bits_a_ms; /* that bulk may take; 0: the link has no bound */
  int64_t free_at;  /* when all that was let out has left, ms */
} pw_pace;

/* Bulk over a link of so many Mbit/s, its share; 0: no bound. */
pw_pace pwpace_of(double link_mbps);

/* Whether the next piece of bulk may go out. */
int pwpace_has_room(const pw_pace *p, int64_t now);

/* It goes out: so many bytes. */
void pwpace_take(pw_pace *p, size_t bytes, int64_t now);

#endif
