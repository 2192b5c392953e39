/* pwroute.h: an entry's choice of the target to try next. */
#ifndef PWROUTE_H
#define PWROUTE_H

#include "pwplace.h"

/* Most targets that may refuse one request before it fails. */
#define PWROUTE_TRIED_MAX 16

/* What the entry knows of one target. */
typedef struct pw_route_target {
  uint64_t id;
  int usable; /* may take work */
  /* Its breaker is open, or it is unresponsive: it is used as a last resort. */
  int ejected;
  /* It is ejected only for its slow start: it may still be asked for a cached
  ** prefix. */
  int joining;
  uint32_t availability_zone; /* a number chosen by the caller */
  double load;  /* tokens in progress: last report plus what was sent since */
  double limit; /* load it may have, as far as the entry knows */
} pw_route_target;

/* Targets of one pool. They are looked up one by one, so that the cost of a
** pick does not grow with the pool. */
typedef struct pw_route_pool {
  const pw_place *place;
  const uint64_t *id; /* all members */
  int n;
  void *arg;
  int (*get)(void *arg, uint64_t id, pw_route_target *out); /* 0: gone */
} pw_route_pool;

/* Attempts of one request so far. Begins zeroed but for key, draw,
** availability_zone, cost and returning. */
typedef struct pw_route_walk {
  uint64_t key;
  uint64_t draw; /* random bits, fixed for the request */
  uint32_t availability_zone;
  double cost;
  int returning;    /* the chat has a cached prefix that is worth a hop */
  uint64_t pointer; /* target reported to have the prefix; 0: none */
  int asked_prefix; /* ranks that were asked with need_prefix */
  int prefix_done;  /* no target is asked for the prefix any more */
  uint64_t tried[PWROUTE_TRIED_MAX];
  /* Estimated wait in ms at each of `tried`, less what a prefix cached there is
  ** worth. */
  int64_t wait[PWROUTE_TRIED_MAX];
  int ntried;
  int busy;          /* refusals for load */
  int queued;        /* the pick that may queue has been made */
  int is_sole;       /* the last pick was the only open target, and may queue */
  int sole_is_full;  /* that target had no room in its queue either */
  int avoid_ejected; /* another pool can be tried instead of ejected targets */
} pw_route_walk;

typedef struct pw_route_pick {
  uint64_t id; /* 0: none is left */
  int need_prefix;
  int may_queue; /* ask the agent to queue the request rather than refuse it */
  int is_home;
} pw_route_pick;

/* The next target to try, in this order: the one reported to have the prefix;
** the home and the next rank, asked for the prefix; the home and the next rank,
** if they have room; the least loaded of a few random ones that have room, with
** preference for the own availability zone; any usable one. After a few
** refusals for load the pool is taken to be full, and the one of those that
** refused with the shortest wait is asked to queue the request, the first of
** them on a tie. A target that is the only open one is asked to queue it at
** once. */
pw_route_pick pwroute_next(const pw_route_pool *pool, pw_route_walk *walk);

typedef enum pw_refusal {
  PW_REFUSED_PREFIX_MISS, /* only because it does not have the prefix */
  PW_REFUSED_BUSY,        /* for load */
  PW_REFUSED_OTHER
} pw_refusal;

/* A target refused the request with proof that it did not run. wait_ms:
** estimated wait there, worth_ms: the wait that a prefix cached there is
** worth. */
void pwroute_refused(pw_route_walk *walk, uint64_t id, pw_refusal why,
                     uint32_t wait_ms, uint32_t worth_ms);

/* No budget is left for refusals: the next pick may queue the request. */
void pwroute_assume_full(pw_route_walk *walk);

/* When a refused caller is to retry, in ms: after the wait that the target
** estimated, spread over as long again so that callers do not retry
** together. */
uint32_t pwroute_retry_after(uint32_t wait_ms, uint64_t draw);

#endif
