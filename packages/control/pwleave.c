/* pwleave.c: targets that say that they leave, and wait for their answer. */
#include "pwleave.h"

#include "pwlog.h"

#include <stdlib.h>

/* Nobody has said by then that it has it, ms: a target turns to another instance after a
** second. */
#define CONFIRM_MS 400

typedef struct waiting {
  pw_api_call *call;
  uint64_t number;
  int64_t since;
  struct waiting *next;
} waiting;

struct pw_leave {
  pw_watch *watch;
  pw_counters *counters;
  waiting *first;
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
    waiting *one = l->first;
    l->first = one->next;
    pwapi_fail(one->call, PW_E_UNHEARD, "", "unknown", NULL);
    free(one);
  }
}

static void acknowledge(pw_api_call *call) {
  pwapi_answer_text(call, "{}", 2);
}

void pwleave_add(pw_leave *l, pw_api_call *call, uint64_t number, int64_t now) {
  if (!number) {
    acknowledge(call);
    return;
  }
  waiting *one = pw_alloc(sizeof *one);
  *one = (waiting){call, number, now, l->first};
  l->first = one;
}

static void give_up(pw_leave *l, pw_api_call *call, int is_member) {
  pwlog(LOG_WARNING, "leave-alone", "target=%s answered=%d", call->beat.id,
        is_member);
  pwcount_add(l->counters, PWC_LEAVES_ALONE, is_member);
  if (is_member)
    acknowledge(call);
  else
    pwapi_fail(call, PW_E_UNHEARD, "", "unknown", NULL);
}

void pwleave_work(pw_leave *l, int is_member, int64_t now) {
  uint64_t held = pwwatch_held(l->watch);
  for (waiting **at = &l->first; *at;) {
    waiting *one = *at;
    int is_held = held >= one->number;
    if (!is_held && now - one->since < CONFIRM_MS) {
      at = &one->next;
      continue;
    }
    *at = one->next;
    if (is_held)
      acknowledge(one->call);
    else
      give_up(l, one->call, is_member);
    free(one);
  }
}
