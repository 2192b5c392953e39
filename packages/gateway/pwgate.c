/* pwgate.c: shared functions on the state of a gateway. */
#include "pwgate.h"

#include <stdlib.h>

/* Shortest standstill after which new requests wait for what was missed, ms: control instances notify each gateway
** about every 500 ms, and messages of a shorter one are read first. */
#define STANDSTILL_MS 1500

void pwgate_free_later(pw_gate *g, void *p) {
  if (g->nto_free == g->to_free_cap) {
    g->to_free_cap = g->to_free_cap ? g->to_free_cap * 2 : 64;
    g->to_free = realloc(g->to_free, sizeof(void *) * g->to_free_cap);
    if (!g->to_free)
      abort();
  }
  g->to_free[g->nto_free++] = p;
}

/* xorshift64*. Not cryptographically secure; used for load spreading only. */
double pwgate_random(pw_gate *g) {
  g->random ^= g->random >> 12;
  g->random ^= g->random << 25;
  g->random ^= g->random >> 27;
  return (double)((g->random * 2685821657736338717ULL) >> 11) /
         9007199254740992.0;
}

void pwgate_log_suspect(pw_gate *g, uint64_t fingerprint, pw_quar_change change,
                        const char *how) {
  pw_quarantine *q = g->quarantine;
  pwcount_set(g->p->counters, PWC_CRASHED_UNDER, pwquar_total(q));
  pwcount_set(g->p->counters, PWC_QUARANTINED, pwquar_count(q));
  if (change == PWQUAR_BEGUN || change == PWQUAR_RELEASED)
    pwtrace_line(g->trace, PWTRACE_STATE, pwclock_ms(),
                 change == PWQUAR_BEGUN ? "quarantined" : "released",
                 "sign=%016llx ends=%d how=%s in_quarantine=%d",
                 (unsigned long long)fingerprint,
                 pwquar_crashes(q, fingerprint), how, pwquar_count(q));
}

void pwgate_log_parts(pw_gate *g, int64_t now) {
  pw_part_change change[PWPARTS_CHANGES];
  size_t n = pwparts_changes(g->parts, change, PWPARTS_CHANGES, now);
  for (size_t i = 0; i < n; i++)
    pwtrace_line(g->trace, PWTRACE_STATE, now,
                 change[i].is_refused ? "part-quarantined" : "part-released",
                 "part_sign=%016llx ends=%d in_quarantine=%d",
                 (unsigned long long)change[i].key, change[i].crashes,
                 pwparts_count(g->parts, now));
  pwcount_set(g->p->counters, PWC_PARTS_QUARANTINED,
              pwparts_count(g->parts, now));
}

void pwgate_note_silent(pw_gate *g, const char *id, int64_t now) {
  const pw_target *t = pwfleet_find(g->fleet, id);
  pw_unresponsive_request r;
  while (t && pwunresponsive_take(&g->unresponsive, t->start_hash, now, &r)) {
    pw_quar_change change =
        pwquar_crashed(g->quarantine, r.fingerprint, t->start_hash, now);
    pw_part_crash crash = {t->start_hash, r.sent, r.at};
    pwparts_crashed(g->parts, &r.parts, &crash);
    pwtrace_line(g->trace, PWTRACE_STATE, now, "ended-under",
                 "target=%s sign=%016llx dark=1 ends=%d", id,
                 (unsigned long long)r.fingerprint,
                 pwquar_crashes(g->quarantine, r.fingerprint));
    pwgate_log_suspect(g, r.fingerprint, change, "seen");
  }
}

void pwgate_apply_site(pw_gate *g, pw_site *site) {
  uint64_t version = pwsite_version(site);
  if (g->site && version <= pwsite_version(g->site)) {
    pwsite_release(site);
    return;
  }
  pwsite_release(g->site);
  g->site = site;
  const pw_site_limits *l = pwsite_limits(site);
  g->callers.limits = (pw_conn_limits){.header_bytes = (size_t)l->header_bytes,
                                       .body_bytes = (size_t)l->body_bytes,
                                       .header_ms = l->header_timeout_ms,
                                       .idle_ms = l->idle_timeout_ms};
  pwcount_set(g->p->counters, PWC_GW_SITE, (int64_t)version);
  pwtrace_line(g->trace, PWTRACE_STATE, pwclock_ms(), "configuration",
               "version=%llu", (unsigned long long)version);
}

void pwgate_note_standstill(pw_gate *g, int64_t lost_ms, int64_t now) {
  if (lost_ms < STANDSTILL_MS || !g->site || !g->link)
    return;
  g->catch_up_until = now + PWGATE_CATCH_UP_MS;
  pwlink_begin_catch_up(g->link, now);
}

int pwgate_catches_up(pw_gate *g, int64_t now) {
  if (!g->catch_up_until)
    return 0;
  int has_caught_up = pwlink_has_caught_up(g->link, now);
  if (!has_caught_up && now < g->catch_up_until)
    return 1;
  pwtrace_line(g->trace, PWTRACE_STATE, now, "caught-up",
               "waited_ms=%lld complete=%d awaiting=%d",
               (long long)(now + PWGATE_CATCH_UP_MS - g->catch_up_until),
               has_caught_up, g->nawaiting);
  g->catch_up_until = 0;
  return 0;
}

static int knows_targets(pw_gate *g, int64_t now) {
  for (int i = 0; i < pwsite_services(g->site); i++)
    if (pwfleet_alive(g->fleet, pwsite_service(g->site, i)->name, now))
      return 1;
  return 0;
}

pw_buflimits pwgate_buf_limits(const pw_gate *g) {
  const pw_memory *m = g->p->memory;
  return pwbuflimits_of(pwmemory_used(m), pwmemory_buffer_limit(m));
}

int pwgate_may_serve(pw_gate *g) {
  return g->site && (g->is_ready || knows_targets(g, pwclock_ms()));
}
