/* pwgateaccept.c: limits the new connections that a gateway takes while it gets far more than the others. */
#include "pwgate.h"

#define LOG_INTERVAL_MS 1000 /* of lines while connections are limited, ms */

/* Rates of requests here and at the other gateways, over all services. A gateway that does not hear the others, as over
** a full link, counts as the only one: nothing shows that they are better off. */
static pw_accept_load accept_load(const pw_gate *g, int64_t lag, int64_t now) {
  int gateways = g->knows_most_loads ? pwlink_gateway_count(g->link) : 1;
  pw_accept_load load = {.gateways = gateways, .lag_ms = lag};
  for (const pw_gate_service *s = g->services; s; s = s->next) {
    load.mine += pwshare_rate(&s->share, now);
    load.others += s->others_rate;
  }
  return load;
}

static void log_accept_limit(pw_gate *g, const pw_accept_load *load,
                             int64_t now) {
  int is_limited = g->accept.closed_part > 0;
  if (is_limited ? now - g->limit_logged_at < LOG_INTERVAL_MS
                 : !g->limit_logged_at)
    return;
  g->limit_logged_at = is_limited ? now : 0;
  pwtrace_line(g->trace, PWTRACE_STATE, now, "accept-limited",
               "taken=%.2f rate=%.1f others=%.1f gateways=%d lag_ms=%lld "
               "arrival_ms=%.0f usual_ms=%.0f",
               1 - g->accept.closed_part, load->mine, load->others,
               load->gateways, (long long)load->lag_ms, g->accept.arrival_ms,
               g->accept.usual_arrival_ms);
}

void pwgate_limit_accepting(pw_gate *g, int64_t lag, int64_t now) {
  pw_accept_load load = accept_load(g, lag, now);
  pwaccept_update(&g->accept, &load, now);
  log_accept_limit(g, &load, now);
}

int pwgate_takes_connection(void *gate) {
  pw_gate *g = gate;
  int takes = pwaccept_takes(&g->accept, pwgate_random(g), pwclock_ms());
  pwcount_add(g->p->counters, PWC_GW_CLOSED_UNREAD, !takes);
  return takes;
}
