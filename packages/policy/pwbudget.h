/* pwbudget.h: retry budget as a share of successes, and token buckets. */
#ifndef PWBUDGET_H
#define PWBUDGET_H

#include <stdint.h>

/* Successes earn the retries; there is no fixed number of them. */
typedef struct pw_retry_budget {
  double share; /* earned by one success */
  double cap;   /* most retries saved up */
  double left;  /* retries left now */
} pw_retry_budget;

void pwretry_init(pw_retry_budget *b, double share, double cap);

/* Changes the share; the retries left stay. */
void pwretry_set_share(pw_retry_budget *b, double share);

void pwretry_success(pw_retry_budget *b);

/* Takes one retry; 0: none is left. */
int pwretry_spend(pw_retry_budget *b);

/* Whether to save the rest of the budget: never while half of it is left,
** always when it is used up; in between the probability grows as the rest
** shrinks. `draw` is uniform in [0, 1). */
int pwretry_is_scarce(const pw_retry_budget *b, double draw);

/* Token bucket: filled at a rate, up to a burst. A rate of 0 means no limit. */
typedef struct pw_bucket {
  double rate; /* tokens a second */
  double burst;
  double left;
  int64_t at; /* ms */
} pw_bucket;

void pwbucket_init(pw_bucket *b, double rate, double burst, int64_t now);

/* The same, with a bucket that is empty at `now`. */
void pwbucket_init_empty(pw_bucket *b, double rate, double burst, int64_t now);

/* Changes the rate and burst without refilling the bucket. */
void pwbucket_rate(pw_bucket *b, double rate, double burst, int64_t now);

/* Takes n tokens; 0: there are not that many. */
int pwbucket_take(pw_bucket *b, double n, int64_t now);

/* Takes n tokens, into debt if necessary: for costs known only afterwards. */
void pwbucket_charge(pw_bucket *b, double n, int64_t now);

/* Milliseconds until n tokens can be taken; 0: now. */
int64_t pwbucket_wait(pw_bucket *b, double n, int64_t now);

#endif
