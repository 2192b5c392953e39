/* pwbudget.c: retry budget as a share of successes, and token buckets. */
#include "pwbudget.h"

#define MS 1000.0

void pwretry_init(pw_retry_budget *b, double share, double cap) {
  *b = (pw_retry_budget){share, cap, cap};
}

void pwretry_set_share(pw_retry_budget *b, double share) {
  b->share = share;
}

void pwretry_success(pw_retry_budget *b) {
  b->left += b->share;
  if (b->left > b->cap)
    b->left = b->cap;
}

int pwretry_spend(pw_retry_budget *b) {
  if (b->left < 1)
    return 0;
  b->left -= 1;
  return 1;
}

int pwretry_is_scarce(const pw_retry_budget *b, double draw) {
  double ample = b->cap / 2;
  return b->left < ample && draw * ample >= b->left;
}

void pwbucket_init(pw_bucket *b, double rate, double burst, int64_t now) {
  *b = (pw_bucket){rate, burst, burst, now};
}

void pwbucket_init_empty(pw_bucket *b, double rate, double burst, int64_t now) {
  *b = (pw_bucket){rate, burst, 0, now};
}

static void refill(pw_bucket *b, int64_t now) {
  if (now <= b->at)
    return;
  b->left += b->rate * (double)(now - b->at) / MS;
  if (b->left > b->burst)
    b->left = b->burst;
  b->at = now;
}

void pwbucket_rate(pw_bucket *b, double rate, double burst, int64_t now) {
  refill(b, now);
  if (b->rate <= 0)
    b->left = burst;
  b->rate = rate;
  b->burst = burst;
  if (b->left > burst)
    b->left = burst;
}

int pwbucket_take(pw_bucket *b, double n, int64_t now) {
  if (b->rate <= 0)
    return 1;
  refill(b, now);
  if (b->left < n)
    return 0;
  b->left -= n;
  return 1;
}

void pwbucket_charge(pw_bucket *b, double n, int64_t now) {
  if (b->rate <= 0)
    return;
  refill(b, now);
  b->left -= n;
}

int64_t pwbucket_wait(pw_bucket *b, double n, int64_t now) {
  if (b->rate <= 0)
    return 0;
  refill(b, now);
  if (b->left >= n)
    return 0;
  return (int64_t)((n - b->left) / b->rate * MS) + 1;
}
