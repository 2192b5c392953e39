/* pwbuflimits.h: limits on what a gateway buffers for callers and targets that
** read slowly.
**
** Pure. Prevents this failure: many callers stop reading in the middle of
** their answers, or send long bodies to targets that read slowly, or many
** targets send answers that are long or have no end. The buffer
** of each is small, but all of them exceed the memory of the process. While
** less than half of the budget is in use, each limit is at its best value;
** above that all limits shrink, and callers that read nothing are disconnected
** sooner. */
#ifndef PWBUFLIMITS_H
#define PWBUFLIMITS_H

#include <stddef.h>
#include <stdint.h>

typedef struct pw_buflimits {
  /* The target of a stream is paused when this many bytes are not yet written
  ** to the caller. */
  size_t unwritten;
  /* Bytes read ahead from a caller whose request is in progress. */
  size_t ahead;
  /* Bytes buffered of an answer, or of an event, that is not complete. */
  size_t answer;
  /* A caller that reads nothing for this time is disconnected, ms. */
  int64_t stall_ms;
  /* The same for a caller whose answers are complete: it pauses no target. */
  int64_t stall_complete_ms;
} pw_buflimits;

/* Longest body of a request, in bytes, while so many bytes of the budget are left. */
size_t pwbuflimits_body(size_t left);

/* The limits while `buffered` bytes of a budget are in use. */
pw_buflimits pwbuflimits_of(size_t buffered, size_t budget);

#endif
