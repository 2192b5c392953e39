/* pwmember.c: choice of the next single change of a group's membership. */
#include "pwmember.h"

#ifndef PW_MUTATION
#define PW_MUTATION 0
#endif
enum {
  MUT_KEEP_SILENT = 18, /* never replaces a silent voter */
  MUT_CROWD = 19        /* promotes learners beyond the group's size */
};

int pwmember_has(const pw_cons_config *c, uint64_t id) {
  for (int i = 0; i < c->n; i++)
    if (c->m[i].id == id)
      return 1;
  return 0;
}

/* The index of the voter or learner of a slot; -1: none. */
static int find_slot(const pw_cons_config *c, uint32_t slot, int voter) {
  for (int i = 0; i < c->n; i++)
    if (c->m[i].slot == slot && c->m[i].voter == voter)
      return i;
  return -1;
}

int pwmember_must_join(const pw_cons *cons, uint64_t id, int64_t lease) {
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

/* The index of the longest silent voter, if it has reached PWMEMBER_REPLACE_MS; -1: none. */
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

/* Whether one more learner may be promoted. A full group must have a silent
** voter, which is removed after the promotion. If it were removed first, two
** further losses could leave no quorum, and its return would not help. */
static int may_promote(const pw_cons *cons, int size, const pw_cons_config *c) {
  int n = voters(c);
  if (size <= 0 || n < size || PW_MUTATION == MUT_CROWD)
    return 1;
  return n == size && find_silent(cons, c) >= 0 &&
         PW_MUTATION != MUT_KEEP_SILENT;
}

/* Promotes a learner that has caught up, or removes the voter of its slot before that. */
static const char *promote(const pw_cons *cons, int size,
                           pw_cons_config *next) {
  for (int i = 0; i < next->n; i++) {
    if (next->m[i].voter || !pwcons_caught_up(cons, next->m[i].id))
      continue;
    int old = find_slot(next, next->m[i].slot, 1);
    if (old >= 0) {
      drop(next, old);
      return "remove";
    }
    if (!may_promote(cons, size, next))
      continue;
    next->m[i].voter = 1;
    return "promote";
  }
  return NULL;
}

/* Removes a silent voter from a group that has more voters than its size. */
static const char *shrink(const pw_cons *cons, int size, pw_cons_config *next) {
  int silent = find_silent(cons, next);
  if (size <= 0 || voters(next) <= size || silent < 0)
    return NULL;
  drop(next, silent);
  return "remove";
}

/* Whether the voter of a slot has answered within two leases. */
static int slot_is_alive(const pw_cons *cons, const pw_cons_config *c,
                         uint32_t slot, int64_t lease) {
  int voter = find_slot(c, slot, 1);
  return voter >= 0 && pwcons_peer_silence(cons, c->m[voter].id) <= 2 * lease;
}

/* The index of a learner that has been silent for PWMEMBER_REPLACE_MS; -1: none. */
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
  const char *what = shrink(cons, size, next);
  if (!what)
    what = promote(cons, size, next);
  if (what || !joining->id || pwmember_has(pwcons_config(cons), joining->id))
    return what;
  *next = *pwcons_config(cons);
  if (slot_is_alive(cons, next, joining->slot, lease))
    return NULL;
  int replaced = find_slot(next, joining->slot, 0);
  if (replaced < 0 && next->n == PWCONS_MEMBERS)
    replaced = find_lost_learner(cons, next);
  if (replaced >= 0) /* replaces an earlier learner */
    next->m[replaced] = *joining;
  else if (next->n < PWCONS_MEMBERS)
    next->m[next->n++] = *joining;
  else
    return NULL;
  return "add-learner";
}
