/* pwshed.c: load shedding by urgency class. */
#include "pwshed.h"

#include <assert.h>
#include <math.h>

/* The share of a class's requests that may get no slot before its reserve
** grows; the step by which it grows for each that gets none; and its maximum.
** Half or twice of the maximum changes the share of requests answered in time
** (weighted by class) by 0.01 at four and six times the baseline load. */
#define MISSED_SHARE 0.02
#define RESERVE_STEP 0.004
#define RESERVE_MOST 0.1

/* A class whose admitted share is below this part of the overall share may use
** slots reserved for others as well: it is served less, but not starved. With
** 0.5, 0.8 and 0.9, 42 targets at four times the baseline load answer 0.690,
** 0.714 and 0.717 of all requests in time (weighted by class), and 0.98, 0.98
** and 0.97 of those of the most urgent class; at six times the load 0.403,
** 0.417 and 0.417 of all, and 0.86, 0.78 and 0.76 of the most urgent class. */
#define LEAST_PART 0.8

/* Time constant in ms with which the counts decay. */
#define DECAY_MS 3000.0

/* A caller is asked to retry after at most 1 / RETRY_PART of its remaining
** time, and not before RETRY_LEAST_MS. */
#define RETRY_PART 3
#define RETRY_LEAST_MS 100

void pwshed_init(pw_shed *p, int64_t now) {
  *p = (pw_shed){.at = now};
}

static void decay(pw_shed *p, int64_t now) {
  double left = exp(-(double)(now - p->at) / DECAY_MS);
  p->at = now;
  p->first_requests *= left;
  p->first_admitted *= left;
  for (int i = 0; i < PWSHED_SURPLUS; i++) {
    p->requests[i] *= left;
    p->admitted[i] *= left;
  }
}

void pwshed_note(pw_shed *p, int urgency, int is_last, int got, int64_t now) {
  assert(urgency >= 0 && urgency < PWSHED_URGENCIES);
  decay(p, now);
  p->requests[urgency % PWSHED_SURPLUS]++;
  p->admitted[urgency % PWSHED_SURPLUS] += got != 0;
  if (is_last)
    return;
  /* Surplus that is refused is no reason to refuse the retries of others. */
  if (urgency < PWSHED_SURPLUS) {
    p->first_requests++;
    p->first_admitted += got != 0;
  }
  double *r = &p->reserve[urgency];
  *r += got ? -RESERVE_STEP * MISSED_SHARE : RESERVE_STEP;
  *r = *r < 0 ? 0 : *r > RESERVE_MOST ? RESERVE_MOST : *r;
}

double pwshed_first_admitted(const pw_shed *p) {
  return p->first_requests > 0 ? p->first_admitted / p->first_requests : 1;
}

double pwshed_admitted_share(const pw_shed *p) {
  double requests = 0, admitted = 0;
  for (int i = 0; i < PWSHED_SURPLUS; i++) {
    requests += p->requests[i];
    admitted += p->admitted[i];
  }
  return requests > 0 ? admitted / requests : 1;
}

/* Whether the admitted share of the class is far below the overall share. */
static int is_starved(const pw_shed *p, int urgency) {
  int i = urgency % PWSHED_SURPLUS;
  return p->admitted[i] <
         LEAST_PART * pwshed_admitted_share(p) * p->requests[i];
}

double pwshed_reserve(const pw_shed *p, int urgency, int is_last) {
  double sum = 0;
  if (!is_last && is_starved(p, urgency))
    return 0;
  for (int i = 0; i < urgency + (is_last != 0); i++)
    sum += p->reserve[i];
  return sum;
}

int64_t pwshed_retry_ms(int64_t time_left_ms, int64_t least_ms, double draw) {
  double most = (double)time_left_ms / RETRY_PART;
  double least = least_ms > RETRY_LEAST_MS ? (double)least_ms : RETRY_LEAST_MS;
  if (least > most)
    return most > RETRY_LEAST_MS ? (int64_t)most : RETRY_LEAST_MS;
  return (int64_t)(least + draw * (most - least));
}
