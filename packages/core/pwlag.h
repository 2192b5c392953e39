/* pwlag.h: how long an event loop was held up, since its process stood still or worked, and heard no
** peer. That time is charged to nobody: not as a peer's silence, and what came in it is read before
** anyone is given up. Does no I/O, reads no clock. */
#ifndef PWLAG_H
#define PWLAG_H

#include <stdint.h>

/* A loop's turns. The owner sets turn_ms. */
typedef struct pw_lag {
  int64_t turn_ms;   /* a turn takes no longer if nothing holds the loop up */
  int64_t turned_at; /* when the latest turn began, ms; 0: none did */
  int64_t lost_ms;   /* of all turns: what they took beyond turn_ms */
  int64_t back_at;   /* end of the standstill that is caught up with; 0: none */
} pw_lag;

/* A turn begins: called before anything else of it. Gives the ms lost since the one before. */
int64_t pwlag_turn(pw_lag *l, int64_t now);

/* The clock that peers are held to: `now`, less what was lost. */
int64_t pwlag_clock(const pw_lag *l, int64_t now);

/* For how many ms yet what came during a standstill is being read; 0: it has been. */
int64_t pwlag_catch_up(const pw_lag *l, int64_t now);

#endif
