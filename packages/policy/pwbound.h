/* pwbound.h: what a target's load is, and the bound on it.
**
** Load is tokens in progress over all requests started and not ended: output
** tokens still allowed, plus prompt tokens still to compute at the weight
** PWBOUND_PROMPT_WEIGHT, since an engine computes many prompt tokens in the
** time of one output token. The counted load falls no faster than `rate`
** tokens a second. A report is taken at its word for PWBOUND_GRACE_MS; past
** that it counts down at its rate. So a start never goes past bound * (mean
** + rate * grace), however late reports come and however many routers
** disagree. With no grace the bound would hold to the letter, but a pool
** below rate * age * bound / (bound - 1) could not fill up at all: that was
** measured, see docs/design/bound.md. */
#ifndef PWBOUND_H
#define PWBOUND_H

#include <stdint.h>

/* Default settings of the bound; `policy` resources change them. */
#define PWBOUND_BOUND 1.25
#define PWBOUND_FLOOR 4096.0
#define PWBOUND_PROMPT_WEIGHT 0.2
#define PWBOUND_GRACE_MS 1000
#define PWBOUND_MARGIN 0.6

/* The bound as it is set. */
typedef struct pw_bound {
  double bound;  /* times the mean that no target may carry more than */
  double margin; /* part of the way from the mean to it that starts may use */
  double floor;  /* tokens: near-idle pools are ruled by this instead */
} pw_bound;

#define PWBOUND_DEFAULT                                                        \
  ((pw_bound){PWBOUND_BOUND, PWBOUND_MARGIN, PWBOUND_FLOOR})

typedef struct pw_load {
  double actual;  /* tokens in progress */
  double counted; /* >= actual; falls no faster than rate */
  double rate;    /* tokens a second */
  int64_t at;     /* ms when counted was worked out */
} pw_load;

void pwload_init(pw_load *l, double rate, int64_t now);

/* Adds (or takes, when negative) tokens in progress. */
void pwload_add(pw_load *l, double tokens, int64_t now);

/* The counted load now. */
double pwload_now(pw_load *l, int64_t now);

/* A report of one target's load, as it arrived. `at` is the receiver's time
** at or before the load was read, so its age is never underrated. */
typedef struct pw_report {
  double tokens;
  double rate;
  int64_t at;
} pw_report;

/* The least the reported load can be now. */
double pwreport_low(const pw_report *r, int64_t now);

/* Sum over a pool. */
typedef struct pw_pool_sum {
  double tokens; /* lower bound at `at` */
  double rate;   /* most tokens a second the sum can fall */
  int targets;   /* all that may take work, also those that report nothing */
  int64_t at;
  int64_t age; /* ms of the grace that its oldest report has used up */
} pw_pool_sum;

/* Adds a report's lower bound at sum->at. */
void pwpool_add(pw_pool_sum *sum, const pw_report *r);

/* The least the mean can be now; 0 when the pool is empty. */
double pwpool_mean(const pw_pool_sum *sum, int64_t now);

/* The load a target may start up to: the part b->margin of the way from the
** mean to b->bound times the mean, and b->floor at least. The rest of the
** way is for the mean to fall while requests go on. */
double pwbound_limit(const pw_pool_sum *sum, const pw_bound *b, int64_t now);

/* Whether a target that carries `own` stays within the limit with a request of
** `cost` more. */
int pwbound_fits(double own, double cost, const pw_pool_sum *sum,
                 const pw_bound *b, int64_t now);

/* The same for a request that found no target with room: one that carries no
** more than the mean may start it, too. That keeps a pool alive whose requests
** are large against its mean: somebody always carries no more than the mean. It
** goes past the bound by less than one request. */
int pwbound_admits(double own, double cost, const pw_pool_sum *sum,
                   const pw_bound *b, int64_t now);

#endif
