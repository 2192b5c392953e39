/* pwbusy.h: says what fills a control instance's link while it is busy.
**
** At most one log line a second, and only then: bytes sent by kind, and how long the
** group's messages were under way. docs/OPERATIONS.md: "control loses its leader". */
#ifndef PWBUSY_H
#define PWBUSY_H

#include "pwproc.h"

#define PW_BUSY_KINDS 4

typedef struct pw_busy {
  int64_t since;               /* when the period began, ms */
  int64_t sent[PW_BUSY_KINDS]; /* counters as they stood then */
  int64_t round_ms; /* longest from an append to its answer since then */
} pw_busy;

/* A message of the group came. */
void pwbusy_message(pw_busy *b, const Pw__Cons *m, int64_t now);

/* Writes the line if the period was busy, and begins the next. */
void pwbusy_tick(pw_busy *b, const pw_proc *p, int64_t now);

#endif
