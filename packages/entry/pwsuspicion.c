/* pwsuspicion.c: what an entry notes of requests under which targets end. */
#include "pwfl.h"

#include "pwlog.h"
#include "pwsuspects.h"

#include <xxhash.h>

/* All entries see an end within so long, and no target starts and ends again within it. */
#define END_SPAN_MS 2000

static void note_suspect(pw_flights *fs, uint64_t sign, pw_quar_news news) {
  const pw_quarantine *q = fs->quarantine;
  if (news == PWQUAR_OLD)
    return;
  pwcount_set(fs->p->counters, PWC_ENDED_UNDER, pwquar_total(q));
  if (news == PWQUAR_BEGUN || news == PWQUAR_RELEASED)
    pwlog(LOG_WARNING, news == PWQUAR_BEGUN ? "quarantined" : "released",
          "sign=%016llx ends=%d", (unsigned long long)sign,
          pwquar_ends(q, sign));
}

static void hear_suspect(void *arg, uint64_t sign, pw_quar_news news) {
  note_suspect(arg, sign, news);
}

void pwflight_hear_suspects(pw_flights *fs, const Pw__Loads *m, int64_t now) {
  pwsuspects_take(fs->quarantine, m->suspects, m->n_suspects, now, hear_suspect,
                  fs);
}

/* One start of a target: agents outlive what they stand before and do not tell its starts apart. */
static uint64_t start_of(const pw_target *t) {
  uint64_t both[2] = {t->id, (uint64_t)(pwclock_wall_ms() / END_SPAN_MS)};
  return XXH3_64bits(both, sizeof both);
}

void pwfl_note_ended(pw_flights *fs, const pw_flight *f, int64_t now) {
  const pw_target *t = pwfl_target_of(fs, f);
  if (t)
    note_suspect(fs, f->call->sign,
                 pwquar_ended(fs->quarantine, f->call->sign, start_of(t), now));
}

void pwfl_note_answered(pw_flights *fs, const pw_flight *f, int64_t now) {
  note_suspect(fs, f->call->sign,
               pwquar_answered(fs->quarantine, f->call->sign, now));
}
