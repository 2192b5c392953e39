/* pwroute.c: an entry's choice of the target to try next. */
#include "pwroute.h"

#define PREFIX_ASKS 2 /* ranks asked for a prefix before giving up */
#define QUEUE_AFTER 5 /* refusals for load until the request may queue */
#define DRAWS 4       /* random targets looked at when the ranks are full */
#define DRAWS_GROW 4  /* DRAWS doubles with each refusal, this often at most */
#define RANKS_SPILLED 2     /* ranks tried before random targets */
#define SCAN_MAX 64         /* targets looked at when no random one has room */
#define RETRY_AFTER_MIN 500 /* ms */
#define RETRY_AFTER_MAX 60000

/* Targets in the own availability zone are preferred: their load counts by
** this factor. */
#define NEAR_FACTOR 0.8

static int was_tried(const pw_route_walk *w, uint64_t id) {
  for (int i = 0; i < w->ntried; i++)
    if (w->tried[i] == id)
      return 1;
  return 0;
}

/* Fills in *out if id is a usable target that has not refused yet. */
static int usable_target(const pw_route_pool *pool, const pw_route_walk *w,
                         uint64_t id, pw_route_target *out) {
  if (!id || was_tried(w, id) || !pool->get(pool->arg, id, out))
    return 0;
  return out->usable;
}

/* Like usable_target, without ejected targets. */
static int open_target(const pw_route_pool *pool, const pw_route_walk *w,
                       uint64_t id, pw_route_target *out) {
  return usable_target(pool, w, id, out) && !out->ejected;
}

/* Like usable_target, without ejected targets other than those in their slow
** start after joining. */
static int prefix_target(const pw_route_pool *pool, const pw_route_walk *w,
                         uint64_t id, pw_route_target *out) {
  return usable_target(pool, w, id, out) && (!out->ejected || out->joining);
}

static int fits(const pw_route_target *t, double cost) {
  return t->load + cost <= t->limit;
}

/* The next target to ask for a returning chat's prefix: home and next rank,
** even if they seem full. The agent knows its load better, and a refusal costs
** only a hop. */
static uint64_t prefix_holder(const pw_route_pool *pool, pw_route_walk *w) {
  pw_route_target t;
  if (!w->returning || w->prefix_done)
    return 0;
  if (prefix_target(pool, w, w->pointer, &t))
    return w->pointer;
  while (w->asked_prefix < PREFIX_ASKS) {
    uint64_t id = pwplace_rank(pool->place, w->key, w->asked_prefix++);
    if (prefix_target(pool, w, id, &t))
      return id;
  }
  w->prefix_done = 1;
  return 0;
}

/* The home or the next rank, whichever has room first; 0: neither has. */
static uint64_t ranked(const pw_route_pool *pool, const pw_route_walk *w) {
  for (int rank = 0; rank < RANKS_SPILLED; rank++) {
    pw_route_target t;
    uint64_t id = pwplace_rank(pool->place, w->key, rank);
    if (open_target(pool, w, id, &t) && fits(&t, w->cost))
      return id;
  }
  return 0;
}

/* Load for comparison, with the preference for the own availability zone. */
static double compared_load(const pw_route_target *t, const pw_route_walk *w) {
  return t->availability_zone == w->availability_zone ? t->load * NEAR_FACTOR
                                                      : t->load;
}

/* The least loaded of a few random targets that have room, or 0. */
static uint64_t better_of_few(const pw_route_pool *pool, const pw_route_walk *w,
                              uint64_t draw) {
  pw_route_target best = {0};
  int draws = w->busy < DRAWS_GROW ? DRAWS << w->busy : DRAWS << DRAWS_GROW;
  for (int i = 0; i < draws; i++) {
    pw_route_target t;
    draw = draw * 6364136223846793005ULL + 1442695040888963407ULL;
    uint64_t id = pool->id[(draw >> 33) % (uint64_t)pool->n];
    if (!open_target(pool, w, id, &t) || !fits(&t, w->cost))
      continue;
    if (!best.id || compared_load(&t, w) < compared_load(&best, w))
      best = t;
  }
  return best.id;
}

typedef enum scan_mode { SCAN_FITS, SCAN_OPEN, SCAN_EJECTED } scan_mode;

/* Whether an ejected target may be asked. Where others are merely full, it
** would fail a request that only has to wait shortly, unless it is new: of 600
** requests 520 to 549 are answered if ejected targets are asked, and 593 to 598
** if they are not. */
static int may_ask_ejected(const pw_route_target *t, const pw_route_walk *w) {
  return !w->avoid_ejected && (!w->busy || t->joining);
}

/* The first target from a random position on that has room (SCAN_FITS), that is
** not ejected (SCAN_OPEN), or that may be ejected (SCAN_EJECTED), since no
** answer would be worse. */
static uint64_t scan(const pw_route_pool *pool, const pw_route_walk *w,
                     uint64_t draw, scan_mode mode) {
  for (int i = 0; i < pool->n && i < SCAN_MAX; i++) {
    pw_route_target t;
    uint64_t id = pool->id[(draw + (uint64_t)i) % (uint64_t)pool->n];
    if (!usable_target(pool, w, id, &t))
      continue;
    if (t.ejected && (mode != SCAN_EJECTED || !may_ask_ejected(&t, w)))
      continue;
    if (mode != SCAN_FITS || fits(&t, w->cost))
      return id;
  }
  return 0;
}

/* A target beyond the ranks; 0: none. */
static uint64_t spilled(const pw_route_pool *pool, const pw_route_walk *w) {
  if (!pool->n)
    return 0;
  uint64_t draw = w->draw + (uint64_t)w->ntried * 0x9e3779b97f4a7c15ULL;
  uint64_t id = better_of_few(pool, w, draw);
  for (int mode = SCAN_FITS; !id && mode <= SCAN_EJECTED; mode++)
    id = scan(pool, w, draw, (scan_mode)mode);
  return id;
}

/* The target to queue at: of those that refused, the one with the shortest
** wait, less what a prefix cached there is worth. */
static uint64_t queue_at(const pw_route_pool *pool, const pw_route_walk *w) {
  int64_t least = 0;
  uint64_t best = 0;
  for (int i = 0; i < w->ntried; i++) {
    pw_route_target t;
    if (!pool->get(pool->arg, w->tried[i], &t) || !t.usable)
      continue;
    if (!best || w->wait[i] < least) {
      best = t.id;
      least = w->wait[i];
    }
  }
  return best;
}

/* Whether no other target could be asked after this one. */
static int is_only_open(const pw_route_pool *pool, const pw_route_walk *w,
                        uint64_t id) {
  for (int i = 0; i < pool->n && i < SCAN_MAX; i++) {
    pw_route_target t;
    uint64_t other = pool->id[(w->draw + (uint64_t)i) % (uint64_t)pool->n];
    if (other != id && open_target(pool, w, other, &t))
      return 0;
  }
  return pool->n <= SCAN_MAX;
}

pw_route_pick pwroute_next(const pw_route_pool *pool, pw_route_walk *w) {
  uint64_t home = pwplace_rank(pool->place, w->key, 0);
  pw_route_pick pick = {0};
  if (w->queued || w->ntried >= PWROUTE_TRIED_MAX)
    return pick;
  if (w->busy >= QUEUE_AFTER) {
    w->queued = 1;
    if (w->sole_is_full)
      return pick;
    pick.id = queue_at(pool, w);
    pick.may_queue = 1;
    return pick;
  }
  pick.id = prefix_holder(pool, w);
  pick.need_prefix = pick.id != 0;
  if (!pick.id)
    pick.id = ranked(pool, w);
  if (!pick.id)
    pick.id = spilled(pool, w);
  if (!pick.id && w->busy) {
    w->busy = QUEUE_AFTER;
    return pwroute_next(pool, w);
  }
  /* If the only open target refused, the request would be sent there again to
  ** wait. */
  if (pick.id && !pick.need_prefix && !w->busy)
    pick.may_queue = is_only_open(pool, w, pick.id);
  w->is_sole = pick.may_queue;
  pick.is_home = pick.id && pick.id == home;
  return pick;
}

void pwroute_refused(pw_route_walk *w, uint64_t id, pw_refusal why,
                     uint32_t wait_ms, uint32_t worth_ms) {
  if (w->pointer == id)
    w->pointer = 0;
  if (why == PW_REFUSED_PREFIX_MISS)
    return;
  w->busy += why == PW_REFUSED_BUSY;
  w->sole_is_full |= w->is_sole && why == PW_REFUSED_BUSY;
  if (was_tried(w, id) || w->ntried == PWROUTE_TRIED_MAX)
    return;
  w->wait[w->ntried] = (int64_t)wait_ms - worth_ms;
  w->tried[w->ntried++] = id;
}

void pwroute_assume_full(pw_route_walk *w) {
  w->busy = QUEUE_AFTER;
}

uint32_t pwroute_retry_after(uint32_t wait_ms, uint64_t draw) {
  uint64_t base = wait_ms < RETRY_AFTER_MIN ? RETRY_AFTER_MIN : wait_ms;
  uint64_t ms = base + draw % (base + 1);
  return (uint32_t)(ms > RETRY_AFTER_MAX ? RETRY_AFTER_MAX : ms);
}
