/* pwgatewaycount.h: the number of gateways by which a limit for all of them is divided.
**
** Control tells each gateway how many there are. Right after a start it tells too few, since the others have not reached
** it yet, and gateways that are cut off from control, or hear of a change later, go on with the number of before. If each
** divided a limit by the number that it was told last, all together would exceed the limit. So a number counts from one
** window after the first was told, a smaller one a window later, and none once control was silent for a window. */
#ifndef PWGATEWAYCOUNT_H
#define PWGATEWAYCOUNT_H

#include <stdint.h>

/* What control has told of the number. */
typedef struct pw_gateway_count {
  int64_t window_ms; /* of the limit */
  int told;          /* number told last; 0: none */
  /* Largest number told in the current span of a window's length, and in the span before. */
  int now_most, before_most;
  int64_t span_at; /* begin of the current span, ms */
  /* First time since the start, or since the last silence of a window, at which control was heard, ms. */
  int64_t since;
  int64_t heard_at; /* when control was last heard from, ms */
} pw_gateway_count;

void pwgatewaycount_init(pw_gateway_count *c, int64_t window_ms);

/* Control has told the number of gateways, this one included. */
void pwgatewaycount_told(pw_gateway_count *c, int n, int64_t now);

/* Control has been heard from, with or without a number. */
void pwgatewaycount_heard(pw_gateway_count *c, int64_t now);

/* The number to divide by; 0: it is not known. */
int pwgatewaycount_get(pw_gateway_count *c, int64_t now);

/* Since when it has been known, ms; 0: it is not known. */
int64_t pwgatewaycount_known_since(pw_gateway_count *c, int64_t now);

#endif
