/* pwdark.c: requests whose target said nothing any more. */
#include "pwdark.h"

/* Control has missed the heartbeats of a target that hangs by then, and told of it, ms. */
#define KEPT_MS 15000

void pwdark_note(pw_dark *d, uint64_t sign, uint64_t target, int64_t now) {
  d->list[d->next] = (pw_dark_request){sign, target, now};
  d->next = (d->next + 1) % PWDARK_MAX;
}

uint64_t pwdark_take(pw_dark *d, uint64_t target, int64_t now) {
  for (int i = 0; i < PWDARK_MAX; i++) {
    pw_dark_request *r = &d->list[i];
    if (!r->at || r->target != target)
      continue;
    int is_kept = now - r->at < KEPT_MS;
    r->at = 0;
    if (is_kept)
      return r->sign;
  }
  return 0;
}
