/* pwreads.c: reads of the configuration, answered by whichever control instance is asked. */
#include "pwreads.h"

#include "pwsitecall.h"

#include <stdlib.h>

/* A read that is not confirmed by then goes to the leader itself, ms: a third of the second
** after which a caller turns to the next instance. */
#define CONFIRM_MS 300

typedef struct waiting {
  pw_api_call *call;
  uint64_t number; /* of the question it waits for */
  uint64_t index;  /* to be applied first; 0: not told yet */
  int64_t since;
  struct waiting *next;
} waiting;

struct pw_reads {
  pw_group *g;
  waiting *first;
  uint64_t asked; /* number of the last question */
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
    waiting *one = r->first;
    r->first = one->next;
    pwapi_fail(one->call, PW_E_NOT_LEADER, "", "not-run", NULL);
    free(one);
  }
}

/* 0: there is no leader to ask. */
static int ask(pw_reads *r) {
  Pw__Confirm m = PW__CONFIRM__INIT;
  m.number = ++r->asked;
  Pw__Envelope e = PW_ENVELOPE(CONFIRM, confirm, &m);
  return pwgroup_ask_leader(r->g, &e) == 0;
}

void pwreads_add(pw_reads *r, pw_api_call *call, int64_t now) {
  if (pwgroup_lease(r->g, now)) {
    pwsitecall_read_site(call, r->g);
    return;
  }
  if (pwgroup_is_leader(r->g) || !ask(r)) {
    pwsitecall_to_leader(call, r->g);
    return;
  }
  waiting *one = pw_alloc(sizeof *one);
  *one = (waiting){call, r->asked, 0, now, r->first};
  r->first = one;
}

static void confirm(pw_reads *r, pw_sock *sock, const pw_peer *to,
                    const Pw__Confirm *m, int64_t now) {
  Pw__Confirmed out = PW__CONFIRMED__INIT;
  out.number = m->number;
  out.leads = pwgroup_lease(r->g, now);
  out.index = pwgroup_applied(r->g);
  Pw__Envelope e = PW_ENVELOPE(CONFIRMED, confirmed, &out);
  pwwire_send(sock, to, &e);
}

/* Numbers rise: an answer to a question holds for all that were asked before it. */
static void confirmed(pw_reads *r, const Pw__Confirmed *m) {
  for (waiting *one = r->first; one && m->leads; one = one->next)
    if (!one->index && one->number <= m->number)
      one->index = m->index;
}

void pwreads_message(pw_reads *r, pw_sock *sock, const pw_peer *from,
                     const Pw__Envelope *e, int64_t now) {
  if (e->body_case == PW__ENVELOPE__BODY_CONFIRM)
    confirm(r, sock, from, e->confirm, now);
  else if (e->body_case == PW__ENVELOPE__BODY_CONFIRMED)
    confirmed(r, e->confirmed);
}

void pwreads_work(pw_reads *r, int64_t now) {
  for (waiting **at = &r->first; *at;) {
    waiting *one = *at;
    int may = one->index && pwgroup_applied(r->g) >= one->index;
    if (!may && now - one->since < CONFIRM_MS) {
      at = &one->next;
      continue;
    }
    *at = one->next;
    if (may)
      pwsitecall_read_site(one->call, r->g);
    else
      pwsitecall_to_leader(one->call, r->g);
    free(one);
  }
}
