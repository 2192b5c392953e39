/* pwreject.h: which targets turn requests away though they have room.
**
** Pure: time comes in as an argument. Answers this load: a third of the targets turn most of what they
** get away, by proof, and ask for no time without requests, or each asks every gateway apart. Each
** request that was turned away costs a retry, of which there are 0.2 for each request: when these are
** used up, callers are refused while two thirds of the targets are free. A hundred gateways meet each
** such target so seldom that each alone learns nothing in ten seconds, so they tell each other.
**
** Who is full is not meant: there all turn away alike, and gateways see it by loads. */
#ifndef PWREJECT_H
#define PWREJECT_H

#include <stdint.h>

/* Requests of this gateway that a target turned away lately; fades. {0}: none. */
typedef struct pw_reject {
  double n;
  int64_t at; /* when this was right, ms */
} pw_reject;

/* It turned one away. */
void pwreject_note(pw_reject *r, int64_t now);

double pwreject_now(const pw_reject *r, int64_t now);

/* As it is told to other gateways, in whole numbers that add up; and as it is read. */
uint32_t pwreject_told(const pw_reject *r, int64_t now);
double pwreject_heard(uint32_t told);

/* Whether others are preferred, by what was turned away lately, here and at all gateways together. */
int pwreject_avoids(double n);

/* Whether who turned a request away had room for it, with `load` requests of `slots`. */
int pwreject_had_room(double load, double slots);

#endif
