/* pwmember.c: which single change of a group's membership comes next. */
#include "pwmember.h"

int pwmember_has(const pw_cons_config *c, uint64_t id) {
  for (int i = 0; i < c->n; i++)
    if (c->m[i].id == id)
      return 1;
  return 0;
}

static int find_slot(const pw_cons_config *c, uint32_t slot, int voter) {
  for (int i = 0; i < c->n; i++)
    if (c->m[i].slot == slot && c->m[i].voter == voter)
      return i;
  return -1;
}

int pwmember_seeks(const pw_cons *cons, uint64_t id, int64_t lease) {
  const pw_cons_config *c = pwcons_config(cons);
  for (int i = 0; i < c->n; i++)
    if (c->m[i].id == id && c->m[i].voter)
      return 0;
  return pwcons_silence(cons) > 2 * lease;
}

static const char *promote(const pw_cons *cons, pw_cons_config *next) {
  for (int i = 0; i < next->n; i++) {
    if (next->m[i].voter || !pwcons_caught_up(cons, next->m[i].id))
      continue;
    int old = find_slot(next, next->m[i].slot, 1);
    if (old >= 0) {
      next->m[old] = next->m[--next->n];
      return "remove";
    }
    next->m[i].voter = 1;
    return "promote";
  }
  return NULL;
}

static int slot_is_alive(const pw_cons *cons, const pw_cons_config *c,
                         uint32_t slot, int64_t lease) {
  int voter = find_slot(c, slot, 1);
  return voter >= 0 && pwcons_peer_silence(cons, c->m[voter].id) <= 2 * lease;
}

const char *pwmember_next(const pw_cons *cons, const pw_cons_member *joining,
                          int64_t lease, pw_cons_config *next) {
  *next = *pwcons_config(cons);
  const char *what = promote(cons, next);
  if (what || !joining->id || pwmember_has(next, joining->id))
    return what;
  if (slot_is_alive(cons, next, joining->slot, lease))
    return NULL;
  int lost = find_slot(next, joining->slot, 0);
  if (lost >= 0) /* an earlier learner of this slot is lost too */
    next->m[lost] = *joining;
  else if (next->n < PWCONS_MEMBERS)
    next->m[next->n++] = *joining;
  else
    return NULL;
  return "add-learner";
}
