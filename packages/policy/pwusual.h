/* pwusual.h: the time that callers of a route usually give a request, learned from what
** they say. Who gives much less has tried before: its goal is past.
**
** Pure. The usual time is the longest of those that many say; few who say more, and
** callers who come back with whatever time they have left, do not change it. */
#ifndef PWUSUAL_H
#define PWUSUAL_H

#include <stdint.h>

#define PWUSUAL_TIMES 16 /* different times that are counted */

typedef struct pw_usual {
  int time[PWUSUAL_TIMES]; /* logarithmic */
  int count[PWUSUAL_TIMES];
  int total;
} pw_usual;

/* A caller gives its request so long, ms. */
void pwusual_note(pw_usual *u, int64_t ms);

/* The usual time, ms, a few hundredths less at most; 0: not known. */
int64_t pwusual_ms(const pw_usual *u);

#endif
