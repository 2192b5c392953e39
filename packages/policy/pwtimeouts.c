/* pwtimeouts.c: the baseline timeout of a route's callers. */
#include "pwtimeouts.h"

#include <math.h>

/* Timeouts within this ratio of each other are counted as one. */
#define RATIO 1.03

/* The baseline is the longest timeout that 1 / BASELINE_PART of the recent
** requests reach. */
#define BASELINE_PART 10

/* 1 / SHORTEST_PART of the requests have the shortest common timeout or less;
** retries after failures are fewer while load is low. It is known after
** UNLOADED_LEAST requests. With 60 a kind of request that one gateway gets
** twice a second was still unknown after 8 s, and was the first to lose its
** slots. */
#define SHORTEST_PART 30
#define UNLOADED_LEAST 10

/* The counts are halved at this total, so that old timeouts lose weight. */
#define TOTAL_MOST 512

static void halve(pw_timeouts_counts *u) {
  u->total /= 2;
  for (int i = 0; i < PWTIMEOUTS_COUNTERS; i++)
    u->count[i] /= 2;
}

/* Frequent items of a stream with few counters (Misra and Gries, 1982): a
** timeout without a counter decrements all others. */
static void count(pw_timeouts_counts *u, int time) {
  int unused = -1;
  if (u->total >= TOTAL_MOST)
    halve(u);
  u->total++;
  for (int i = 0; i < PWTIMEOUTS_COUNTERS; i++) {
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
  for (int i = 0; i < PWTIMEOUTS_COUNTERS; i++)
    u->count[i]--;
}

void pwtimeouts_note(pw_timeouts *u, int64_t ms, int is_unloaded) {
  if (ms < 1)
    return;
  int time = (int)floor(log((double)ms) / log(RATIO));
  count(&u->all, time);
  if (is_unloaded)
    count(&u->unloaded, time);
}

static int64_t ms_of(int time) {
  return (int64_t)pow(RATIO, time);
}

/* How many requests have that timeout or a longer one; with sign -1, or a
** shorter one. */
static int count_beyond(const pw_timeouts_counts *u, int time, int sign) {
  int sum = 0;
  for (int i = 0; i < PWTIMEOUTS_COUNTERS; i++)
    if (u->count[i] && sign * u->time[i] >= sign * time)
      sum += u->count[i];
  return sum;
}

/* The longest timeout, with sign -1 the shortest, that one request in `part`
** reaches; 0: none. */
static int64_t edge(const pw_timeouts_counts *u, int part, int sign) {
  int best = -1;
  for (int i = 0; i < PWTIMEOUTS_COUNTERS; i++)
    if (u->count[i] && count_beyond(u, u->time[i], sign) * part >= u->total &&
        (best < 0 || sign * u->time[i] > sign * u->time[best]))
      best = i;
  return best < 0 ? 0 : ms_of(u->time[best]);
}

int64_t pwtimeouts_baseline(const pw_timeouts *u) {
  return edge(&u->all, BASELINE_PART, 1);
}

int64_t pwtimeouts_shortest(const pw_timeouts *u) {
  int64_t baseline = pwtimeouts_baseline(u);
  int64_t shortest = edge(&u->unloaded, SHORTEST_PART, -1);
  int is_known = u->unloaded.total >= UNLOADED_LEAST && shortest < baseline;
  return is_known ? shortest : baseline;
}
