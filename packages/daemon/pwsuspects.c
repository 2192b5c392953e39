/* pwsuspects.c: messages between instances about requests that may have crashed
** targets. */
#include "pwsuspects.h"

#include <string.h>

static void fill_message(Pw__Suspect *m, pw_quar_row *row) {
  pw__suspect__init(m);
  m->sign = row->fingerprint;
  m->targets = row->target;
  m->n_targets = (size_t)row->n;
  m->age = (uint32_t)row->age_ms;
}

static size_t fill_messages(pw_suspects *s, size_t n) {
  s->n = n;
  for (size_t i = 0; i < n; i++) {
    fill_message(&s->message[i], &s->row[i]);
    s->list[i] = &s->message[i];
  }
  return n;
}

size_t pwsuspects_due(pw_suspects *s, pw_quarantine *q, int64_t now) {
  return fill_messages(s, pwquar_updates(q, s->row, now));
}

size_t pwsuspects_list(pw_suspects *s, const pw_quarantine *q, size_t *at,
                       int64_t now) {
  return fill_messages(s, pwquar_list(q, at, s->row, now));
}

/* Unpacks a message. Returns 0 when it names more targets than a row has. */
static int read_row(const Pw__Suspect *m, pw_quar_row *out) {
  if (m->n_targets > PW_QUARANTINE_CRASHES)
    return 0;
  *out = (pw_quar_row){.fingerprint = m->sign,
                       .n = (int)m->n_targets,
                       .age_ms = (int64_t)m->age};
  if (m->n_targets)
    memcpy(out->target, m->targets, sizeof *m->targets * m->n_targets);
  return 1;
}

void pwsuspects_receive(pw_quarantine *q, Pw__Suspect *const *list, size_t n,
                        int64_t now,
                        void (*on_change)(void *arg, uint64_t fingerprint,
                                          pw_quar_change change),
                        void *arg) {
  for (size_t i = 0; i < n; i++) {
    pw_quar_row row;
    pw_quar_change change = read_row(list[i], &row)
                                ? pwquar_receive(q, &row, now)
                                : PWQUAR_UNCHANGED;
    if (change != PWQUAR_UNCHANGED)
      on_change(arg, row.fingerprint, change);
  }
}
