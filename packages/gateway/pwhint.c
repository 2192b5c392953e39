/* pwhint.c: what targets say of themselves beside their answers. */
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

/* Only an answer that turns a request away asks to be left alone: beside another one the same line
** speaks to the caller. */
static int turns_away(int status) {
  return status == HTTP_STATUS_SERVICE_UNAVAILABLE ||
         status == HTTP_STATUS_TOO_MANY_REQUESTS;
}

void pwhint_heed(pw_gate *g, pw_target *t, int status, const pw_told *told) {
  int64_t now = pwclock_ms();
  if (told->is_leaving)
    note_leaving(g, t, now);
  if (told->hold_off_ms > 0 && turns_away(status))
    note_hold_off(g, t, told->hold_off_ms, now);
}
