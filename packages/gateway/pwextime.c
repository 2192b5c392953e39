/* pwextime.c: times of an exchange: what is left, what its target has taken, its timer, latencies of stages. */
#include "pwexint.h"

int64_t pwexi_target_ms(const pw_exchange *x, int64_t at) {
  int64_t ms = at - x->sent_at - (x->g->tcp.lag.lost_ms - x->sent_stalled_ms);
  return ms > 0 ? ms : 0;
}

int64_t pwexi_time_left(const pw_exchange *x) {
  int64_t until =
      x->deadline_at < x->timeout_at ? x->deadline_at : x->timeout_at;
  return until - pwclock_ms();
}

void pwexi_set_timer(pw_exchange *x, int64_t ms) {
  x->timer_at = pwclock_ms() + ms;
  pwtcp_timer(&x->g->tcp, &x->timer, ms);
}

void pwexi_observe(const pw_exchange *x, pw_stage stage, int64_t ms) {
  pwstage_observe(x->g->stages, x->route->name, stage, ms);
}
