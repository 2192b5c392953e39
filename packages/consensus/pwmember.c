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

static void drop(pw_cons_config *c, int i) {
  c->m[i] = c->m[--c->n];
}

static int voters(const pw_cons_config *c) {
  int n = 0;
  for (int i = 0; i < c->n; i++)
    n += c->m[i].voter;
  return n;
}

/* The voter that has been silent for longest, if that is too long. */
static int find_silent(const pw_cons *cons, const pw_cons_config *c) {
  int64_t longest = PWMEMBER_REPLACE_MS;
  int found = -1;
  for (int i = 0; i < c->n; i++) {
    int64_t silence = pwcons_peer_silence(cons, c->m[i].id);
    if (!c->m[i].voter || silence < longest)
      continue;
    longest = silence;
    found = i;
  }
  return found;
}

/* Whether those that answer are a quorum of `c`. */
static int quorum_answers(const pw_cons *cons, const pw_cons_config *c,
                          int64_t lease) {
  int n = 0;
  for (int i = 0; i < c->n; i++)
    n += c->m[i].voter && pwcons_peer_silence(cons, c->m[i].id) <= lease;
  return n > voters(c) / 2;
}

/* A learner wants a place and there is none: that of a silent voter. */
static const char *make_place(const pw_cons *cons, int64_t lease,
                              pw_cons_config *next) {
  int silent = find_silent(cons, next);
  if (silent < 0)
    return NULL;
  drop(next, silent);
  return quorum_answers(cons, next, lease) ? "remove" : NULL;
}

static const char *promote(const pw_cons *cons, int64_t lease, int size,
                           pw_cons_config *next) {
  for (int i = 0; i < next->n; i++) {
    if (next->m[i].voter || !pwcons_caught_up(cons, next->m[i].id))
      continue;
    int old = find_slot(next, next->m[i].slot, 1);
    if (old >= 0) {
      drop(next, old);
      return "remove";
    }
    if (size > 0 && voters(next) >= size)
      return make_place(cons, lease, next);
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

/* A learner that has been silent for long; -1: none. */
static int find_lost_learner(const pw_cons *cons, const pw_cons_config *c) {
  for (int i = 0; i < c->n; i++)
    if (!c->m[i].voter &&
        pwcons_peer_silence(cons, c->m[i].id) > PWMEMBER_REPLACE_MS)
      return i;
  return -1;
}

const char *pwmember_next(const pw_cons *cons, const pw_cons_member *joining,
                          int64_t lease, int size, pw_cons_config *next) {
  *next = *pwcons_config(cons);
  const char *what = promote(cons, lease, size, next);
  if (what || !joining->id || pwmember_has(pwcons_config(cons), joining->id))
    return what;
  *next = *pwcons_config(cons);
  if (slot_is_alive(cons, next, joining->slot, lease))
    return NULL;
  int lost = find_slot(next, joining->slot, 0);
  if (lost < 0 && next->n == PWCONS_MEMBERS)
    lost = find_lost_learner(cons, next);
  if (lost >= 0) /* an earlier learner of this slot is lost too */
    next->m[lost] = *joining;
  else if (next->n < PWCONS_MEMBERS)
    next->m[next->n++] = *joining;
  else
    return NULL;
  return "add-learner";
}
