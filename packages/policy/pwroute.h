/* pwroute.h: an entry's choice of the target to try next. */
#ifndef PWROUTE_H
#define PWROUTE_H

#include "pwplace.h"

/* Most targets one request may be refused by before it gives up. */
#define PWROUTE_TRIED 16

/* What the entry believes of one target. */
typedef struct pw_route_target {
  uint64_t id;
  int usable;  /* may take work */
  int aside;   /* only when nobody else is left: breaker open, or silent */
  int joining; /* aside for nothing but its slow start: a prefix cached there
                    may be asked for all the same */
  uint32_t
      availability_zone; /* availability zone, as a number of the caller's choosing */
  double load;  /* tokens in progress, as last reported plus own since */
  double limit; /* load it may carry, as far as the entry knows */
} pw_route_target;

/* Targets of one pool. Only those looked at are asked for, so that a pick's
** cost does not grow with the pool. */
typedef struct pw_route_pool {
  const pw_place *place;
  const uint64_t *id; /* all members */
  int n;
  void *arg;
  int (*get)(void *arg, uint64_t id, pw_route_target *out); /* 0: gone */
} pw_route_pool;

/* One request's way so far. Starts zeroed but for key, draw, availability_zone, cost,
** returning. */
typedef struct pw_route_walk {
  uint64_t key;
  uint64_t draw; /* random bits, fixed for the request */
  uint32_t availability_zone;
  double cost;
  int returning;    /* a cached prefix is worth a hop */
  uint64_t pointer; /* target said to hold the prefix; 0: none */
  int asked_prefix; /* targets asked with need_prefix */
  int prefix_done;  /* no more asking for a prefix */
  uint64_t tried[PWROUTE_TRIED];
  int64_t wait[PWROUTE_TRIED]; /* ms one would wait there, less the worth of a
                                  prefix cached there */
  int ntried;
  int busy;        /* refusals for load */
  int queued;      /* the pick that may wait in a queue was made */
  int is_at_only;  /* the last pick was that of the only target, and may wait */
  int has_no_room; /* it had no room to wait either */
  int is_choosy; /* there is another pool: none that is set aside in this one */
} pw_route_walk;

typedef struct pw_route_pick {
  uint64_t id; /* 0: nobody is left */
  int need_prefix;
  int may_queue; /* ask the agent to queue it rather than refuse */
  int is_home;
} pw_route_pick;

/* Next target: where the prefix is said to be; the home and the next rank,
** asked for the prefix; the home and the next rank, if they fit; the least
** loaded of a few drawn that fit, the own availability zone first; anyone
** usable. After a few refusals for load the pool is taken to be full: the
** least loaded of those that refused, the home if it did not look worse, is
** asked to queue it; so is one that nobody else could be asked after. */
pw_route_pick pwroute_next(const pw_route_pool *pool, pw_route_walk *walk);

typedef enum pw_refusal {
  PW_REFUSED_MISSED, /* only for want of the prefix */
  PW_REFUSED_BUSY,   /* for load */
  PW_REFUSED_OTHER
} pw_refusal;

/* A target refused with proof. wait_ms: how long one would wait there,
** worth_ms: for how long that pays because of a prefix cached there. */
void pwroute_refused(pw_route_walk *walk, uint64_t id, pw_refusal why,
                     uint32_t wait_ms, uint32_t worth_ms);

/* No more refusals are paid for: the next pick is where it may wait. */
void pwroute_take_for_full(pw_route_walk *walk);

/* Milliseconds after which to come back: the wait told by the target, spread
** over as long again so that callers do not return together. */
uint32_t pwroute_retry_after(uint32_t wait_ms, uint64_t draw);

#endif
