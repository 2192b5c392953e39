/* pwretries.h: a retry budget over a sliding window, shared by gateways.
**
** All gateways together may send `ratio` times the requests plus `slack` retries in any window. Each gateway has a token
** bucket. Requests fill it by a share of `ratio`, time by the same share of this gateway's part of `slack`, and it holds
** no more than another share of what a whole window would give. So each retry in a window is paid by a request or a time
** of that window, or by what was held when it began. This bounds the sum whenever gateways start, which begin with an
** empty bucket, and wherever the callers of those that end go: no gateway needs to know what was spent before its
** start. */
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
  double tokens;     /* retries that may be sent now */
  int64_t filled_at; /* until when time has filled the bucket, ms; 0: never */
} pw_retries;

void pwretries_init(pw_retries *b, double ratio, double slack,
                    int64_t window_ms);

/* Counts a request. */
void pwretries_request(pw_retries *b, int64_t now);

/* Lets time fill the bucket from `at` on, ms, if that is before its first use. */
void pwretries_fill_from(pw_retries *b, int64_t at);

/* Takes one retry while `gateways` share the slack; 0: none is left. With 0 gateways, when their number is unknown,
** requests alone fill the bucket. */
int pwretries_spend(pw_retries *b, int gateways, int64_t now);

/* State of the budget, for log lines. */
typedef struct pw_retries_state {
  double left; /* retries that may be sent now */
  double most; /* most that the bucket holds */
} pw_retries_state;

pw_retries_state pwretries_state(pw_retries *b, int gateways, int64_t now);

/* Whether to save the rest of the budget, by avoiding targets that often cost
** a retry. Never while half of it is left and always when it is used up; in
** between the probability grows as the rest shrinks. `draw` is uniform in [0,
** 1). */
int pwretries_is_scarce(pw_retries *b, int gateways, double draw, int64_t now);

#endif
