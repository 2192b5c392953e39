/* pwreads.c: reads of the configuration, answered by any control instance. */
#include "pwreads.h"

#include "pwlog.h"
#include "pwsitecall.h"

#include <stdlib.h>

/* A read that is not confirmed by then is redirected to the leader, ms. A
** caller turns to the next instance after a second, so this leaves it time
** for the redirection. */
#define CONFIRM_MS 300

typedef struct waiter {
  pw_api_call *call;
  uint64_t number; /* number of the Confirm message that it waits for */
  uint64_t index;  /* log index that must be applied first; 0: not known yet */
  int refusals;    /* Confirmed messages for it from a leader without a lease */
  int64_t since;
  struct waiter *next;
} waiter;

struct pw_reads {
  pw_group *g;
  waiter *first;
  uint64_t last_number; /* number of the last Confirm message */
};

pw_reads *pwreads_new(pw_group *g) {
  pw_reads *r = pw_alloc(sizeof *r);
  r->g = g;
  return r;
}

void pwreads_free(pw_reads *r) {
  if (!r)
    return;
  pwreads_end(r);
  free(r);
}

void pwreads_end(pw_reads *r) {
  while (r->first) {
    waiter *one = r->first;
    r->first = one->next;
    pwapi_fail(one->call, PW_E_NOT_LEADER, "", "not-run", NULL);
    free(one);
  }
}

/* Asks the leader for its commit index; 0: no leader is known. */
static int ask_leader(pw_reads *r) {
  Pw__Confirm m = PW__CONFIRM__INIT;
  m.number = ++r->last_number;
  Pw__Envelope e = PW_ENVELOPE(CONFIRM, confirm, &m);
  return pwgroup_send_to_leader(r->g, &e) == 0;
}

static void redirect(const pw_reads *r, pw_api_call *call, const char *why,
                     int64_t waited_ms, int refusals) {
  pwlog(LOG_NOTICE, "read-redirected",
        "why=%s waited_ms=%lld refusals=%d applied=%llu leader=%s", why,
        (long long)waited_ms, refusals,
        (unsigned long long)pwgroup_applied(r->g), pwgroup_leader_http(r->g));
  pwsitecall_redirect_to_leader(call, r->g);
}

void pwreads_add(pw_reads *r, pw_api_call *call, int64_t now) {
  if (pwgroup_lease(r->g, now)) {
    pwsitecall_answer_site(call, r->g);
    return;
  }
  if (pwgroup_is_leader(r->g)) {
    redirect(r, call, "no-lease-here", 0, 0);
    return;
  }
  if (!ask_leader(r)) {
    redirect(r, call, "no-leader", 0, 0);
    return;
  }
  waiter *one = pw_alloc(sizeof *one);
  *one = (waiter){
      .call = call, .number = r->last_number, .since = now, .next = r->first};
  r->first = one;
}

static void on_confirm(pw_reads *r, pw_sock *sock, const pw_peer *to,
                       const Pw__Confirm *m, int64_t now) {
  Pw__Confirmed out = PW__CONFIRMED__INIT;
  out.number = m->number;
  out.leads = pwgroup_lease(r->g, now);
  out.index = pwgroup_applied(r->g);
  Pw__Envelope e = PW_ENVELOPE(CONFIRMED, confirmed, &out);
  pwwire_send(sock, to, &e);
}

/* Numbers rise with time: a Confirmed message counts for all reads that came
** before the Confirm message that it answers. */
static void on_confirmed(pw_reads *r, const Pw__Confirmed *m) {
  for (waiter *one = r->first; one; one = one->next) {
    if (one->index || one->number > m->number)
      continue;
    if (m->leads)
      one->index = m->index;
    else
      one->refusals++;
  }
}

/* Why a read is not answered here. */
static const char *reason(const waiter *one) {
  if (one->index)
    return "not-applied";
  return one->refusals ? "leader-without-lease" : "leader-silent";
}

void pwreads_message(pw_reads *r, pw_sock *sock, const pw_peer *from,
                     const Pw__Envelope *e, int64_t now) {
  if (e->body_case == PW__ENVELOPE__BODY_CONFIRM)
    on_confirm(r, sock, from, e->confirm, now);
  else if (e->body_case == PW__ENVELOPE__BODY_CONFIRMED)
    on_confirmed(r, e->confirmed);
}

/* Ends the wait of *at: unlinks it, and answers or redirects its call. */
static void finish(pw_reads *r, waiter **at, int is_ready, int64_t now) {
  waiter *one = *at;
  *at = one->next;
  if (is_ready)
    pwsitecall_answer_site(one->call, r->g);
  else
    redirect(r, one->call, reason(one), now - one->since, one->refusals);
  free(one);
}

void pwreads_answer(pw_reads *r, int64_t now) {
  for (waiter **at = &r->first; *at;) {
    if ((*at)->index && pwgroup_applied(r->g) >= (*at)->index)
      finish(r, at, 1, now);
    else
      at = &(*at)->next;
  }
}

void pwreads_expire(pw_reads *r, int64_t now) {
  for (waiter **at = &r->first; *at;) {
    if (now - (*at)->since >= CONFIRM_MS)
      finish(r, at, 0, now);
    else
      at = &(*at)->next;
  }
}

void pwreads_discount_stall(pw_reads *r, int64_t ms) {
  for (waiter *one = r->first; one; one = one->next)
    one->since += ms;
}
