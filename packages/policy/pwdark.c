/* pwdark.c: requests whose target became unresponsive. */
#include "pwdark.h"

/* How long requests are kept, in ms. By then control has missed the heartbeats
** of a target that hangs, and has reported it. */
#define KEEP_MS 15000

void pwdark_note(pw_dark *d, uint64_t fingerprint, uint64_t target,
                 int64_t now) {
  d->list[d->next] = (pw_dark_request){fingerprint, target, now};
  d->next = (d->next + 1) % PWDARK_MAX;
}

uint64_t pwdark_take(pw_dark *d, uint64_t target, int64_t now) {
  for (int i = 0; i < PWDARK_MAX; i++) {
    pw_dark_request *r = &d->list[i];
    if (!r->at || r->target != target)
      continue;
    int is_recent = now - r->at < KEEP_MS;
    r->at = 0;
    if (is_recent)
      return r->fingerprint;
  }
  return 0;
}
