/* pwbuflimits.c: limits on what a gateway buffers for callers and targets that read
** slowly. */
#include "pwbuflimits.h"

#define UNWRITTEN (128.0 * 1024)
#define UNWRITTEN_LEAST 0.0 /* one piece, which is passed on complete */
#define AHEAD (256.0 * 1024)
#define AHEAD_LEAST (4.0 * 1024)
#define BODY_LEAST (64.0 * 1024)

/* Longest body as a part of the budget left: several may arrive before the
** limits are computed again. */
#define BODY_PART 0.25

/* Targets cut off an answer that is not read for some seconds. */
#define STALL_MS 5000.0
#define STALL_WHOLE_MS 60000.0 /* as long as callers wait for an answer */
#define STALL_LEAST_MS 1000.0

#define FULL_PART 0.5 /* part of the budget up to which no limit shrinks */

static double between(double least, double most, double ease) {
  return least + ease * (most - least);
}

pw_buflimits pwbuflimits_of(size_t held, size_t budget) {
  double left = held < budget ? (double)(budget - held) : 0;
  double ease = left / (double)budget / (1 - FULL_PART);
  if (ease > 1)
    ease = 1;
  double body = BODY_PART * left;
  return (pw_buflimits){
      .unwritten = (size_t)between(UNWRITTEN_LEAST, UNWRITTEN, ease),
      .ahead = (size_t)between(AHEAD_LEAST, AHEAD, ease),
      .body = (size_t)(body > BODY_LEAST ? body : BODY_LEAST),
      .stall_ms = (int64_t)between(STALL_LEAST_MS, STALL_MS, ease),
      .stall_complete_ms =
          (int64_t)between(STALL_LEAST_MS, STALL_WHOLE_MS, ease)};
}
