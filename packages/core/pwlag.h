/* pwlag.h: detects stalls of an event loop: times in which the process did not run, or was busy,
** and read no input. Such time must not count as a peer's silence, and input that arrived in it
** must be read before a peer counts as lost. This module does no I/O and reads no clock. */
#ifndef PWLAG_H
#define PWLAG_H

#include <stdint.h>

/* Iterations of one event loop. The owner sets iteration_max_ms. */
typedef struct pw_lag {
  int64_t iteration_max_ms; /* a longer iteration is a stall, ms */
  int64_t iteration_at; /* when the latest iteration began, ms; 0: none did */
  /* Sum of the stalls: time of iterations beyond iteration_max_ms. */
  int64_t lost_ms;
  int64_t stall_end; /* end of the stall being caught up with; 0: none */
} pw_lag;

/* To be called first in each iteration. Returns the ms that the loop stalled since the previous
** call. */
int64_t pwlag_iteration(pw_lag *l, int64_t now);

/* Clock for timeouts of peers: `now` less all stalls. */
int64_t pwlag_clock(const pw_lag *l, int64_t now);

/* Remaining ms of the time allowed for reading input that arrived during a stall; 0: no stall, or
** it has been read. */
int64_t pwlag_catch_up(const pw_lag *l, int64_t now);

#endif
