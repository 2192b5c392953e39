/* pwretries.h: a retry budget over a sliding window, shared by gateways.
**
** All gateways together may send `ratio` times the requests plus `slack`
** retries in a window. Each one spends at most that ratio of its own requests
** plus its part of the slack, less a margin for windows that do not line
** up. */
#ifndef PWRETRIES_H
#define PWRETRIES_H

#include <stdint.h>

#define PWRETRIES_CELLS 20 /* counters in a window */

typedef struct pw_retries {
  double ratio;
  double slack; /* retries in a window in addition, for all gateways */
  int64_t window_ms;
  int64_t cell; /* number of the newest counter */
  int requests[PWRETRIES_CELLS];
  int retries[PWRETRIES_CELLS];
} pw_retries;

void pwretries_init(pw_retries *b, double ratio, double slack,
                    int64_t window_ms);

/* Counts a request. */
void pwretries_request(pw_retries *b, int64_t now);

/* Takes one retry while `gateways` share the slack; 0: none is left. */
int pwretries_spend(pw_retries *b, int gateways, int64_t now);

/* State of the budget, for log lines. */
typedef struct pw_retries_state {
  int spent;      /* retries in the window */
  double allowed; /* most retries in the window */
} pw_retries_state;

pw_retries_state pwretries_state(pw_retries *b, int gateways, int64_t now);

/* Whether to save the rest of the budget, by avoiding targets that often cost
** a retry. Never while half of it is left and always when it is used up; in
** between the probability grows as the rest shrinks. `draw` is uniform in [0,
** 1). */
int pwretries_is_scarce(pw_retries *b, int gateways, double draw, int64_t now);

#endif
