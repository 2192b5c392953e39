/* pwlag.c: detects stalls of an event loop. */
#include "pwlag.h"

/* Time after a stall in which all threads of the process have read the input that arrived during
** it, ms. */
#define CATCH_UP_MS 200

/* Shortest time between two starts of catching up, ms. Without it a loop that stalls again and
** again would always be catching up and never count a peer as lost. */
#define CATCH_UP_AGAIN_MS 1000

int64_t pwlag_iteration(pw_lag *l, int64_t now) {
  int64_t took = l->iteration_at ? now - l->iteration_at : 0;
  int64_t lost = took > l->iteration_max_ms ? took - l->iteration_max_ms : 0;
  l->iteration_at = now;
  l->lost_ms += lost;
  if (lost > 0 && (!l->stall_end || now - l->stall_end >= CATCH_UP_AGAIN_MS))
    l->stall_end = now;
  return lost;
}

int64_t pwlag_clock(const pw_lag *l, int64_t now) {
  return now - l->lost_ms;
}

int64_t pwlag_catch_up(const pw_lag *l, int64_t now) {
  int64_t left = l->stall_end ? l->stall_end + CATCH_UP_MS - now : 0;
  return left > 0 ? left : 0;
}
