/* pwspread.c: peer-to-peer distribution of a new document. */
#include "pwspread.h"

#include <assert.h>

/* Most doublings of the time after which a receiver is served again: 3.2 s. */
#define DOUBLINGS_MAX 3

/* Time in ms after which a document counts as lost on its way to the receiver;
** it grows with each loss. */
static int64_t timeout_of(const pw_spread_peer *p) {
  int times = p->failed < DOUBLINGS_MAX ? p->failed : DOUBLINGS_MAX;
  return (int64_t)PW_SPREAD_TIMEOUT_MS << times;
}

void pwspread_request(pw_spread_peer *p, int64_t now) {
  if (!p->requested_at) {
    p->requested_at = now;
    p->served_at = 0;
    p->failed = 0;
  } else if (p->served_at && now - p->served_at >= timeout_of(p)) {
    p->served_at = 0;
    p->failed++;
  }
}

void pwspread_received(pw_spread_peer *p, uint64_t version, uint64_t newest,
                       pw_spread_peer *const *all, size_t n) {
  if (version != p->holds) {
    for (size_t i = 0; p->source && i < n; i++)
      if (all[i]->id == p->source)
        all[i]->busy_until = 0;
    p->source = 0;
    p->served_at = 0;
  }
  p->holds = version;
  if (version >= newest)
    p->requested_at = 0;
}

/* Whether a receiver that got nothing is being served again. Answers that are
** slow for one are slow for all, so one more copy shows whether anything was
** lost. */
static int is_any_served_again(pw_spread_peer *const *all, size_t n,
                               int64_t now) {
  for (size_t i = 0; i < n; i++) {
    const pw_spread_peer *p = all[i];
    if (p->failed && p->requested_at && p->served_at &&
        now - p->served_at < PW_SPREAD_TIMEOUT_MS)
      return 1;
  }
  return 0;
}

pw_spread_peer *pwspread_next(pw_spread_peer *const *all, size_t n,
                              int64_t now) {
  pw_spread_peer *best = NULL;
  int is_any_again = is_any_served_again(all, n, now);
  for (size_t i = 0; i < n; i++) {
    pw_spread_peer *p = all[i];
    if (!p->requested_at || p->served_at || (p->failed && is_any_again))
      continue;
    if (!best || p->requested_at < best->requested_at)
      best = p;
  }
  return best;
}

/* The source that has been free longest; NULL: none is free. */
static pw_spread_peer *free_source(const pw_spread_peer *to,
                                   pw_spread_peer *const *all, size_t n,
                                   uint64_t newest, int64_t now) {
  pw_spread_peer *best = NULL;
  for (size_t i = 0; i < n; i++) {
    pw_spread_peer *p = all[i];
    if (p == to || !p->can_serve || p->holds < newest || p->busy_until > now)
      continue;
    if (!best || p->busy_until < best->busy_until)
      best = p;
  }
  return best;
}

pw_spread_peer *pwspread_source(const pw_spread_peer *to,
                                pw_spread_peer *const *all, size_t n,
                                uint64_t newest, size_t bytes, int has_room,
                                int64_t now, int *own) {
  pw_spread_peer *source = NULL;
  if (!to->failed && bytes > PW_SPREAD_SMALL)
    source = free_source(to, all, n, newest, now);
  *own = !source && has_room;
  return source;
}

void pwspread_serve(pw_spread_peer *to, pw_spread_peer *source, int64_t now) {
  assert(to->requested_at && to != source);
  to->served_at = now;
  to->source = source ? source->id : 0;
  if (source)
    source->busy_until = now + PW_SPREAD_TIMEOUT_MS;
}
