/* pwgateserved.c: which software versions of each service's targets serve or served lately, as recorded by the control
** instances. A gateway that has just started knows from this whether other versions served before. */
#include "pwgate.h"

#include <string.h>

/* Interval at which the targets are looked through for several versions, ms. */
#define SEVERAL_CHECK_MS 250

static void log_versions(pw_gate *g, const Pw__Notice *n, int64_t now) {
  for (size_t i = 0; i < n->n_served; i++) {
    const Pw__ServedVersions *m = n->served[i];
    pwtrace_line(g->trace, PWTRACE_STATE, now, "served-versions",
                 "service=%s versions=%zu last=%s number=%llu", m->service,
                 m->n_versions,
                 m->n_versions ? m->versions[m->n_versions - 1] : "-",
                 (unsigned long long)n->served_number);
  }
}

void pwgate_receive_served(pw_gate *g, const Pw__Notice *n, int64_t now) {
  if (!n->in_touch || !n->served_number)
    return;
  /* An instance that follows may not have applied all that was recorded before its start. */
  g->is_served_confirmed |= n->leads;
  if (n->served_number <= g->served.number)
    return;
  pwserved_replace(&g->served, n->served, n->n_served, n->served_number);
  log_versions(g, n, now);
}

pw_gate_served pwgate_served(const pw_gate *g, const char *service, int64_t now,
                             uint64_t *version) {
  const Pw__ServedVersions *m = pwserved_get(&g->served, service);
  uint64_t known = pwfleet_only_version(g->fleet, service);
  if (!m || !g->is_served_confirmed || !pwlink_hears_leader(g->link, now))
    return PWGATE_SERVED_UNKNOWN;
  *version = pwfleet_version_hash(service, m->versions[0]);
  return m->n_versions == 1 && (!known || known == *version)
             ? PWGATE_SERVED_ONE
             : PWGATE_SERVED_SEVERAL;
}

int pwgate_tells_control(const pw_gate *g, pw_gate_service *s, int64_t now) {
  uint64_t version;
  if (s->tells_control_at && now - s->tells_control_at < SEVERAL_CHECK_MS)
    return s->tells_control;
  s->tells_control_at = now;
  s->tells_control =
      pwgate_served(g, s->name, now, &version) != PWGATE_SERVED_ONE;
  return s->tells_control;
}
