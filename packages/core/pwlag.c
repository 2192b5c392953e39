/* pwlag.c: how long an event loop was held up. */
#include "pwlag.h"

/* What came during a standstill has been read so long after it, by all threads of the process, ms. */
#define CATCH_UP_MS 200

/* A loop that is held up again and again gives peers up all the same: so long after it last began to
** catch up it may begin anew, ms. */
#define CATCH_UP_AGAIN_MS 1000

int64_t pwlag_turn(pw_lag *l, int64_t now) {
  int64_t took = l->turned_at ? now - l->turned_at : 0;
  int64_t lost = took > l->turn_ms ? took - l->turn_ms : 0;
  l->turned_at = now;
  l->lost_ms += lost;
  if (lost > 0 && (!l->back_at || now - l->back_at >= CATCH_UP_AGAIN_MS))
    l->back_at = now;
  return lost;
}

int64_t pwlag_clock(const pw_lag *l, int64_t now) {
  return now - l->lost_ms;
}

int64_t pwlag_catch_up(const pw_lag *l, int64_t now) {
  int64_t left = l->back_at ? l->back_at + CATCH_UP_MS - now : 0;
  return left > 0 ? left : 0;
}
