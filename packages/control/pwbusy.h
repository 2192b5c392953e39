/* pwbusy.h: logs what fills the link of a control instance while the link is
** busy.
**
** At most one line a second: bytes sent by kind, and the longest round trip
** of messages of the group. docs/OPERATIONS.md: "control loses its leader". */
#ifndef PWBUSY_H
#define PWBUSY_H

#include "pwproc.h"

#define PW_BUSY_KINDS 4

typedef struct pw_busy {
  int64_t since;               /* when the period began, ms */
  int64_t sent[PW_BUSY_KINDS]; /* values of the counters at that time */
  int64_t round_ms; /* longest time from an append to its reply since then */
} pw_busy;

/* Notes the round trip of a reply of the group. */
void pwbusy_message(pw_busy *b, const Pw__Cons *m, int64_t now);

/* Ends a period of a second: logs the line if the link was busy, and begins
** the next period. */
void pwbusy_tick(pw_busy *b, const pw_proc *p, int64_t now);

#endif
