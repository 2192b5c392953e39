/* pwusual.c: the time that callers of a route usually give a request. */
#include "pwusual.h"

#include <math.h>

/* Times as close as this ratio are counted as one. */
#define RATIO 1.03

/* What so many said, lately, is usual; as a part of all. */
#define USUAL_PART 10

/* Counts are halved when there are so many: what was said before fades. */
#define TOTAL_MOST 512

static void fade(pw_usual *u) {
  u->total /= 2;
  for (int i = 0; i < PWUSUAL_TIMES; i++)
    u->count[i] /= 2;
}

/* Frequent items in a stream by few counters (Misra and Gries, 1982): a time that
** has no counter takes one from each of the others. */
void pwusual_note(pw_usual *u, int64_t ms) {
  if (ms < 1)
    return;
  int time = (int)floor(log((double)ms) / log(RATIO));
  int unused = -1;
  if (u->total >= TOTAL_MOST)
    fade(u);
  u->total++;
  for (int i = 0; i < PWUSUAL_TIMES; i++) {
    if (u->count[i] && u->time[i] == time) {
      u->count[i]++;
      return;
    }
    if (!u->count[i])
      unused = i;
  }
  if (unused >= 0) {
    u->time[unused] = time;
    u->count[unused] = 1;
    return;
  }
  for (int i = 0; i < PWUSUAL_TIMES; i++)
    u->count[i]--;
}

int64_t pwusual_ms(const pw_usual *u) {
  int longest = -1;
  for (int i = 0; i < PWUSUAL_TIMES; i++)
    if (u->count[i] * USUAL_PART >= u->total && u->count[i] &&
        u->time[i] > longest)
      longest = u->time[i];
  return longest < 0 ? 0 : (int64_t)pow(RATIO, longest);
}
