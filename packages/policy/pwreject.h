/* pwreject.h: targets that refuse requests though they have free slots, or
** that cannot be reached.
**
** Pure: time comes in as an argument. Prevents this failure: a third of the
** targets refuse most of their requests, and do not ask for a hold-off, or
** each asks every gateway separately. Each refused request costs a retry, of
** which there are 0.2 for each request; once these are used up, callers are
** refused while two thirds of the targets are free. A hundred gateways meet
** each such target so rarely that one alone learns nothing in ten seconds, so
** they report refusals to each other. The same holds for unresponsive targets:
** each gateway waited for a connection to each of them, a third of a second
** each time.
**
** Full targets are not recorded here: gateways see from the loads that all of
** them refuse alike. */
#ifndef PWREJECT_H
#define PWREJECT_H

#include <stdint.h>

/* When a target last did not take a request. {0}: never. */
typedef struct pw_reject {
  int64_t at; /* ms; 0: never */
} pw_reject;

/* The target did not take a request. */
void pwreject_note(pw_reject *r, int64_t now);

/* Whether the target failed to take a request so recently that other targets
** are preferred. */
int pwreject_is_recent(const pw_reject *r, int64_t now);

/* Whether a target that refused a request had room for it, with `load` requests
** at `slots`. */
int pwreject_had_room(double load, double slots);

#endif
