/* pwpace.c: pacing of bulk data on a link that urgent messages share. */
#include "pwpace.h"

#define BITS_PER_BYTE 8
#define KBIT_PER_MBIT 1000 /* one kbit/s is one bit a ms */

/* Half of the link: the other half carries heartbeats, calls and the messages
** of the consensus group, which use a tenth to a third of it in a busy
** second. */
#define BULK_SHARE 0.5

/* Bulk data may be queued this many ms ahead: enough for many small pieces in
** one iteration of the event loop, and less than an urgent message can wait
** (50 ms). */
#define AHEAD_MS 20

pw_pace pwpace_of(double link_mbps) {
  return (pw_pace){.bits_per_ms = BULK_SHARE * link_mbps * KBIT_PER_MBIT};
}

int pwpace_has_room(const pw_pace *p, int64_t now) {
  return p->free_at - now < AHEAD_MS;
}

void pwpace_take(pw_pace *p, size_t bytes, int64_t now) {
  if (p->bits_per_ms <= 0)
    return;
  if (p->free_at < now)
    p->free_at = now;
  p->free_at += (int64_t)((double)bytes * BITS_PER_BYTE / p->bits_per_ms);
}
