/* pwgateserved.c: which software versions of each service's targets serve or served lately, as recorded by the control
** instances. A gateway that has just started, or was suspended, knows from this whether other versions served. */
#include "pwgate.h"

#include "pwlinkstreams.h"

/* Interval at which the targets are looked through for several versions, ms. */
#define SEVERAL_CHECK_MS 250

static void log_versions(pw_gate *g, int64_t now) {
  for (size_t i = 0; i < g->served.n; i++) {
    const Pw__ServedVersions *m = g->served.list[i];
    pwtrace_line(g->trace, PWTRACE_STATE, now, "served-versions",
                 "service=%s versions=%zu last=%s number=%llu", m->service,
                 m->n_versions,
                 m->n_versions ? m->versions[m->n_versions - 1] : "-",
                 (unsigned long long)g->served.number);
  }
}

static void replace(pw_gate *g, Pw__ServedVersions *const *list, size_t n,
                    uint64_t number, int64_t now) {
  int is_change = number != g->served.number;
  pwserved_replace(&g->served, list, n, number);
  g->served_query = pwlink_served_query(g->link);
  if (is_change)
    log_versions(g, now);
}

void pwgate_receive_served(pw_gate *g, const Pw__Notice *n, int64_t now) {
  if (n->served_number > g->served.number)
    replace(g, n->served, n->n_served, n->served_number, now);
}

/* The answer to a query that was sent after the record here had come is newer, whatever its number: after a restore from
** a backup numbers are given again. */
void pwgate_confirm_served(pw_gate *g, const Pw__StreamAnswers *m,
                           int64_t now) {
  if (m->served_number > g->served.number || m->served_query > g->served_query)
    replace(g, m->served, m->n_served, m->served_number, now);
}

pw_fleet_versions pwgate_recorded_versions(const pw_gate *g,
                                           const char *service) {
  const Pw__ServedVersions *m = pwserved_get(&g->served, service);
  pw_fleet_versions v = {0};
  for (size_t i = 0; m && i < m->n_versions && v.n < PWFLEET_VERSIONS_MAX; i++)
    v.hash[v.n++] = pwfleet_version_hash(service, m->versions[i]);
  return v;
}

pw_gate_served pwgate_served(const pw_gate *g, const char *service,
                             uint64_t *version) {
  const Pw__ServedVersions *m = pwserved_get(&g->served, service);
  uint64_t known = pwfleet_only_version(g->fleet, service);
  if (!m)
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
  s->tells_control = !pwlink_hears_leader(g->link, now) ||
                     pwgate_served(g, s->name, &version) != PWGATE_SERVED_ONE;
  return s->tells_control;
}
