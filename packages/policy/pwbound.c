/* pwbound.c: the load of a target and the upper bound on it. */
#include "pwbound.h"

#define MS 1000.0

void pwload_init(pw_load *l, double rate, int64_t now) {
  *l = (pw_load){.rate = rate, .at = now};
}

double pwload_now(pw_load *l, int64_t now) {
  if (now > l->at) {
    l->counted -= l->rate * (double)(now - l->at) / MS;
    l->at = now;
  }
  if (l->counted < l->actual)
    l->counted = l->actual;
  return l->counted;
}

void pwload_add(pw_load *l, double tokens, int64_t now) {
  double counted = pwload_now(l, now);
  l->actual += tokens;
  if (l->actual < 0)
    l->actual = 0;
  if (tokens > 0)
    l->counted = counted + tokens;
  if (l->counted < l->actual)
    l->counted = l->actual;
}

double pwreport_low(const pw_report *r, int64_t now) {
  int64_t age = now - r->at - PWBOUND_GRACE_MS;
  double fallen = age > 0 ? r->rate * (double)age / MS : 0;
  return r->tokens > fallen ? r->tokens - fallen : 0;
}

void pwpool_add(pw_pool_sum *sum, const pw_report *r) {
  double low = pwreport_low(r, sum->at);
  int64_t age = sum->at - r->at;
  if (low <= 0)
    return;
  sum->tokens += low;
  sum->rate += r->rate;
  if (age > PWBOUND_GRACE_MS)
    age = PWBOUND_GRACE_MS;
  if (age > sum->age)
    sum->age = age;
}

double pwpool_mean(const pw_pool_sum *sum, int64_t now) {
  if (sum->targets <= 0)
    return 0;
  pw_report as_one = {sum->tokens, sum->rate, sum->at - sum->age};
  return pwreport_low(&as_one, now) / sum->targets;
}

double pwbound_limit(const pw_pool_sum *sum, const pw_bound *b, int64_t now) {
  double most = 1 + (b->bound - 1) * b->margin;
  double limit = most * pwpool_mean(sum, now);
  return limit > b->floor ? limit : b->floor;
}

int pwbound_fits(double own, double cost, const pw_pool_sum *sum,
                 const pw_bound *b, int64_t now) {
  return own + cost <= pwbound_limit(sum, b, now);
}

int pwbound_admits(double own, double cost, const pw_pool_sum *sum,
                   const pw_bound *b, int64_t now) {
  return own <= pwpool_mean(sum, now) || pwbound_fits(own, cost, sum, b, now);
}
