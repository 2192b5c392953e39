/* pwpicking.c: picks the target and the model version for an attempt. */
#include "pwfl.h"

/* Whether a rollout offers another version and the request still uses its own. */
static int has_other_version(const pw_flight *f) {
  return f->call->other_pool[0] && f->pool != f->call->other_pool;
}

int pwfl_switch_version(pw_flight *f) {
  if (!has_other_version(f) || f->last_code == PW_E_BUSY ||
      f->last_code == PW_E_DEADLINE)
    return 0;
  f->pool = f->call->other_pool;
  f->kv_tokens = 0; /* a KV cache belongs to one version */
  f->walk.ntried = 0;
  return 1;
}

/* Maps random bits to a number in [0, 1). */
static double unit_interval(uint64_t draw) {
  return (double)(draw >> 11) / (double)(1ULL << 53);
}

/* Next target of the version in use, or NULL when none is left. */
static pw_target *pick_target(pw_flights *fs, pw_flight *f,
                              const pw_policy *policy, int64_t now) {
  pw_route_pool pool;
  int scarce = pwretry_is_scarce(&fs->budget, unit_interval(f->walk.draw));
  if (!pwtargets_pool(fs->targets, f->pool, policy, f->walk.draw, scarce, now,
                      &pool))
    return NULL;
  pw_route_pick pick = pwroute_next(&pool, &f->walk);
  f->need_prefix = pick.need_prefix;
  f->may_queue = pick.may_queue;
  return pwtargets_by_id(fs->targets, pick.id);
}

/* Returns to the call's own version and clears the targets tried. */
static void restart_walk(pw_flight *f) {
  f->failed = 0;
  f->pool = f->call->pool;
  f->walk.ntried = 0;
}

/* Next target of the call's own version, then of the other version. While another version may have a
** working target, ejected targets of the own version are skipped: otherwise a version that fails
** everywhere would use up the retry budget. */
static pw_target *pick_of_versions(pw_flights *fs, pw_flight *f,
                                   const pw_policy *policy, int64_t now) {
  f->walk.avoid_ejected = has_other_version(f);
  pw_target *t = pick_target(fs, f, policy, now);
  int avoided_ejected = f->walk.avoid_ejected;
  f->walk.avoid_ejected = 0;
  if (!t && pwfl_switch_version(f))
    t = pick_target(fs, f, policy, now);
  if (t || !avoided_ejected)
    return t;
  if (!has_other_version(f))
    restart_walk(f); /* the other version has no target */
  return pick_target(fs, f, policy, now);
}

pw_target *pwfl_pick(pw_flights *fs, pw_flight *f, const pw_policy *policy,
                     int64_t now) {
  pw_target *t = pick_of_versions(fs, f, policy, now);
  if (t || !f->failed)
    return t;
  restart_walk(f);
  return pick_target(fs, f, policy, now);
}
