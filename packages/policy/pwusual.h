/* pwusual.h: the baseline timeout of a route's callers, learned from the
** timeouts of their requests. A much shorter timeout marks a retry: the
** caller's time goal has passed.
**
** Pure. The baseline is the longest timeout that many requests have. The few
** longer ones, and retries with whatever time is left, do not change it. Where
** callers have different timeouts, the shortest common one is learned while
** hardly any caller has to retry. If all requests below the longest timeout
** were taken for retries, callers with short timeouts would get no slot until
** all others had one. */
#ifndef PWUSUAL_H
#define PWUSUAL_H

#include <stdint.h>

#define PWUSUAL_TIMES 16 /* different timeouts that are counted */

/* Timeouts and their frequency. */
typedef struct pw_usual_times {
  int time[PWUSUAL_TIMES]; /* logarithmic */
  int count[PWUSUAL_TIMES];
  int total;
} pw_usual_times;

typedef struct pw_usual {
  pw_usual_times all;
  pw_usual_times unloaded; /* seen while hardly any caller was refused */
} pw_usual;

/* Counts a request with a timeout of `ms`; `is_unloaded`: hardly any caller was
** refused recently. */
void pwusual_note(pw_usual *u, int64_t ms, int is_unloaded);

/* The baseline timeout in ms, at most a few percent too low; 0: unknown. */
int64_t pwusual_ms(const pw_usual *u);

/* The shortest common timeout of first attempts in ms, at most a few percent
** too low; the baseline while no other is known. */
int64_t pwusual_shortest(const pw_usual *u);

#endif
