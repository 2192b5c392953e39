/* pwspread.c: who hands a new document to whom, when all want it at once. */
#include "pwspread.h"

#include <assert.h>

#define DOUBLINGS_MAX 3 /* of the patience with a receiver: 3.2 s at most */

/* How long what it was served may be under way, ms: longer each time. */
static int64_t patience(const pw_spread_place *p) {
  int times = p->failed < DOUBLINGS_MAX ? p->failed : DOUBLINGS_MAX;
  return (int64_t)PW_SPREAD_SERVE_MS << times;
}

void pwspread_want(pw_spread_place *p, int64_t now) {
  if (!p->wants_at) {
    p->wants_at = now;
    p->served_at = 0;
    p->failed = 0;
  } else if (p->served_at && now - p->served_at >= patience(p)) {
    p->served_at = 0;
    p->failed++;
  }
}

void pwspread_holds(pw_spread_place *p, uint64_t version, uint64_t newest,
                    pw_spread_place *const *all, size_t n) {
  if (version != p->holds) {
    for (size_t i = 0; p->giver && i < n; i++)
      if (all[i]->id == p->giver)
        all[i]->busy_until = 0;
    p->giver = 0;
    p->served_at = 0;
  }
  p->holds = version;
  if (version >= newest)
    p->wants_at = 0;
}

/* Whether one that was failed is being served again. Answers that take longer than usual take so
** for all: one copy more shows whether anything was lost. */
static int is_one_tried_again(pw_spread_place *const *all, size_t n,
                              int64_t now) {
  for (size_t i = 0; i < n; i++) {
    const pw_spread_place *p = all[i];
    if (p->failed && p->wants_at && p->served_at &&
        now - p->served_at < PW_SPREAD_SERVE_MS)
      return 1;
  }
  return 0;
}

pw_spread_place *pwspread_first(pw_spread_place *const *all, size_t n,
                                int64_t now) {
  pw_spread_place *best = NULL;
  int is_again = is_one_tried_again(all, n, now);
  for (size_t i = 0; i < n; i++) {
    pw_spread_place *p = all[i];
    if (!p->wants_at || p->served_at || (p->failed && is_again))
      continue;
    if (!best || p->wants_at < best->wants_at)
      best = p;
  }
  return best;
}

/* The one whose last turn is the longest past. */
static pw_spread_place *free_holder(const pw_spread_place *to,
                                    pw_spread_place *const *all, size_t n,
                                    uint64_t newest, int64_t now) {
  pw_spread_place *best = NULL;
  for (size_t i = 0; i < n; i++) {
    pw_spread_place *p = all[i];
    if (p == to || !p->can_hand || p->holds < newest || p->busy_until > now)
      continue;
    if (!best || p->busy_until < best->busy_until)
      best = p;
  }
  return best;
}

pw_spread_place *pwspread_giver(const pw_spread_place *to,
                                pw_spread_place *const *all, size_t n,
                                uint64_t newest, size_t bytes, int has_room,
                                int64_t now, int *own) {
  pw_spread_place *holder = NULL;
  if (!to->failed && bytes > PW_SPREAD_SMALL)
    holder = free_holder(to, all, n, newest, now);
  *own = !holder && has_room;
  return holder;
}

void pwspread_serve(pw_spread_place *to, pw_spread_place *giver, int64_t now) {
  assert(to->wants_at && to != giver);
  to->served_at = now;
  to->giver = giver ? giver->id : 0;
  if (giver)
    giver->busy_until = now + PW_SPREAD_SERVE_MS;
}
