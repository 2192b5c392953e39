/* pwgatewaycount.c: the number of gateways by which a limit for all of them is divided. */
#include "pwgatewaycount.h"

#ifndef PW_MUTATION
#define PW_MUTATION 0
#endif

enum {
  MUT_COUNT_AT_ONCE = 64,  /* the first number counts at once */
  MUT_FEWER_AT_ONCE = 65,  /* so does a smaller one */
  MUT_COUNT_CUT_OFF = 66,  /* a number counts however long control is silent */
  MUT_COUNT_AFTER_CUT = 67 /* and at once after that */
};

void pwgatewaycount_init(pw_gateway_count *c, int64_t window_ms) {
  *c = (pw_gateway_count){.window_ms = window_ms};
}

static int is_silent(const pw_gateway_count *c, int64_t now) {
  return now - c->heard_at > c->window_ms && PW_MUTATION != MUT_COUNT_CUT_OFF;
}

/* Begins a new span if the current one is over. */
static void advance(pw_gateway_count *c, int64_t now) {
  int64_t elapsed = now - c->span_at;
  if (elapsed < c->window_ms)
    return;
  c->before_most = elapsed < 2 * c->window_ms ? c->now_most : c->told;
  c->now_most = c->told;
  c->span_at = now;
}

void pwgatewaycount_heard(pw_gateway_count *c, int64_t now) {
  int is_new =
      !c->told || (is_silent(c, now) && PW_MUTATION != MUT_COUNT_AFTER_CUT);
  if (is_new)
    c->since = now;
  c->heard_at = now;
}

void pwgatewaycount_told(pw_gateway_count *c, int n, int64_t now) {
  pwgatewaycount_heard(c, now);
  advance(c, now);
  c->told = n;
  if (n > c->now_most)
    c->now_most = n;
}

int64_t pwgatewaycount_known_since(pw_gateway_count *c, int64_t now) {
  int64_t known_at = c->since + c->window_ms;
  if (PW_MUTATION == MUT_COUNT_AT_ONCE)
    known_at = c->since;
  return c->told && !is_silent(c, now) && now >= known_at ? known_at : 0;
}

int pwgatewaycount_get(pw_gateway_count *c, int64_t now) {
  if (!pwgatewaycount_known_since(c, now))
    return 0;
  advance(c, now);
  if (PW_MUTATION == MUT_FEWER_AT_ONCE)
    return c->told;
  return c->now_most > c->before_most ? c->now_most : c->before_most;
}
