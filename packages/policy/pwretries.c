/* pwretries.c: a retry budget over a sliding window. */
#include "pwretries.h"

#ifndef PW_MUTATION
#define PW_MUTATION 0
#endif

enum {
  MUT_EARN_TWICE = 62, /* requests earn twice their share */
  MUT_NO_CAPACITY = 63 /* what was earned long ago may be spent */
};

/* Shares of the budget of a window: what the window itself earns, and what may be held from before it. The rest allows
** for requests that callers sent in another window than the one in which a gateway read them. */
#define EARNED_SHARE 0.6
#define HELD_SHARE 0.3

/* With more than this part of the bucket left there is no need to save it. */
#define AMPLE_PART 0.5

void pwretries_init(pw_retries *b, double ratio, double slack,
                    int64_t window_ms) {
  *b = (pw_retries){.ratio = ratio, .slack = slack, .window_ms = window_ms};
}

/* Drops the counters that are older than a window; returns the newest one. */
static int *newest_cell(pw_retries *b, int64_t now) {
  int64_t cell = now * PWRETRIES_CELLS / b->window_ms;
  if (cell - b->cell > PWRETRIES_CELLS)
    b->cell = cell - PWRETRIES_CELLS;
  while (b->cell < cell) {
    b->cell++;
    b->requests[b->cell % PWRETRIES_CELLS] = 0;
  }
  return &b->requests[b->cell % PWRETRIES_CELLS];
}

static int requests_in_window(const pw_retries *b) {
  int n = 0;
  for (int i = 0; i < PWRETRIES_CELLS; i++)
    n += b->requests[i];
  return n;
}

/* This gateway's part of the slack. */
static double slack_part(const pw_retries *b, int gateways) {
  return gateways > 0 ? b->slack / gateways : 0;
}

/* Most tokens that the bucket holds. A small budget uses the margin, too, to hold a whole token. */
static double capacity(const pw_retries *b, int gateways) {
  double budget = b->ratio * requests_in_window(b) + slack_part(b, gateways);
  double held = HELD_SHARE * budget;
  return held < 1 && (1 - EARNED_SHARE) * budget >= 1 ? 1 : held;
}

/* Fills the bucket by the time since the last call. */
static void fill(pw_retries *b, int gateways, int64_t now) {
  int64_t elapsed = b->filled_at ? now - b->filled_at : 0;
  if (elapsed > b->window_ms)
    elapsed = b->window_ms;
  b->filled_at = now;
  b->tokens += EARNED_SHARE * slack_part(b, gateways) * (double)elapsed /
               (double)b->window_ms;
  newest_cell(b, now);
  double most = capacity(b, gateways);
  if (b->tokens > most && PW_MUTATION != MUT_NO_CAPACITY)
    b->tokens = most;
}

void pwretries_request(pw_retries *b, int64_t now) {
  (*newest_cell(b, now))++;
  int times = PW_MUTATION == MUT_EARN_TWICE ? 2 : 1;
  b->tokens += times * EARNED_SHARE * b->ratio;
}

void pwretries_fill_from(pw_retries *b, int64_t at) {
  if (!b->filled_at)
    b->filled_at = at;
}

int pwretries_spend(pw_retries *b, int gateways, int64_t now) {
  fill(b, gateways, now);
  if (b->tokens < 1)
    return 0;
  b->tokens -= 1;
  return 1;
}

pw_retries_state pwretries_state(pw_retries *b, int gateways, int64_t now) {
  fill(b, gateways, now);
  return (pw_retries_state){b->tokens, capacity(b, gateways)};
}

int pwretries_is_scarce(pw_retries *b, int gateways, double draw, int64_t now) {
  fill(b, gateways, now);
  double ample = AMPLE_PART * capacity(b, gateways);
  return b->tokens < ample && draw * ample >= b->tokens;
}
