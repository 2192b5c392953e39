/* pwbuflimits.c: limits on what a gateway buffers for callers and targets that
** read slowly. */
#include "pwbuflimits.h"

/* Best and least values of the limits, in bytes. With UNWRITTEN_LEAST a
** caller's buffer holds one piece, since a piece is always forwarded
** completely. */
#define UNWRITTEN (128.0 * 1024)
#define UNWRITTEN_LEAST 0.0
#define AHEAD (256.0 * 1024)
#define AHEAD_LEAST (4.0 * 1024)
#define ANSWER (4.0 * 1024 * 1024)
#define ANSWER_LEAST (64.0 * 1024)

/* Longest body as a part of the budget left: when long bodies have taken what
** they may, smaller ones still find room. */
#define BODY_PART 0.25

/* Targets cut off an answer that is not read for some seconds. */
#define STALL_MS 5000.0
#define STALL_COMPLETE_MS 60000.0 /* callers wait as long for an answer */
#define STALL_LEAST_MS 1000.0

#define FULL_PART 0.5 /* part of the budget up to which no limit shrinks */

/* The value at a share of the way from `least` to `most`. */
static double between(double least, double most, double share) {
  return least + share * (most - least);
}

size_t pwbuflimits_body(size_t left) {
  return (size_t)(BODY_PART * (double)left);
}

pw_buflimits pwbuflimits_of(size_t buffered, size_t budget) {
  double left = buffered < budget ? (double)(budget - buffered) : 0;
  double share = left / (double)budget / (1 - FULL_PART);
  if (share > 1)
    share = 1;
  return (pw_buflimits){
      .unwritten = (size_t)between(UNWRITTEN_LEAST, UNWRITTEN, share),
      .ahead = (size_t)between(AHEAD_LEAST, AHEAD, share),
      .answer = (size_t)between(ANSWER_LEAST, ANSWER, share),
      .stall_ms = (int64_t)between(STALL_LEAST_MS, STALL_MS, share),
      .stall_complete_ms =
          (int64_t)between(STALL_LEAST_MS, STALL_COMPLETE_MS, share)};
}
