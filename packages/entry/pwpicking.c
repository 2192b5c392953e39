/* pwpicking.c: which target of which version an attempt goes to. */
#include "pwfl.h"

/* Whether two versions share the chats, and the call's own was not left for the other. */
static int has_other_version(const pw_flight *f) {
  return f->call->other_pool[0] && f->pool != f->call->other_pool;
}

int pwfl_leave_version(pw_flight *f) {
  if (!has_other_version(f) || f->last_code == PW_E_BUSY ||
      f->last_code == PW_E_DEADLINE)
    return 0;
  f->pool = f->call->other_pool;
  f->kv_tokens = 0; /* of the first version */
  f->walk.ntried = 0;
  return 1;
}

/* Random bits as a number in [0, 1). */
static double unit_of(uint64_t draw) {
  return (double)(draw >> 11) / (double)(1ULL << 53);
}

/* The next target, or NULL: nobody is left. */
static pw_target *pick_target(pw_flights *fs, pw_flight *f,
                              const pw_policy *policy, int64_t now) {
  pw_route_pool pool;
  int scarce = pwretry_is_scarce(&fs->budget, unit_of(f->walk.draw));
  if (!pwtargets_pool(fs->targets, f->pool, policy, f->walk.draw, scarce, now,
                      &pool))
    return NULL;
  pw_route_pick pick = pwroute_next(&pool, &f->walk);
  f->need_prefix = pick.need_prefix;
  f->may_queue = pick.may_queue;
  return pwtargets_by_id(fs->targets, pick.id);
}

/* Begins anew with the call's own version. */
static void go_back(pw_flight *f) {
  f->failed = 0;
  f->pool = f->call->pool;
  f->walk.ntried = 0;
}

/* The same of the call's own version and then of the other: none that is set aside while the other
** version may have one that works. A version that fails everywhere would use up the retries else. */
static pw_target *pick_of_versions(pw_flights *fs, pw_flight *f,
                                   const pw_policy *policy, int64_t now) {
  f->walk.is_choosy = has_other_version(f);
  pw_target *t = pick_target(fs, f, policy, now);
  int was_choosy = f->walk.is_choosy;
  f->walk.is_choosy = 0;
  if (!t && pwfl_leave_version(f))
    t = pick_target(fs, f, policy, now);
  if (t || !was_choosy)
    return t;
  if (!has_other_version(f))
    go_back(f); /* the other version has nobody */
  return pick_target(fs, f, policy, now);
}

pw_target *pwfl_pick(pw_flights *fs, pw_flight *f, const pw_policy *policy,
                     int64_t now) {
  pw_target *t = pick_of_versions(fs, f, policy, now);
  if (t || !f->failed)
    return t;
  go_back(f);
  return pick_target(fs, f, policy, now);
}
