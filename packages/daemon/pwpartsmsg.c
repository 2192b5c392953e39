/* pwpartsmsg.c: messages between instances about parts of prompts that may
** crash targets. Times travel as ages, since instances have different clocks.
*/
#include "pwpartsmsg.h"

static uint32_t age_of(int64_t at, int64_t now) {
  int64_t age = now - at;
  return age < 0 ? 0 : age > INT32_MAX ? INT32_MAX : (uint32_t)age;
}

static void fill_item(pw_part_message *item, const pw_part_row *row,
                      int64_t now) {
  Pw__CrashingPart *m = &item->message;
  pw__crashing_part__init(m);
  m->part = row->key;
  m->answered = row->answered ? 1 + age_of(row->answered, now) : 0;
  m->others = row->are_others_answered;
  m->targets = item->target;
  m->ages = item->age_ms;
  m->spans = item->span_ms;
  m->n_targets = m->n_ages = m->n_spans = (size_t)row->n;
  for (int i = 0; i < row->n; i++) {
    const pw_part_crash *crash = &row->crash[i];
    item->target[i] = crash->target;
    item->age_ms[i] = age_of(crash->crashed, now);
    item->span_ms[i] = age_of(crash->sent, crash->crashed);
  }
}

static size_t fill_items(pw_partsmsg *m, const pw_part_row *row, size_t n,
                         int64_t now) {
  m->n = n;
  for (size_t i = 0; i < n; i++) {
    fill_item(&m->item[i], &row[i], now);
    m->list[i] = &m->item[i].message;
  }
  return n;
}

size_t pwpartsmsg_due(pw_partsmsg *m, pw_parts *q, int64_t now) {
  pw_part_row row[PWPARTS_ROWS];
  return fill_items(m, row, pwparts_updates(q, row, now), now);
}

size_t pwpartsmsg_list(pw_partsmsg *m, pw_parts *q, size_t *at, int64_t now) {
  pw_part_row row[PWPARTS_ROWS];
  return fill_items(m, row, pwparts_list(q, at, row), now);
}

/* Unpacks a message. Returns 0 when its lists do not fit each other or a row.
*/
static int read_row(const Pw__CrashingPart *m, int64_t now, pw_part_row *out) {
  if (m->n_targets > PWPARTS_CRASHES || m->n_ages != m->n_targets ||
      m->n_spans != m->n_targets)
    return 0;
  *out = (pw_part_row){
      .key = m->part, .n = (int)m->n_targets, .are_others_answered = m->others};
  if (m->answered)
    out->answered = now - (int64_t)(m->answered - 1);
  for (int i = 0; i < out->n; i++) {
    int64_t crashed = now - (int64_t)m->ages[i];
    out->crash[i] =
        (pw_part_crash){m->targets[i], crashed - (int64_t)m->spans[i], crashed};
  }
  return 1;
}

void pwpartsmsg_receive(pw_parts *q, Pw__CrashingPart *const *list, size_t n,
                        int64_t now) {
  pw_part_row row;
  for (size_t i = 0; i < n; i++)
    if (read_row(list[i], now, &row))
      pwparts_receive(q, &row, now);
}
