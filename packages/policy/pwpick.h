/* pwpick.h: a gateway's choice of the target for a request.
**
** Pure functions: they take what is known of each target and return an
** index. */
#ifndef PWPICK_H
#define PWPICK_H

#include <stdint.h>

/* One target as the gateway sees it now. */
typedef struct pw_pick {
  uint64_t id;    /* hash of its name */
  double load;    /* requests in flight there, from all gateways */
  double own;     /* those of them that this gateway sent */
  double slots;   /* requests that it processes at the same time */
  double work_ms; /* measured time of one request there; 0: unknown */
  int is_usable;  /* it may be sent requests now */
  int counts;   /* its load is part of the mean, though it may not be usable */
  int is_near;  /* it is in the gateway's own availability zone */
  int is_alive; /* it answers, though it may be leaving or full */
  double first_ms; /* expected time to the first chunk there; 0: unknown */
  double
      queue_ms;  /* the part of it before the target begins with the request */
  int is_holder; /* it has all that the prompt shares with others cached */
  int repeats_prefill; /* it would compute a prefix that another target has
                          cached, because copying that takes longer */
  int is_new; /* it joined recently: the prompts of its keys may still be cached
                 at other targets */
} pw_pick;

/* How far a target may be loaded above the mean of its service. */
typedef struct pw_pick_bound {
  double times; /* factor on the mean load of the usable targets */
  double extra; /* requests allowed in addition */
  /* The same for the mean over all targets that are alive; 0: no such bound.
  ** Many of those may have nothing to do, as in an availability zone that is
  ** being evacuated. */
  double alive_times;
  double alive_extra;
} pw_pick_bound;

/* Selection policies. All but PWPICK_BY_PREFILL serve as baselines in
** comparisons. */
typedef enum pw_pick_policy {
  PWPICK_BY_PREFILL, /* by the time to the first chunk, or else by load */
  PWPICK_BY_HOME,    /* the prompt's home within the bound, or else by load */
  PWPICK_BY_LOAD,    /* the shortest expected wait */
  PWPICK_BY_ROUND_ROBIN, /* the usable targets in turn */
  PWPICK_BY_HASH         /* the prompt's home, however loaded it is */
} pw_pick_policy;

/* The load that a target may reach with one more request. */
double pwpick_limit(const pw_pick *t, int n, pw_pick_bound bound);

/* How many requests above its multiple of the mean a target may have. The
** other gateways send it `rate` requests a second, which become visible here
** `age_ms` later; twice the number of requests not visible yet is kept free. */
double pwpick_extra(double rate, double age_ms);

/* Rendezvous hashing of `key`: the first target in the key's order that is
** within the bound and has a free slot; -1: none. After the first few in that
** order only targets with slots to spare qualify, so that a prompt is cached at
** few targets, and at more of them as these fill up. */
int pwpick_home(const pw_pick *t, int n, uint64_t key, pw_pick_bound bound);

/* By when a request's first chunk is to come. */
typedef struct pw_pick_times {
  double soon_ms;   /* within this time one target is as good as another */
  double latest_ms; /* a target that needs longer is not picked, ... */
  double queue_ms;  /* ... unless the request waits no longer than this there: a
                       long prompt may need longer even at an idle target */
  int home_first;   /* the prompt's home is picked if it is soon enough, though
                       another target has the prompt cached and the home has
                       not */
  double unseen;    /* requests that the other gateways have sent to all targets
                       since their last reports */
  double draw;      /* uniform in [0, 1) */
} pw_pick_times;

/* The target for a prompt by the time to its first chunk: the home, if that goes
** first and is soon enough, or else the first in the order of `key` that is soon
** enough and has the prompt cached, or else the first that is soon enough. Soon
** enough is what is within soon_ms, or little later than the mean. -1:
** none is within `times`. Targets over the bound or without a free slot do not
** qualify. */
int pwpick_in_time(const pw_pick *t, int n, uint64_t key, pw_pick_bound bound,
                   const pw_pick_times *times);

/* Whether a target is within the bound and has a free slot. */
int pwpick_has_room(const pw_pick *t, int n, pw_pick_bound bound);

/* The target that most likely has the shared prefix of `key` cached: the first
** in the key's order that is alive and not new; -1: none. */
int pwpick_holder(const pw_pick *t, int n, uint64_t key);

/* The target with the shortest expected wait. Ties go to a target in the same
** availability zone, then by `draw`, uniform in [0, 1). -1: there is no target,
** or the shortest wait exceeds `wait_ms`. */
int pwpick_least(const pw_pick *t, int n, double wait_ms, double draw,
                 pw_pick_bound bound);

/* Round robin: the first usable target from position `turn` on; -1: none. */
int pwpick_round_robin(const pw_pick *t, int n, uint64_t turn);

/* Expected wait in ms for a slot at a target. */
double pwpick_wait(const pw_pick *t);

#endif
