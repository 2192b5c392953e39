/* pwpace.c: how fast bulk may go out over a link that urgent messages share. */
#include "pwpace.h"

#define BITS_PER_BYTE 8
#define KBIT_PER_MBIT 1000 /* and bits a ms for each kbit a second */

/* Half of the link: the other half carries heartbeats, calls and the group's messages,
** which take a tenth to a third of it in a busy second (link-busy lines). */
#define BULK_SHARE 0.5

/* Bulk may be let out for so long ahead, ms: many small pieces in one turn of the loop, and
** no more than an urgent message can wait for (50 ms). */
#define AHEAD_MS 20

pw_pace pwpace_of(double link_mbps) {
  return (pw_pace){.bits_a_ms = BULK_SHARE * link_mbps * KBIT_PER_MBIT};
}

int pwpace_has_room(const pw_pace *p, int64_t now) {
  return p->free_at - now < AHEAD_MS;
}

void pwpace_take(pw_pace *p, size_t bytes, int64_t now) {
  if (p->bits_a_ms <= 0)
    return;
  if (p->free_at < now)
    p->free_at = now;
  p->free_at += (int64_t)((double)bytes * BITS_PER_BYTE / p->bits_a_ms);
}
