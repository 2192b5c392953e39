/* pwgatestate.c: per-service and per-route state of a gateway, which outlasts changes of the
** configuration. */
#include "pwgate.h"

#include <stdlib.h>
#include <string.h>

#define MS_PER_S 1000
/* Most routes that have state; further ones have no baselines. */
#define ROUTES_MAX 1000

pw_gate_service *pwgate_service(pw_gate *g, const char *name) {
  for (pw_gate_service *s = g->services; s; s = s->next)
    if (!strcmp(s->name, name))
      return s;
  const pw_settings *set = g->p->set;
  pw_gate_service *s = pw_alloc(sizeof *s);
  pw_copy(s->name, sizeof s->name, name);
  pwretries_init(&s->retries, set->gateway_retry_ratio,
                 set->gateway_retry_slack,
                 (int64_t)(set->gateway_retry_window * MS_PER_S));
  pwretries_fill_from(&s->retries,
                      pwlink_budget_count_since(g->link, pwclock_ms()));
  pwshed_init(&s->shed, pwclock_ms());
  pwprefill_init(&s->prefill);
  s->spike = pwspike_new(name, pwclock_ms());
  s->next = g->services;
  g->services = s;
  return s;
}

pw_gate_route *pwgate_route(pw_gate *g, const char *name) {
  pw_gate_route *r;
  HASH_FIND_STR(g->routes, name, r);
  if (r || HASH_COUNT(g->routes) >= ROUTES_MAX)
    return r;
  r = pw_alloc(sizeof *r);
  pw_copy(r->name, sizeof r->name, name);
  HASH_ADD_STR(g->routes, name, r);
  return r;
}

void pwgate_free_state(pw_gate *g) {
  pw_gate_route *r, *tmp;
  HASH_ITER(hh, g->routes, r, tmp) {
    HASH_DEL(g->routes, r);
    free(r);
  }
  while (g->services) {
    pw_gate_service *s = g->services;
    g->services = s->next;
    pwspike_free(s->spike);
    free(s);
  }
}
