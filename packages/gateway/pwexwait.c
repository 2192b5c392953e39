/* pwexwait.c: requests that wait here for a place at a target. */
#include "pwexint.h"

#include <stdio.h>

/* Places given in one turn of the loop: the rest is for the next. */
#define GIVE_MAX 64

/* So many that wait are looked at for a place, the first in order. */
#define LOOK_MAX 4

int pwexi_may_wait(const pw_exchange *x) {
  return !x->has_begun && !x->may_have_run && x->ntried == 0;
}

static void refuse_full(pw_exchange *x, const pw_waiting_answer *a) {
  char why[120];
  snprintf(why, sizeof why,
           "all places are taken: urgency %d, %.0f ahead, %.0f places a second",
           x->urgency, a->ahead, x->kept->waiting.rate);
  pwcount_add(x->g->p->counters, PWC_GW_FULL, 1);
  x->client->close_next = 1; /* its caller comes back over a new connection */
  pwexi_refuse(x, PW_E_BUSY, why,
               pwwaiting_retry(a, pwexi_time_left(x), pwgate_draw(x->g)));
}

void pwexi_wait(pw_exchange *x) {
  pw_gate *g = x->g;
  int64_t now = pwclock_ms();
  pw_waiting_ask ask = {.workspace = x->workspace ? x->workspace->name : "",
                        .urgency = x->urgency,
                        .is_last = x->is_last,
                        .goal_ms = x->route->goal_ms,
                        .time_left_ms = pwexi_time_left(x),
                        .job = x};
  pw_waiting_answer a = pwwaiting_ask(&x->kept->waiting, &ask, now);
  if (a.pushed_out) {
    pw_exchange *other = a.pushed_out;
    other->is_waiting = 0;
    g->nwaiting--;
    refuse_full(other, &a);
  }
  if (!a.may_wait) {
    refuse_full(x, &a);
    return;
  }
  x->is_waiting = 1;
  x->waits_since = now;
  g->nwaiting++;
  pwgate_timer(g, &x->timer, a.patience_ms);
}

void pwexi_wait_no_more(pw_exchange *x) {
  if (!x->is_waiting)
    return;
  x->is_waiting = 0;
  x->g->nwaiting--;
  pwwaiting_left(&x->kept->waiting, x);
}

void pwexi_waited_long(pw_exchange *x) {
  pw_waiting_answer a = {.wait_ms = (double)(pwclock_ms() - x->waits_since)};
  pwexi_wait_no_more(x);
  refuse_full(x, &a);
}

/* The first that finds a place goes to its target; 0: nobody does. */
static int give_place(pw_gate *g, pw_gate_service *s) {
  pw_exchange *x;
  int in_turn;
  pwwaiting_rewind(&s->waiting);
  for (int n = 0; n < LOOK_MAX && (x = pwwaiting_next(&s->waiting, &in_turn));
       n++) {
    x->is_in_turn = in_turn;
    if (!pwexi_place_waiting(x))
      continue;
    pwwaiting_took(&s->waiting, x);
    x->is_waiting = 0;
    g->nwaiting--;
    pwgate_timer(g, &x->timer, pwexi_time_left(x));
    return 1;
  }
  return 0;
}

void pwexchange_give_places(pw_gate *g, int all) {
  if (!g->nwaiting)
    return;
  for (pw_gate_service *s = g->services; s; s = s->next) {
    int given = 0;
    if (!all && !s->is_freed)
      continue;
    while (given < GIVE_MAX && give_place(g, s))
      given++;
    s->is_freed = given == GIVE_MAX;
  }
}
