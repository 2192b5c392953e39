/* pwunresponsive.c: requests whose target became unresponsive. */
#include "pwunresponsive.h"

/* How long requests are kept, in ms. By then control has missed the heartbeats
** of a target that hangs, and has reported it. */
#define KEEP_MS 15000

void pwunresponsive_note(pw_unresponsive *d,
                         const pw_unresponsive_request *request) {
  d->list[d->next] = *request;
  d->next = (d->next + 1) % PWUNRESPONSIVE_MAX;
}

void pwunresponsive_end_check(pw_unresponsive *d, uint64_t target) {
  for (int i = 0; i < PWUNRESPONSIVE_MAX; i++)
    if (d->list[i].target == target)
      d->list[i].is_checked = 0;
}

int pwunresponsive_take(pw_unresponsive *d, uint64_t target, int64_t now,
                        pw_unresponsive_request *out) {
  for (int i = 0; i < PWUNRESPONSIVE_MAX; i++) {
    pw_unresponsive_request *r = &d->list[i];
    if (!r->at || r->target != target)
      continue;
    *out = *r;
    r->at = 0;
    if (now - out->at < KEEP_MS)
      return 1;
  }
  return 0;
}

int pwunresponsive_take_old(pw_unresponsive *d, int64_t age_ms, int64_t now,
                            pw_unresponsive_request *out) {
  for (int i = 0; i < PWUNRESPONSIVE_MAX; i++) {
    pw_unresponsive_request *r = &d->list[(d->next + i) % PWUNRESPONSIVE_MAX];
    if (!r->at || r->is_checked || now - r->at < age_ms)
      continue;
    *out = *r;
    r->at = 0;
    return 1;
  }
  return 0;
}
