/* pwreject.h: which targets turn requests away though they have room, or can't be reached.
**
** Pure: time comes in as an argument. Answers this load: a third of the targets turn most of what they
** get away, by proof, and ask for no time without requests, or each asks every gateway apart. Each
** request that was turned away costs a retry, of which there are 0.2 for each request: when these are
** used up, callers are refused while two thirds of the targets are free. A hundred gateways meet each
** such target so seldom that each alone learns nothing in ten seconds, so they tell each other. So it is
** with targets that have gone dark: each gateway waited for a connection to each of them, a third of a
** second each time.
**
** Who is full is not meant: there all turn away alike, and gateways see it by loads. */
#ifndef PWREJECT_H
#define PWREJECT_H

#include <stdint.h>

/* When a target did not take a request of this gateway last. {0}: it never did not. */
typedef struct pw_reject {
  int64_t at; /* ms; 0: never */
} pw_reject;

/* It did not take one. */
void pwreject_note(pw_reject *r, int64_t now);

/* Whether that was so lately that others are preferred. */
int pwreject_is_recent(const pw_reject *r, int64_t now);

/* Whether who turned a request away had room for it, with `load` requests of `slots`. */
int pwreject_had_room(double load, double slots);

#endif
