/* pwpick.h: which target a gateway sends a request to.
**
** Pure: what is known of each target goes in, an index comes out. */
#ifndef PWPICK_H
#define PWPICK_H

#include <stdint.h>

/* One target as the gateway sees it now. */
typedef struct pw_pick {
  uint64_t id;    /* hash of its name */
  double load;    /* requests there now, of all gateways */
  double own;     /* of these, this gateway's own */
  double slots;   /* requests that it works on at once */
  double work_ms; /* measured time of one request there; 0: not known */
  int is_usable;  /* may be sent to now */
  int counts;   /* its load is part of the mean of those that may be sent to */
  int is_near;  /* in the gateway's own availability zone */
  int is_alive; /* it answers, though it may be leaving or full */
  int is_new;   /* it joined so lately that others may hold what it is to */
} pw_pick;

/* How far a target may be loaded beyond the mean of its service. */
typedef struct pw_pick_bound {
  double times; /* of the mean load of those that may be sent to */
  double extra; /* requests more than that */
  double
      all_times; /* and of the mean of all that are alive: the rest may have nothing to do,
                    ** as in an availability zone that is evacuated; 0: no such bound */
  double all_extra;
} pw_pick_bound;

/* How a target is picked. All but PWPICK_BY_HOME are naive and kept to be
** measured against. */
typedef enum pw_pick_how {
  PWPICK_BY_HOME, /* a prompt's home within the bound; else the shortest wait */
  PWPICK_BY_LOAD, /* the shortest wait, whatever the prompt */
  PWPICK_BY_TURN, /* one after the other */
  PWPICK_BY_HASH  /* a prompt's home, however loaded */
} pw_pick_how;

/* The load up to which one more request may be sent to a target. */
double pwpick_limit(const pw_pick *t, int n, pw_pick_bound bound);

/* How many requests more than a part of the mean a target may have, where the others send it so
** many a second that are told of `age_ms` later: what is not seen yet is kept free, twice. */
double pwpick_extra(double a_second, double age_ms);

/* By rendezvous hashing of `key`: the first in the key's order that is under
** the bound and has a free slot; -1 when there is none. Past the first few in that
** order only those with slots to spare count, so that a prompt comes to lie in few
** places, and in more where one after the other is full. */
int pwpick_home(const pw_pick *t, int n, uint64_t key, pw_pick_bound bound);

/* The target that most likely holds what requests of `key` share: the first in
** the key's order that is alive and not new; -1: none. */
int pwpick_holder(const pw_pick *t, int n, uint64_t key);

/* The one with the shortest expected wait; among equals one in the same
** availability zone, then by `draw`, uniform in [0, 1). -1 when there is none
** or the shortest wait would be longer than `wait_ms`. */
int pwpick_least(const pw_pick *t, int n, double wait_ms, double draw,
                 pw_pick_bound bound);

/* One after the other: the `turn`th of those that may be sent to; -1: none. */
int pwpick_turn(const pw_pick *t, int n, uint64_t turn);

/* Expected wait in ms for a slot at a target. */
double pwpick_wait(const pw_pick *t);

#endif
