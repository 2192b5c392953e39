/* pwhint.c: applies what targets report of themselves in the headers of their answers. */
#include "pwgate.h"

static void note_leaving(pw_gate *g, pw_target *t, int64_t now) {
  if (pwfleet_note_leaving(t))
    pwtrace_line(g->trace, PWTRACE_STATE, now, "target-says-leaving",
                 "target=%s born=%llu service=%s", t->id,
                 (unsigned long long)t->born, t->service);
}

static void note_hold_off(pw_gate *g, pw_target *t, int64_t ms, int64_t now) {
  if (!pwfleet_note_hold_off(t, ms, now))
    return;
  pwcount_add(g->p->counters, PWC_HOLD_OFFS, 1);
  pwtrace_line(g->trace, PWTRACE_STATE, now, "target-held-off",
               "target=%s born=%llu service=%s ms=%lld", t->id,
               (unsigned long long)t->born, t->service, (long long)ms);
}

/* Whether an answer rejects the request. Only then does its retry header ask this gateway for a hold-off;
** in any other answer the same header is meant for the caller. */
static int is_rejection(int status) {
  return status == HTTP_STATUS_SERVICE_UNAVAILABLE ||
         status == HTTP_STATUS_TOO_MANY_REQUESTS;
}

void pwhint_apply(pw_gate *g, pw_target *t, int status,
                  const pw_answer_info *info) {
  int64_t now = pwclock_ms();
  if (info->is_leaving)
    note_leaving(g, t, now);
  if (info->hold_off_ms > 0 && is_rejection(status))
    note_hold_off(g, t, info->hold_off_ms, now);
}
