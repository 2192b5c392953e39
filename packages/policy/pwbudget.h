/* pwbudget.h: budgets: retries as a share of successes, and token buckets. */
#ifndef PWBUDGET_H
#define PWBUDGET_H

#include <stdint.h>

/* Retries are paid from what successes earned, never a fixed count. */
typedef struct pw_retry_budget {
  double share; /* earned by one success */
  double cap;   /* most it holds */
  double left;
} pw_retry_budget;

void pwretry_init(pw_retry_budget *b, double share, double cap);
void pwretry_success(pw_retry_budget *b);

/* Takes one retry; 0 when there is none left. */
int pwretry_spend(pw_retry_budget *b);

/* Whether what is left is to be spared: never while half of it is left, always when nothing is, between
** them as often as the rest is short. `draw` is uniform in [0, 1). */
int pwretry_is_scarce(const pw_retry_budget *b, double draw);

/* Tokens that come at a rate up to a burst. A rate of 0 means no limit. */
typedef struct pw_bucket {
  double rate; /* a second */
  double burst;
  double left;
  int64_t at; /* ms */
} pw_bucket;

void pwbucket_init(pw_bucket *b, double rate, double burst, int64_t now);

/* Changes the rate without giving a fresh burst. */
void pwbucket_rate(pw_bucket *b, double rate, double burst, int64_t now);

/* Takes n if there are that many; 0 otherwise. */
int pwbucket_take(pw_bucket *b, double n, int64_t now);

/* Takes n, into debt if need be: for costs known afterwards. */
void pwbucket_charge(pw_bucket *b, double n, int64_t now);

/* Milliseconds until n could be taken; 0 when now. */
int64_t pwbucket_wait(pw_bucket *b, double n, int64_t now);

#endif
