/* pwpick.c: a gateway's choice of the target for a request. */
#include "pwpick.h"

#include <math.h>
#include <xxhash.h>

#ifndef PW_MUTATION
#define PW_MUTATION 0
#endif

enum {
  MUT_NO_MEAN = 58,      /* what is late at all targets goes to none */
  MUT_REPEAT_PREFIX = 59 /* a cached prefix may be computed again */
};

/* Extra wait in ms that is accepted to stay in the availability zone. */
#define NEAR_MS 1.0

/* A prompt is placed at this many targets, the first ones in its order. Later
** ones qualify only while less than SPARE_SHARE of their slots is taken. */
#define COPIES 3
#define SPARE_SHARE 0.75

/* A target is also soon enough if its first chunk comes no later after the mean
** than this part of soon_ms. Otherwise a long prompt, for which no target is
** within soon_ms, would go to another target than its home for no gain. */
#define SLACK_PART 0.5

/* A limit below TIGHT_TIMES times the mean plus TIGHT_EXTRA requests leaves no
** room for homes that are busier than others. */
#define TIGHT_TIMES 1.15
#define TIGHT_EXTRA 2.0

/* Requests that a target may have above its multiple of the mean. UNSEEN_TIMES
** times the requests not visible yet are subtracted, down to EXTRA_LEAST, the
** least that still leaves room for homes. */
#define EXTRA_MOST 3.0
#define EXTRA_LEAST 2.0
#define UNSEEN_TIMES 2.0
#define MS_PER_S 1000.0

static double mean_of_usable(const pw_pick *t, int n) {
  double sum = 0;
  int count = 0;
  for (int i = 0; i < n; i++) {
    int counts = t[i].is_usable || t[i].counts;
    sum += counts ? t[i].load : 0;
    count += counts;
  }
  return count ? sum / count : 0;
}

/* The mean load of the targets that are alive, which is 0 if there is none; returns their number. */
static int count_alive(const pw_pick *t, int n, double *mean) {
  double sum = 0;
  int count = 0;
  for (int i = 0; i < n; i++) {
    sum += t[i].is_alive ? t[i].load : 0;
    count += t[i].is_alive;
  }
  *mean = count ? sum / count : 0;
  return count;
}

/* Without a target that is alive there is no mean to compare with: the targets that are the last resort would get no
** more than alive_extra requests each, however many slots they have. */
double pwpick_limit(const pw_pick *t, int n, pw_pick_bound bound) {
  double mean, limit = bound.times * mean_of_usable(t, n) + bound.extra;
  if (bound.alive_times <= 0 || count_alive(t, n, &mean) == 0)
    return limit;
  double of_alive = bound.alive_times * mean + bound.alive_extra;
  return of_alive < limit ? of_alive : limit;
}

double pwpick_extra(double rate, double age_ms) {
  double unseen = rate * age_ms / MS_PER_S;
  double extra = EXTRA_MOST - UNSEEN_TIMES * unseen;
  return extra > EXTRA_LEAST ? extra : EXTRA_LEAST;
}

static uint64_t score(uint64_t key, uint64_t id) {
  uint64_t both[2] = {key, id};
  return XXH3_64bits(both, sizeof both);
}

/* The first target in the key's order that fits; -1: none does. */
static int first_in_order(const pw_pick *t, int n, uint64_t key,
                          int (*fits)(const pw_pick *t, double limit),
                          double limit) {
  uint64_t best_score = 0;
  int best = -1;
  for (int i = 0; i < n; i++) {
    if (!fits(&t[i], limit))
      continue;
    uint64_t s = score(key, t[i].id);
    if (best < 0 || s > best_score) {
      best = i;
      best_score = s;
    }
  }
  return best;
}

static int has_room(const pw_pick *t, double limit) {
  return t->is_usable && t->load < t->slots && t->load + 1 <= limit;
}

static int may_have_prompts(const pw_pick *t, double limit) {
  (void)limit;
  return t->is_alive && !t->is_new;
}

static int has_slots_to_spare(const pw_pick *t, double limit) {
  return has_room(t, limit) && t->load < SPARE_SHARE * t->slots;
}

/* How many usable targets come before it in the key's order. */
static int rank_of(const pw_pick *t, int n, uint64_t key, int which) {
  uint64_t mine = score(key, t[which].id);
  int before = 0;
  for (int i = 0; i < n; i++)
    before += t[i].is_usable && score(key, t[i].id) > mine;
  return before;
}

/* Whether the bound on the mean of all targets that are alive leaves the usable
** ones little more than their own mean. */
static int is_tight(const pw_pick *t, int n, pw_pick_bound bound,
                    double limit) {
  return bound.alive_times > 0 &&
         limit < TIGHT_TIMES * mean_of_usable(t, n) + TIGHT_EXTRA;
}

/* The target with the fewest of this gateway's own requests; ties go to the
** first in the key's order. A gateway knows its own requests at once and those
** of others late; if each spreads its own evenly, the sum is even. Choosing the
** least loaded target by the late loads puts 162 of 2,817 requests beyond the
** bound instead of 87. */
static int pick_least_own(const pw_pick *t, int n, uint64_t key, double limit) {
  int best = -1;
  for (int i = 0; i < n; i++) {
    if (!has_room(&t[i], limit))
      continue;
    if (best < 0 || t[i].own < t[best].own ||
        (t[i].own == t[best].own &&
         score(key, t[i].id) > score(key, t[best].id)))
      best = i;
  }
  return best;
}

int pwpick_home(const pw_pick *t, int n, uint64_t key, pw_pick_bound bound) {
  double limit = pwpick_limit(t, n, bound);
  if (is_tight(t, n, bound, limit))
    return pick_least_own(t, n, key, limit);
  int best = first_in_order(t, n, key, has_room, limit);
  if (best < 0 || has_slots_to_spare(&t[best], limit) ||
      rank_of(t, n, key, best) < COPIES)
    return best;
  return first_in_order(t, n, key, has_slots_to_spare, limit);
}

/* Targets that are passed over for one prompt because other gateways may have
** filled them. */
#define EXCLUDED_MAX 8

/* What a target must satisfy to be picked for a prompt. */
typedef struct requirement {
  double limit; /* on its load */
  const pw_pick_times *times;
  double soon_ms;   /* on the time to the first chunk */
  int holders_only; /* it has the prompt cached */
  int needs_spare_slots;
  int excluded[EXCLUDED_MAX];
  int nexcluded;
} requirement;

static int is_in_time(const pw_pick *t, const pw_pick_times *times) {
  return t->first_ms <= times->latest_ms || t->queue_ms <= times->queue_ms;
}

static int is_excluded(const requirement *r, int i) {
  for (int k = 0; k < r->nexcluded; k++)
    if (r->excluded[k] == i)
      return 1;
  return 0;
}

static int satisfies(const pw_pick *row, int i, const requirement *r) {
  const pw_pick *t = &row[i];
  int repeats = t->repeats_prefill && PW_MUTATION != MUT_REPEAT_PREFIX;
  return has_room(t, r->limit) && !repeats && is_in_time(t, r->times) &&
         t->first_ms <= r->soon_ms && (t->is_holder || !r->holders_only) &&
         (!r->needs_spare_slots || has_slots_to_spare(t, r->limit)) &&
         !is_excluded(r, i);
}

/* The first target in the key's order that satisfies the requirement; -1: there
** is none. */
static int first_satisfying(const pw_pick *t, int n, uint64_t key,
                            const requirement *r) {
  uint64_t best_score = 0;
  int best = -1;
  for (int i = 0; i < n; i++) {
    if (!satisfies(t, i, r))
      continue;
    uint64_t s = score(key, t[i].id);
    if (best < 0 || s > best_score) {
      best = i;
      best_score = s;
    }
  }
  return best;
}

static int is_alive(const pw_pick *t, double limit) {
  (void)limit;
  return t->is_alive;
}

/* Whether the home of the key satisfies the requirement; *home is its index. */
static int home_satisfies(const pw_pick *t, int n, uint64_t key,
                          const requirement *r, int *home) {
  *home = first_in_order(t, n, key, is_alive, 0);
  return *home >= 0 && satisfies(t, *home, r);
}

/* The mean time to the first chunk over all targets that satisfy the
** requirement. */
static double mean_first_ms(const pw_pick *t, int n, const requirement *r) {
  double sum = 0;
  int count = 0;
  for (int i = 0; i < n; i++) {
    int counts = satisfies(t, i, r);
    sum += counts ? t[i].first_ms : 0;
    count += counts;
  }
  return count ? sum / count : 0;
}

/* The target that satisfies the requirement, which is narrowed down to the one that
** it was picked by; -1: there is none. */
static int pick_satisfying(const pw_pick *t, int n, uint64_t key,
                           requirement *r) {
  int best;
  r->needs_spare_slots = 0;
  r->holders_only = 0;
  if (r->times->home_first && home_satisfies(t, n, key, r, &best))
    return best;
  r->holders_only = 1;
  best = first_satisfying(t, n, key, r);
  if (best >= 0)
    return best;
  r->holders_only = 0;
  best = first_satisfying(t, n, key, r);
  if (best < 0 || has_slots_to_spare(&t[best], r->limit) ||
      rank_of(t, n, key, best) < COPIES)
    return best;
  r->needs_spare_slots = 1;
  return first_satisfying(t, n, key, r);
}

/* Whether a target has room for the requests that the other gateways have sent
** since their last reports as well. They spread over the targets that satisfy the
** requirement: where these are few, as in a storm of prefill, each of 12 gateways
** would fill the same free slots. Each takes its part of the room by the draw. */
static int has_room_for_unseen(const pw_pick *t, int n, int which,
                               const requirement *r) {
  requirement any = *r;
  any.holders_only = 0;
  int count = 0;
  for (int i = 0; i < n; i++)
    count += satisfies(t, i, &any);
  double unseen = count ? r->times->unseen / count : 0;
  return r->times->draw * unseen < r->limit - t[which].load;
}

/* Targets are compared with the mean and not with the soonest one: few are
** nearly as soon as that, and all gateways would send their requests to these
** few until they learn of each other's. */
int pwpick_in_time(const pw_pick *t, int n, uint64_t key, pw_pick_bound bound,
                   const pw_pick_times *times) {
  requirement r = {
      .limit = pwpick_limit(t, n, bound), .times = times, .soon_ms = INFINITY};
  if (is_tight(t, n, bound, r.limit))
    return pick_least_own(t, n, key, r.limit);
  r.soon_ms = mean_first_ms(t, n, &r) + SLACK_PART * times->soon_ms;
  if (r.soon_ms < times->soon_ms || PW_MUTATION == MUT_NO_MEAN)
    r.soon_ms = times->soon_ms;
  int best = pick_satisfying(t, n, key, &r);
  while (best >= 0 && !has_room_for_unseen(t, n, best, &r)) {
    if (r.nexcluded == EXCLUDED_MAX)
      return -1;
    r.excluded[r.nexcluded++] = best;
    best = pick_satisfying(t, n, key, &r);
  }
  return best;
}

int pwpick_has_room(const pw_pick *t, int n, pw_pick_bound bound) {
  double limit = pwpick_limit(t, n, bound);
  for (int i = 0; i < n; i++)
    if (has_room(&t[i], limit))
      return 1;
  return 0;
}

int pwpick_holder(const pw_pick *t, int n, uint64_t key) {
  return first_in_order(t, n, key, may_have_prompts, 0);
}

double pwpick_wait(const pw_pick *t) {
  double over = t->load + 1 - t->slots;
  return over > 0 && t->slots > 0 ? over / t->slots * t->work_ms : 0;
}

int pwpick_least(const pw_pick *t, int n, double wait_ms, double draw,
                 pw_pick_bound bound) {
  double limit = pwpick_limit(t, n, bound);
  int start = n ? (int)(draw * n) % n : 0;
  double best_cost = 0;
  int best = -1;
  for (int k = 0; k < n; k++) {
    const pw_pick *one = &t[(start + k) % n];
    double wait = pwpick_wait(one);
    if (!one->is_usable || one->load + 1 > limit || wait > wait_ms)
      continue;
    double share = one->slots > 0 ? (one->load + 1) / one->slots : one->load;
    double cost = wait + share * one->work_ms + (one->is_near ? 0 : NEAR_MS);
    if (best < 0 || cost < best_cost) {
      best = (start + k) % n;
      best_cost = cost;
    }
  }
  return best;
}

int pwpick_round_robin(const pw_pick *t, int n, uint64_t turn) {
  for (int k = 0; k < n; k++) {
    int i = (int)((turn + (uint64_t)k) % (uint64_t)n);
    if (t[i].is_usable)
      return i;
  }
  return -1;
}
