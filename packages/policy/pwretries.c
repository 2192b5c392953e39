/* pwretries.c: a retry budget over a sliding window. */
#include "pwretries.h"

/* Share of the budget that is spent. The rest allows for requests that other
** gateways count in another window, and for retries in flight. */
#define MARGIN 0.7

/* With more than this part of the budget left there is no need to save it. */
#define AMPLE_PART 0.5

void pwretries_init(pw_retries *b, double ratio, double slack,
                    int64_t window_ms) {
  *b = (pw_retries){.ratio = ratio, .slack = slack, .window_ms = window_ms};
}

static int *cell_of(pw_retries *b, int *cells, int64_t now) {
  int64_t cell = now * PWRETRIES_CELLS / b->window_ms;
  if (cell - b->cell > PWRETRIES_CELLS)
    b->cell = cell - PWRETRIES_CELLS;
  while (b->cell < cell) {
    b->cell++;
    b->requests[b->cell % PWRETRIES_CELLS] = 0;
    b->retries[b->cell % PWRETRIES_CELLS] = 0;
  }
  return &cells[b->cell % PWRETRIES_CELLS];
}

static int sum(const int *cells) {
  int n = 0;
  for (int i = 0; i < PWRETRIES_CELLS; i++)
    n += cells[i];
  return n;
}

void pwretries_request(pw_retries *b, int64_t now) {
  (*cell_of(b, b->requests, now))++;
}

/* Most retries that this gateway may send in a window. */
static double allowed(const pw_retries *b, int gateways) {
  double share = b->slack / (gateways > 0 ? gateways : 1);
  return MARGIN * (b->ratio * sum(b->requests) + share);
}

int pwretries_spend(pw_retries *b, int gateways, int64_t now) {
  int *cell = cell_of(b, b->retries, now);
  if (sum(b->retries) + 1 > allowed(b, gateways))
    return 0;
  (*cell)++;
  return 1;
}

pw_retries_state pwretries_state(pw_retries *b, int gateways, int64_t now) {
  cell_of(b, b->retries, now);
  return (pw_retries_state){sum(b->retries), allowed(b, gateways)};
}

int pwretries_is_scarce(pw_retries *b, int gateways, double draw, int64_t now) {
  cell_of(b, b->retries, now);
  double most = allowed(b, gateways);
  double left = most - sum(b->retries);
  return left < AMPLE_PART * most && draw * AMPLE_PART * most >= left;
}
