/* pwleave.c: acknowledges targets that report that they leave. */
#include "pwleave.h"

#include "pwlog.h"

#include <stdlib.h>

/* Time for a confirmation, ms. A target without an answer turns to another
** instance after a second. */
#define CONFIRM_MS 400

typedef struct waiter {
  pw_api_call *call;
  uint64_t seq; /* number of the update that must be confirmed */
  int64_t since;
  struct waiter *next;
} waiter;

struct pw_leave {
  pw_watch *watch;
  pw_counters *counters;
  waiter *first;
};

pw_leave *pwleave_new(pw_watch *w, pw_counters *counters) {
  pw_leave *l = pw_alloc(sizeof *l);
  l->watch = w;
  l->counters = counters;
  return l;
}

void pwleave_free(pw_leave *l) {
  if (!l)
    return;
  pwleave_end(l);
  free(l);
}

void pwleave_end(pw_leave *l) {
  while (l->first) {
    waiter *one = l->first;
    l->first = one->next;
    pwapi_fail(one->call, PW_E_ISOLATED, "", "unknown", NULL);
    free(one);
  }
}

static void acknowledge(pw_api_call *call) {
  pwapi_answer_text(call, "{}", 2);
}

void pwleave_add(pw_leave *l, pw_api_call *call, uint64_t seq, int64_t now) {
  if (!seq) {
    acknowledge(call);
    return;
  }
  waiter *one = pw_alloc(sizeof *one);
  *one = (waiter){call, seq, now, l->first};
  l->first = one;
}

static void give_up(pw_leave *l, pw_api_call *call, int is_member) {
  pwlog(LOG_WARNING, "leave-alone", "target=%s answered=%d", call->beat.id,
        is_member);
  pwcount_add(l->counters, PWC_LEAVES_ALONE, is_member);
  if (is_member)
    acknowledge(call);
  else
    pwapi_fail(call, PW_E_ISOLATED, "", "unknown", NULL);
}

void pwleave_answer(pw_leave *l) {
  uint64_t confirmed = pwwatch_replicated_seq(l->watch);
  for (waiter **at = &l->first; *at;) {
    waiter *one = *at;
    if (confirmed < one->seq) {
      at = &one->next;
      continue;
    }
    *at = one->next;
    acknowledge(one->call);
    free(one);
  }
}

void pwleave_expire(pw_leave *l, int is_member, int64_t now) {
  for (waiter **at = &l->first; *at;) {
    waiter *one = *at;
    if (now - one->since < CONFIRM_MS) {
      at = &one->next;
      continue;
    }
    *at = one->next;
    give_up(l, one->call, is_member);
    free(one);
  }
}

void pwleave_discount_stall(pw_leave *l, int64_t ms) {
  for (waiter *one = l->first; one; one = one->next)
    one->since += ms;
}
