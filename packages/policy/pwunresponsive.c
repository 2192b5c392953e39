/* pwunresponsive.c: requests whose target became unresponsive. */
#include "pwunresponsive.h"

/* How long requests are kept, in ms. By then control has missed the heartbeats
** of a target that hangs, and has reported it. */
#define KEEP_MS 15000

void pwunresponsive_note(pw_unresponsive *d, uint64_t fingerprint,
                         uint64_t target, int64_t now) {
  d->list[d->next] = (pw_unresponsive_request){fingerprint, target, now};
  d->next = (d->next + 1) % PWUNRESPONSIVE_MAX;
}

uint64_t pwunresponsive_take(pw_unresponsive *d, uint64_t target, int64_t now) {
  for (int i = 0; i < PWUNRESPONSIVE_MAX; i++) {
    pw_unresponsive_request *r = &d->list[i];
    if (!r->at || r->target != target)
      continue;
    int is_recent = now - r->at < KEEP_MS;
    r->at = 0;
    if (is_recent)
      return r->fingerprint;
  }
  return 0;
}
