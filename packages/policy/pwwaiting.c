/* pwwaiting.c: requests that wait at a gateway for a place at a target. */
#include "pwwaiting.h"

#include "pwbuf.h"

#include <assert.h>

#define MS_PER_S 1000.0

/* The part of its goal that a request may wait: the rest is for its target. A caller
** that is refused after a longer wait has lost time for nothing: measured at six
** times the usual load, 0.5 and 0.25 of the goal were worth 0.13 of a day less. */
#define PATIENCE_SHARE 0.125

/* Where the operator sets no goal: the part of the time that its caller has. */
#define PATIENCE_PART 10

/* Callers wait no longer than this part of their time before they come back. */
#define RETRY_PART 3
#define RETRY_LEAST_MS 100

/* One place in so many goes to the least urgent: a class is served less than
** more urgent ones, but is not starved. */
#define YIELD_EVERY 8

/* The part of the requests of one urgency that may find no place at once before more
** is kept for it; how much more for each that does not; and the most. */
#define MISSED_SHARE 0.02
#define RESERVE_STEP 0.004
#define RESERVE_MOST 0.1

/* The rate is measured over so long, ms, and smoothed with this weight of the
** newest measurement. */
#define RATE_MS 200
#define RATE_SHARE 0.3
#define RATE_LEAST 1.0

void pwwaiting_init(pw_waiting *w, int64_t now) {
  *w = (pw_waiting){.queue = pwqueue_new(PWWAITING_MAX), .rate_at = now};
  pwqueue_yield(w->queue, YIELD_EVERY);
}

void pwwaiting_free(pw_waiting *w) {
  pwqueue_free(w->queue);
}

/* By urgency; of one urgency those that go last after the others. */
static int priority_of(int urgency, int is_last) {
  assert(urgency >= 0 && urgency < PWWAITING_URGENCIES);
  return 2 * (PWWAITING_URGENCIES - 1 - urgency) + !is_last;
}

static int64_t patience_of(const pw_waiting_ask *ask) {
  double ms = ask->goal_ms > 0 ? PATIENCE_SHARE * (double)ask->goal_ms
                               : (double)ask->time_left_ms / PATIENCE_PART;
  return ms < (double)ask->time_left_ms ? (int64_t)ms : ask->time_left_ms;
}

static void learn(pw_waiting *w, int64_t now) {
  int64_t passed = now - w->rate_at;
  if (passed < RATE_MS)
    return;
  double rate = w->got / (double)passed * MS_PER_S;
  w->rate += RATE_SHARE * (rate - w->rate);
  w->got = 0;
  w->rate_at = now;
}

/* What goes before a newcomer: those as urgent or more, as far as their workspaces'
** shares reach. The first of its class may always wait: one place in YIELD_EVERY goes to
** a class that was passed over. */
static double wait_of(const pw_waiting *w, double ahead, double own) {
  double rate = w->rate > RATE_LEAST ? w->rate : RATE_LEAST;
  return own > 0 ? (ahead + 1) / rate * MS_PER_S : 0;
}

pw_waiting_answer pwwaiting_ask(pw_waiting *w, const pw_waiting_ask *ask,
                                int64_t now) {
  pw_waiting_answer out = {.patience_ms = patience_of(ask)};
  int priority = priority_of(ask->urgency, ask->is_last);
  learn(w, now);
  out.ahead = pwqueue_ahead(w->queue, ask->workspace, 1, priority);
  out.wait_ms = wait_of(w, out.ahead, pwqueue_of(w->queue, priority));
  if (out.wait_ms > (double)out.patience_ms)
    return out;
  pw_item item = {.weight = 1,
                  .priority = priority,
                  .cost = 1,
                  .deadline = now + out.patience_ms,
                  .since = now,
                  .job = ask->job};
  pw_copy(item.workspace, sizeof item.workspace, ask->workspace);
  out.pushed_out = pwqueue_push(w->queue, &item);
  out.may_wait = out.pushed_out != ask->job;
  if (!out.may_wait)
    out.pushed_out = NULL;
  return out;
}

int pwwaiting_precedes(pw_waiting *w, int urgency, int is_last) {
  pw_item first;
  return pwqueue_peek(w->queue, &first) &&
         first.priority >= priority_of(urgency, is_last);
}

void pwwaiting_rewind(pw_waiting *w) {
  pwqueue_rewind(w->queue);
}

void *pwwaiting_next(pw_waiting *w, int *in_turn) {
  pw_item one;
  *in_turn = pwqueue_yields(w->queue);
  return pwqueue_next(w->queue, &one) ? one.job : NULL;
}

void pwwaiting_found(pw_waiting *w, int urgency, int at_once) {
  double *r = &w->reserve[urgency];
  *r += at_once ? -RESERVE_STEP * MISSED_SHARE : RESERVE_STEP;
  *r = *r < 0 ? 0 : *r > RESERVE_MOST ? RESERVE_MOST : *r;
}

double pwwaiting_reserve(const pw_waiting *w, int urgency, int is_last) {
  double sum = 0;
  for (int i = 0; i < urgency + (is_last != 0); i++)
    sum += w->reserve[i];
  return sum;
}

void pwwaiting_took(pw_waiting *w, void *job) {
  pwqueue_serve(w->queue, job);
}

void pwwaiting_left(pw_waiting *w, void *job) {
  pwqueue_remove(w->queue, job);
}

void pwwaiting_placed(pw_waiting *w, int64_t now) {
  learn(w, now);
  w->got++;
}

int64_t pwwaiting_retry(const pw_waiting_answer *a, int64_t time_left_ms,
                        double draw) {
  double most = (double)time_left_ms / RETRY_PART;
  double least = a->wait_ms > RETRY_LEAST_MS ? a->wait_ms : RETRY_LEAST_MS;
  double ms = least < most ? least + draw * (most - least) : most;
  return ms > RETRY_LEAST_MS ? (int64_t)ms : RETRY_LEAST_MS;
}
