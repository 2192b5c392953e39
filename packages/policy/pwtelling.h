/* pwtelling.h: whether all that another instance has told has come here.
**
** Pure. Answers this load: a message between two instances that stay up can be lost
** with its connection, and what it told is not told again. The sender numbers what it
** tells, and names the last number with every message; who finds a number missing asks
** for everything. */
#ifndef PWTELLING_H
#define PWTELLING_H

#include <stdint.h>

/* What has come of one sender. All 0: nothing. */
typedef struct pw_telling {
  uint64_t life;        /* of the sender: numbers begin anew with it */
  int is_whole;         /* nothing is missing up to `last` ... */
  uint64_t first, last; /* ... or else these came one after another; 0: none */
} pw_telling;

/* A message of this life of the sender: one with news has this number, one without names
** the last; `full`: it tells all that there was up to that number. */
void pwtelling_take(pw_telling *t, uint64_t life, uint64_t number, int has_news,
                    int full);

/* Up to which number nothing is missing, of that life; 0: something may be. */
uint64_t pwtelling_has(const pw_telling *t);

#endif
