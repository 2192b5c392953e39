/* pwretries.h: a retry budget over a sliding window, shared by gateways.
**
** All gateways together may send `ratio` x requests + `slack` retries in a
** window. Each spends at most that ratio of its own requests, and its share of
** the slack; both with a margin for windows that do not line up. */
#ifndef PWRETRIES_H
#define PWRETRIES_H

#include <stdint.h>

#define PWRETRIES_CELLS 20 /* parts of a window */

typedef struct pw_retries {
  double ratio;
  double slack; /* of all gateways */
  int64_t window_ms;
  int64_t cell; /* number of the newest part */
  int requests[PWRETRIES_CELLS];
  int retries[PWRETRIES_CELLS];
} pw_retries;

void pwretries_init(pw_retries *b, double ratio, double slack,
                    int64_t window_ms);

/* A request came. */
void pwretries_request(pw_retries *b, int64_t now);

/* Takes one retry, of `gateways` that share the slack; 0: none is left. */
int pwretries_spend(pw_retries *b, int gateways, int64_t now);

/* Whether what is left is to be spared, so that targets which often cost a retry are put off: never while
** half of it is left, always when nothing is, between them as often as the rest is short. `draw` is
** uniform in [0, 1). */
int pwretries_is_scarce(pw_retries *b, int gateways, double draw, int64_t now);

#endif
