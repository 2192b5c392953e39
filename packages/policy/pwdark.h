/* pwdark.h: requests whose target said nothing any more, until it is known whether the target ended.
**
** Pure: time comes in as an argument. A request that takes long looks as one under which its target
** hangs: nothing comes. That alone is held against nobody. It counts once control has missed the target's
** heartbeats as well. */
#ifndef PWDARK_H
#define PWDARK_H

#include <stdint.h>

#define PWDARK_MAX 256 /* requests; one more takes the place of the oldest */

typedef struct pw_dark_request {
  uint64_t sign, target; /* what it is, and the start of its target */
  int64_t at;            /* when it was seen so last, ms; 0: none */
} pw_dark_request;

typedef struct pw_dark {
  pw_dark_request list[PWDARK_MAX];
  int next;
} pw_dark;

/* A request was at a target that has gone dark. */
void pwdark_note(pw_dark *d, uint64_t sign, uint64_t target, int64_t now);

/* The target is silent, or has ended: gives one of the requests that it had lately, which is not
** given again; 0: there is none left. */
uint64_t pwdark_take(pw_dark *d, uint64_t target, int64_t now);

#endif
