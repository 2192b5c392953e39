/* pwreads.c: reads of the configuration, answered by any control instance. */
#include "pwreads.h"

#include "pwlog.h"
#include "pwsitecall.h"

#include <stdlib.h>

/* A read that is not confirmed by then is redirected to the leader, ms. A
** caller turns to the next instance after a second, so this leaves it time
** for the redirection. */
#define CONFIRM_MS 700

/* Interval of Confirm messages while reads wait, ms. One message is not
** enough: it may reach a leader that has no lease yet or is being replaced. */
#define ASK_MS 50

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
  int64_t asked_at;     /* when that message was sent, ms */
  int64_t leader_at;    /* when a leader was known last, ms */
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

/* Asks the leader for its commit index. */
static void ask_leader(pw_reads *r, int64_t now) {
  Pw__Confirm m = PW__CONFIRM__INIT;
  m.number = ++r->last_number;
  r->asked_at = now;
  Pw__Envelope e = PW_ENVELOPE(CONFIRM, confirm, &m);
  if (!pwgroup_is_leader(r->g))
    pwgroup_send_to_leader(r->g, &e);
}

/* Ends a read that cannot be answered here: redirects it to the leader, or
** refuses it if the leader has been silent for so long that the caller finds
** another instance sooner. */
static void give_up(const pw_reads *r, pw_api_call *call, const char *why,
                    int64_t waited_ms, int refusals) {
  int is_silent = pwgroup_leader_silence(r->g) >= CONFIRM_MS;
  pwlog(LOG_NOTICE, "read-unconfirmed",
        "why=%s waited_ms=%lld refusals=%d applied=%llu leader=%s silent=%d",
        why, (long long)waited_ms, refusals,
        (unsigned long long)pwgroup_applied(r->g), pwgroup_leader_http(r->g),
        is_silent);
  if (is_silent)
    pwapi_fail(call, PW_E_NOT_LEADER, "", "not-run", NULL);
  else
    pwsitecall_redirect_to_leader(call, r->g);
}

static void note_leader(pw_reads *r, int64_t now) {
  if (pwgroup_leader_wire(r->g)[0])
    r->leader_at = now;
}

/* Whether a confirmation can be expected: a group that has lost its leader
** just now elects another one, but not if that has taken long already. A stall
** in this iteration, as by a disk that hangs, is not noticed yet, so the leader
** that is known now counts, not the time at which one was noted. */
static int may_be_confirmed(pw_reads *r, int64_t now) {
  note_leader(r, now);
  return pwgroup_is_member(r->g) && now - r->leader_at < CONFIRM_MS;
}

void pwreads_add(pw_reads *r, pw_api_call *call, int64_t now) {
  if (pwgroup_lease(r->g, now)) {
    pwsitecall_answer_site(call, r->g);
    return;
  }
  if (!may_be_confirmed(r, now)) {
    give_up(r, call, "no-leader", 0, 0);
    return;
  }
  waiter *one = pw_alloc(sizeof *one);
  *one = (waiter){.call = call,
                  .number = r->last_number + 1,
                  .since = now,
                  .next = r->first};
  r->first = one;
  ask_leader(r, now);
}

/* The asking instance mostly has the entries already, but would learn only with
** the next heartbeat that they are committed, which a suspended leader does not
** send. The statement precedes the answer on one connection, so it is there
** when the answer is. */
static void on_confirm(pw_reads *r, pw_sock *sock, const pw_peer *to,
                       const Pw__Confirm *m, int64_t now) {
  Pw__Confirmed out = PW__CONFIRMED__INIT;
  out.number = m->number;
  out.leads = pwgroup_lease(r->g, now);
  out.index = pwgroup_applied(r->g);
  if (out.leads)
    pwgroup_state_committed(r->g, sock, to);
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

void pwreads_message(pw_reads *r, pw_sock *sock, const pw_peer *from,
                     const Pw__Envelope *e, int64_t now) {
  if (e->body_case == PW__ENVELOPE__BODY_CONFIRM)
    on_confirm(r, sock, from, e->confirm, now);
  else if (e->body_case == PW__ENVELOPE__BODY_CONFIRMED)
    on_confirmed(r, e->confirmed);
}

/* Why a read is not answered here. */
static const char *reason(const pw_reads *r, const waiter *one) {
  if (one->index)
    return "not-applied";
  if (pwgroup_is_leader(r->g))
    return "no-lease-here";
  if (!pwgroup_leader_wire(r->g)[0])
    return "no-leader";
  return one->refusals ? "leader-without-lease" : "leader-silent";
}

/* Ends the wait of *at: unlinks it, and answers or redirects its call. */
static void finish(pw_reads *r, waiter **at, int is_ready, int64_t now) {
  waiter *one = *at;
  *at = one->next;
  if (is_ready)
    pwsitecall_answer_site(one->call, r->g);
  else
    give_up(r, one->call, reason(r, one), now - one->since, one->refusals);
  free(one);
}

static int is_confirmed(const pw_reads *r, const waiter *one) {
  return one->index && pwgroup_applied(r->g) >= one->index;
}

void pwreads_answer(pw_reads *r, int64_t now) {
  int has_lease = pwgroup_lease(r->g, now);
  note_leader(r, now);
  for (waiter **at = &r->first; *at;) {
    if (has_lease || is_confirmed(r, *at))
      finish(r, at, 1, now);
    else
      at = &(*at)->next;
  }
}

void pwreads_ask_again(pw_reads *r, int64_t now) {
  int is_asking = 0;
  for (const waiter *one = r->first; one; one = one->next)
    is_asking |= !one->index;
  if (is_asking && now - r->asked_at >= ASK_MS)
    ask_leader(r, now);
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
