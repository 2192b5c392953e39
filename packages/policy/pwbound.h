/* pwbound.h: the load of a target and the upper bound on it.
**
** Load is the tokens in progress over all requests started and not ended:
** output tokens still allowed, plus prompt tokens still to compute at the
** weight PWBOUND_PROMPT_WEIGHT, since an engine computes many prompt tokens in
** the time of one output token. The counted load falls no faster than `rate`
** tokens a second. A reported load is used unchanged for PWBOUND_GRACE_MS;
** after that it falls at its rate. So no start exceeds bound * (mean + rate *
** grace), however late reports arrive and however much routers disagree.
** Without the grace the bound would hold exactly, but a pool below rate * age
** * bound / (bound - 1) could not fill up at all (see
** docs/design/bound.md). */
#ifndef PWBOUND_H
#define PWBOUND_H

#include <stdint.h>

/* Default settings of the bound, which `policy` resources override. */
#define PWBOUND_BOUND 1.25
#define PWBOUND_FLOOR 4096.0      /* tokens */
#define PWBOUND_PROMPT_WEIGHT 0.2 /* of a prompt token, in output tokens */
#define PWBOUND_GRACE_MS 1000
#define PWBOUND_MARGIN 0.6

/* Settings of the bound. */
typedef struct pw_bound {
  double bound;  /* most load of a target, as a multiple of the mean */
  double margin; /* part of the way from the mean to it that starts may use */
  double floor;  /* least limit in tokens, for pools that are nearly idle */
} pw_bound;

#define PWBOUND_DEFAULT                                                        \
  ((pw_bound){PWBOUND_BOUND, PWBOUND_MARGIN, PWBOUND_FLOOR})

typedef struct pw_load {
  double actual;  /* tokens in progress */
  double counted; /* at least `actual`; falls no faster than `rate` */
  double rate;    /* tokens a second */
  int64_t at;     /* time up to which `counted` has fallen, ms */
} pw_load;

void pwload_init(pw_load *l, double rate, int64_t now);

/* Adds tokens in progress; a negative number removes them. */
void pwload_add(pw_load *l, double tokens, int64_t now);

/* The counted load now. */
double pwload_now(pw_load *l, int64_t now);

/* A report of one target's load. `at` is a time of the receiver's clock at or
** before the load was read, so its age is never underestimated. */
typedef struct pw_report {
  double tokens;
  double rate;
  int64_t at;
} pw_report;

/* The least the reported load can be now. */
double pwreport_low(const pw_report *r, int64_t now);

/* Load summed over a pool. */
typedef struct pw_pool_sum {
  double tokens; /* lower bound of the load at `at` */
  double rate;   /* most tokens a second by which the load can fall */
  int targets;   /* all that may take work, with or without a report */
  int64_t at;
  int64_t age; /* ms of the grace used up by its oldest report */
} pw_pool_sum;

/* Adds the lower bound of a report at sum->at. */
void pwpool_add(pw_pool_sum *sum, const pw_report *r);

/* The least the mean can be now; 0 when the pool is empty. */
double pwpool_mean(const pw_pool_sum *sum, int64_t now);

/* The load up to which a target may start requests: the part b->margin of the
** way from the mean to b->bound times the mean, and at least b->floor. The
** rest of the way allows for the mean to fall while requests run. */
double pwbound_limit(const pw_pool_sum *sum, const pw_bound *b, int64_t now);

/* Whether a target with load `own` stays within the limit with a request of
** `cost` tokens added. */
int pwbound_fits(double own, double cost, const pw_pool_sum *sum,
                 const pw_bound *b, int64_t now);

/* The same for a request that found no target with room: a target at or below
** the mean may start it as well. So a pool whose requests are large compared
** with its mean still makes progress, as one target is always at or below the
** mean. The bound is exceeded by less than one request. */
int pwbound_admits(double own, double cost, const pw_pool_sum *sum,
                   const pw_bound *b, int64_t now);

#endif
