/* pwsuspicion.c: tracks requests, and parts of prompts, that crash their targets. */
#include "pwfl.h"

#include "pwlog.h"
#include "pwpartsmsg.h"
#include "pwsuspects.h"

#include <xxhash.h>

/* All entries see a crash within this time, and no target restarts and crashes again within it. */
#define CRASH_SPAN_MS 2000

/* Updates the counter, and logs the start and end of a quarantine. */
static void note_suspect(pw_flights *fs, uint64_t fingerprint,
                         pw_quar_change change) {
  const pw_quarantine *q = fs->quarantine;
  if (change == PWQUAR_UNCHANGED)
    return;
  pwcount_set(fs->p->counters, PWC_CRASHED_UNDER, pwquar_total(q));
  if (change == PWQUAR_BEGUN || change == PWQUAR_RELEASED)
    pwlog(LOG_WARNING, change == PWQUAR_BEGUN ? "quarantined" : "released",
          "sign=%016llx ends=%d", (unsigned long long)fingerprint,
          pwquar_crashes(q, fingerprint));
}

static void on_suspect(void *arg, uint64_t fingerprint, pw_quar_change change) {
  note_suspect(arg, fingerprint, change);
}

void pwflight_take_suspects(pw_flights *fs, const Pw__Loads *m, int64_t now) {
  pwsuspects_receive(fs->quarantine, m->suspects, m->n_suspects, now,
                     on_suspect, fs);
  pwpartsmsg_receive(fs->parts, m->crashing_parts, m->n_crashing_parts, now);
}

void pwfl_log_parts(pw_flights *fs, int64_t now) {
  pw_part_change change[PWPARTS_CHANGES];
  size_t n = pwparts_changes(fs->parts, change, PWPARTS_CHANGES, now);
  for (size_t i = 0; i < n; i++)
    pwlog(LOG_WARNING,
          change[i].is_refused ? "part-quarantined" : "part-released",
          "part_sign=%016llx ends=%d", (unsigned long long)change[i].key,
          change[i].crashes);
  pwcount_set(fs->p->counters, PWC_PARTS_QUARANTINED,
              pwparts_count(fs->parts, now));
}

/* Identifies one incarnation of a target by the time of its crash: an agent outlives its target and does
** not report the target's restarts. */
static uint64_t incarnation_of(const pw_target *t) {
  uint64_t both[2] = {t->id, (uint64_t)(pwclock_wall_ms() / CRASH_SPAN_MS)};
  return XXH3_64bits(both, sizeof both);
}

void pwfl_note_crash(pw_flights *fs, const pw_flight *f, int64_t now) {
  const pw_target *t = pwfl_target_of(fs, f);
  if (!t)
    return;
  pw_part_crash crash = {t->id, f->since, now};
  pwparts_crashed(fs->parts, &f->call->parts, &crash);
  note_suspect(fs, f->call->fingerprint,
               pwquar_crashed(fs->quarantine, f->call->fingerprint,
                              incarnation_of(t), now));
}

void pwfl_note_answered(pw_flights *fs, const pw_flight *f, int64_t now) {
  pwparts_answered(fs->parts, &f->call->parts, now);
  note_suspect(fs, f->call->fingerprint,
               pwquar_answered(fs->quarantine, f->call->fingerprint, now));
}
