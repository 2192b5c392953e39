/* pwexfail.c: what becomes of a request after a failure: it goes on elsewhere where
** it may and can, else it ends at once. */
#include "pwexint.h"

#include <stdio.h>

/* A refusal by proof goes on elsewhere; so often at most. */
#define HOPS_MAX 4

/* A connection that could not be made is tried elsewhere, so often. */
#define CONNECTS_MAX 6

/* Sent at least so long ago, ms: less is usual for a request that waits. */
#define STALL_MS 600

/* And so many times as long as is usual. */
#define USUAL_TIMES 2

void pwexi_note_ended(pw_exchange *x, int64_t now) {
  pw_gate *g = x->g;
  pw_quar_news news =
      pwquar_ended(g->quarantine, x->sign, x->t->start_hash, now);
  pwexi_note(x, PWTRACE_FAIL, "ended-under",
             "target=%s sign=%016llx began=%d ends=%d", x->t->id,
             (unsigned long long)x->sign, x->has_begun,
             pwquar_ends(g->quarantine, x->sign));
  pwgate_note_suspect(g, x->sign, news, "seen");
}

void pwexi_note_dark(pw_exchange *x, int64_t now) {
  if (x->t->is_silent || x->t->is_gone) { /* control has missed it, too */
    pwexi_note_ended(x, now);
    return;
  }
  pwdark_note(&x->g->dark, x->sign, x->t->start_hash, now);
  pwexi_note(x, PWTRACE_FAIL, "dark-under", "target=%s sign=%016llx", x->t->id,
             (unsigned long long)x->sign);
}

void pwexi_note_answered(pw_exchange *x, int64_t now) {
  pw_quar_news news = pwquar_answered(x->g->quarantine, x->sign, now);
  if (news != PWQUAR_OLD)
    pwgate_note_suspect(x->g, x->sign, news, "seen");
}

int pwexi_end_quarantined(pw_exchange *x, int64_t now) {
  pw_gate *g = x->g;
  int64_t left = pwquar_left(g->quarantine, x->sign, now);
  if (left == 0)
    return 0;
  char why[80];
  snprintf(why, sizeof why, "%d targets ended under it; sign=%016llx",
           pwquar_ends(g->quarantine, x->sign), (unsigned long long)x->sign);
  pwcount_add(g->p->counters, PWC_QUARANTINE_REFUSED, 1);
  pwexi_give_up(x, PW_E_QUARANTINED, why, left);
  return 1;
}

static int spend_retry(pw_exchange *x, int64_t now) {
  pw_retries *b = &x->kept->retries;
  if (pwretries_spend(b, pwlink_gateways(x->g->link), now)) {
    pwcount_add(x->g->p->counters, PWC_RETRIES, 1);
    return 1;
  }
  pwcount_add(x->g->p->counters, PWC_RETRY_DENIED, 1);
  return 0;
}

void pwexi_retry(pw_exchange *x, const char *why, int may_have_run) {
  pwexi_note(x, PWTRACE_FAIL, x->has_begun ? "resumed" : "retried",
             "target=%s why=\"%s\" ran=%d last=%.*s", x->t ? x->t->id : "-",
             why, may_have_run, (int)x->nlast_event, x->last_event);
  pwexi_let_go(x);
  pwexi_place(x);
}

/* Whether a request that may have run may go to another target. */
int pwexi_may_repeat(pw_exchange *x, int64_t now) {
  return x->route->kind == PWSITE_SAFE && x->runs < x->route->attempts &&
         spend_retry(x, now);
}

/* A failure that proves nothing. */
void pwexi_unknown(pw_exchange *x, const char *why) {
  int64_t now = pwclock_ms();
  if (pwexi_may_repeat(x, now))
    pwexi_retry(x, why, 1);
  else
    pwexi_give_up(x, PW_E_UNKNOWN, why, 0);
}

/* Whether the target that turned it away had room, by its own word or by what is known here. */
static int had_room(const pw_exchange *x) {
  const pw_told *told = &x->told;
  if (told->has_load)
    return pwreject_had_room(told->running + told->waiting, told->slots);
  return pwreject_had_room(x->t->inflight - 1 + x->t->others, x->t->slots);
}

static void note_turned_away(pw_exchange *x, int64_t now) {
  int room = had_room(x);
  pwexi_note(
      x, PWTRACE_FAIL, "turned-away",
      "target=%s status=%d hold_off_ms=%lld leaving=%d load=%d+%d room=%d",
      x->t->id, x->status, (long long)x->told.hold_off_ms, x->told.is_leaving,
      x->t->inflight, x->t->others, room);
  if (x->status == HTTP_STATUS_MISDIRECTED_REQUEST)
    pwfleet_forget(x->t, now);
  else
    pwfleet_rejected(x->t, room, now);
}

/* The target proved that it did not run it. */
void pwexi_not_run(pw_exchange *x) {
  int64_t now = pwclock_ms();
  note_turned_away(x, now);
  x->runs--;
  x->may_have_run = x->runs > 0;
  pwbuf_free(&x->lines);
  pwbuf_free(&x->held);
  if (x->hops++ < HOPS_MAX && pwexi_time_left(x) > 0 && spend_retry(x, now))
    pwexi_retry(x, "not run there", 0);
  else
    pwexi_give_up(x, PW_E_BUSY, "the target refused it",
                  PWEX_RETRY_NO_TARGET_MS);
}

/* Nothing left this gateway: another target may have it, unless as many as the
** route allows may have run it before. */
static void unreached(pw_exchange *x, int64_t now) {
  pwfleet_unreached(x->t, now);
  if (x->runs < x->route->attempts && x->connects++ < CONNECTS_MAX)
    pwexi_retry(x, "no connection", 0);
  else
    pwexi_give_up(x, PW_E_CONNECT, "no target could be reached",
                  PWEX_RETRY_NO_TARGET_MS);
}

void pwexchange_failed(pw_exchange *x, pw_tcp_end how, int unused) {
  int64_t now = pwclock_ms();
  x->u = NULL;
  if (!x->is_sent) {
    unreached(x, now);
    return;
  }
  pwexi_note_ended(x, now);
  if (pwexi_end_quarantined(x, now))
    return;
  if (!unused)
    pwfleet_failed(x->t, now);
  /* A connection that the target closed while it rested: the same target, over
  ** a new one, if the request may run again. */
  if (unused && !x->has_begun && !x->is_fresh_only &&
      pwfleet_may_send(x->t, now) && x->route->kind == PWSITE_SAFE &&
      spend_retry(x, now)) {
    x->is_fresh_only = 1;
    if (pwexi_send(x) == 0)
      return;
  }
  pwexi_unknown(x, how == PWTCP_EOF ? "the target closed" : "reset");
}

/* Whether its target has had it for longer than one that is well should need: streams say something
** all the time, other answers take what is usual on their route. */
static int is_overdue(const pw_exchange *x, int64_t now) {
  const pw_gate_route *r = pwgate_route(x->g, x->route->name);
  double usual = r && !x->route->is_stream ? USUAL_TIMES * r->usual_ms : 0;
  return (double)pwexi_at_target(x, now) >=
         (usual > STALL_MS ? usual : STALL_MS);
}

static int may_go_elsewhere(const pw_exchange *x, int64_t now) {
  return x->route->kind == PWSITE_SAFE && pwexi_time_left(x) > 0 &&
         pwfleet_has_other(x->g->fleet, x->service->name, x->side, x->tried,
                           x->ntried, now);
}

/* A target that went dark says nothing: who may go on elsewhere does so while
** there is time, another waits for its time-out. */
static void check_stall(pw_exchange *x, int64_t now) {
  if (!x->u || !x->is_sent || x->is_paused || !pwfleet_is_dark(x->t, now) ||
      !is_overdue(x, now) || !may_go_elsewhere(x, now) ||
      !pwexi_may_repeat(x, now))
    return;
  pwfleet_unreached(x->t, now);
  pwexi_note_dark(x, now);
  pw_upconn *u = x->u;
  x->u = NULL;
  pwupconn_cancel(u);
  pwexi_retry(x, "the target went dark", 1);
}

void pwexchange_check(pw_gate *g, int64_t now) {
  for (pw_conn *c = g->front.first, *next; c; c = next) {
    next = c->next;
    if (c->state && !pwexi_end_late(c->state, now))
      check_stall(c->state, now);
  }
}
