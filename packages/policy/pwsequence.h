/* pwsequence.h: gap detection over the sequenced updates of one sender.
**
** Pure. A message between two running instances can be lost with its
** connection, and its content is not sent again. So the sender numbers its
** updates and names the newest number in every message; a receiver that misses
** a number asks for the full state. */
#ifndef PWSEQUENCE_H
#define PWSEQUENCE_H

#include <stdint.h>

/* What has arrived from one sender. All 0: nothing. */
typedef struct pw_sequence {
  uint64_t incarnation; /* of the sender, whose numbers restart with each */
  int is_complete;      /* nothing is missing up to `last` */
  /* If not complete: the updates from `first` to `last` arrived without a gap;
  ** 0: none. */
  uint64_t first, last;
} pw_sequence;

/* A message of this incarnation arrived. An update (has_update) has this
** sequence number, a message without one names the newest number. With `full`
** the message contains the whole state up to that number. */
void pwsequence_receive(pw_sequence *t, uint64_t incarnation, uint64_t number,
                        int has_update, int full);

/* The sequence number up to which nothing is missing, for the incarnation last
** seen; 0: something may be missing. */
uint64_t pwsequence_complete_to(const pw_sequence *t);

#endif
