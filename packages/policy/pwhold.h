/* pwhold.h: how much a gateway may hold for callers and targets that do not take it.
**
** Pure. Answers this load: many callers stop reading in the middle of their answers, or send
** long bodies to targets that read slowly; what is held for each is small, but all of it
** together is more than the process may have. While less than half of the budget is held each
** has as much as serves it best; past that all have less, down to little, and whoever has
** taken nothing for long is ended sooner. */
#ifndef PWHOLD_H
#define PWHOLD_H

#include <stddef.h>
#include <stdint.h>

typedef struct pw_hold {
  size_t
      untaken; /* bytes of a stream that a caller has not taken: past that its target
                    ** is held up */
  size_t
      ahead; /* bytes that are read of a caller while its request is in progress */
  size_t body;      /* longest body of a request that comes now */
  int64_t stall_ms; /* a caller that takes nothing for so long is ended ... */
  int64_t
      stall_whole_ms; /* ... and one whose answers are whole: they hold no target up */
} pw_hold;

/* What each may have while so much of a budget is held, bytes. */
pw_hold pwhold_limits(size_t held, size_t budget);

#endif
