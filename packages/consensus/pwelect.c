/* pwelect.c: elections: pre-votes, votes and becoming leader. */
#include "pwconsint.h"

/* A member that asks for pre-votes itself refuses its own to those that come after it for the lease divided by this
** number: about the time of a round of pre-votes. */
#define YIELD_DIV 20

/* Whether this member has neither led nor received a message from a leader since its start. If all
** voters are new, no lease exists, whatever they granted before: a lease ends with the process that
** holds it. */
static int is_new(const pw_cons *c) {
  return c->is_new || (PW_MUTATION == MUT_FRESH_LEADER);
}

/* Whether all voters have replied to this incarnation that they are new. A member that becomes
** leader after those replies has its first entry on the disks of a quorum before it holds a lease.
** This member, which has received nothing from a leader, lacks that entry and gets no votes there.
** Mutations 28 and 29 break this rule. */
static int all_new(const pw_cons *c) {
  int n = 0, voters = 0;
  for (int i = 0; i < c->npeers; i++) {
    const pw_progress *p = &c->peer[i];
    voters += pwci_is_voter(c, p->id);
    n += pwci_is_voter(c, p->id) && (p->is_new || p->id == c->id);
  }
  if (PW_MUTATION == MUT_FRESH_QUORUM)
    return c->is_new && n >= pwci_quorum(c);
  return c->is_new && n == voters;
}

static void become_leader(pw_cons *c) {
  c->role = PWCONS_LEADER;
  c->leader = c->id;
  c->is_new = 0;
  c->since = c->now;
  c->transferring = 0;
  for (int i = 0; i < c->npeers; i++) {
    c->peer[i].match = 0;
    c->peer[i].next = pwconslog_last(&c->log) + 1;
    c->peer[i].replied_at = c->now;
    c->peer[i].echoed = INT64_MIN / 2;
    c->peer[i].snapshot_sent_at = INT64_MIN / 2;
  }
  pwci_append_own(c, PWCONS_NOOP, NULL, 0);
  c->noop_index = pwconslog_last(&c->log);
  pwci_broadcast(c);
}

static int count_granted(const pw_cons *c) {
  int n = 0;
  for (int i = 0; i < c->npeers; i++)
    n += c->peer[i].granted && pwci_is_voter(c, c->peer[i].id);
  return n;
}

void pwci_campaign(pw_cons *c, int pre, int hint) {
  c->since = c->now;
  c->leader = 0;
  if (pre) {
    c->role = PWCONS_PRECANDIDATE;
  } else {
    c->role = PWCONS_CANDIDATE;
    c->term++;
    c->vote = c->id;
    c->hard_dirty = 1;
  }
  pwci_set_retry_timer(c, pre);
  uint64_t last = pwconslog_last(&c->log);
  for (int i = 0; i < c->npeers; i++) {
    pw_progress *p = &c->peer[i];
    p->granted = p->id == c->id;
    if (p->id == c->id || !pwci_is_voter(c, p->id))
      continue;
    Pw__Cons *m =
        pwci_send(c, &c->late, pre ? PWCONS_PREVOTE : PWCONS_VOTE, p->id);
    m->term = pre ? c->term + 1 : c->term;
    m->index = last;
    m->log_term = pwconslog_term(&c->log, last);
    m->hint = (uint64_t)hint;
    m->round = c->incarnation;
  }
  if (count_granted(c) < pwci_quorum(c))
    return;
  if (pre)
    pwci_campaign(c, 0, hint);
  else
    become_leader(c);
}

/* Whether the candidate's log is at least as up to date as this member's. */
static int up_to_date(const pw_cons *c, const Pw__Cons *m) {
  uint64_t last = pwconslog_last(&c->log);
  uint64_t term = pwconslog_term(&c->log, last);
  if (PW_MUTATION == MUT_EMPTY_VOTES)
    return 1;
  return m->log_term > term || (m->log_term == term && m->index >= last);
}

/* Whether a leader may still hold a lease, in which case no vote is granted: this member leads,
** or has received a message from a leader within the lease. */
static int lease_may_be_held(const pw_cons *c, const Pw__Cons *m) {
  if (m->hint == HINT_TRANSFER || (m->hint == HINT_NO_LEASE && is_new(c)))
    return 0;
  if (c->role == PWCONS_LEADER)
    return 1;
  return c->now - c->leader_contact_at < c->lease;
}

/* Whether a candidate comes before this member in the order by the length of the log and, among
** equally long ones, by id. Only the first of all members learns from all others that they are new,
** so that no two candidates split the votes of new members. */
static int may_go_first(const pw_cons *c, const Pw__Cons *m) {
  uint64_t last = pwconslog_last(&c->log);
  uint64_t term = pwconslog_term(&c->log, last);
  int same = m->log_term == term && m->index == last;
  return up_to_date(c, m) && (!same || m->from > c->id);
}

/* Whether this member asks for pre-votes itself and comes before the candidate. Otherwise two members that ask at the
** same time get a quorum of pre-votes each and split the votes. */
static int is_ahead(const pw_cons *c, const Pw__Cons *m) {
  return c->role == PWCONS_PRECANDIDATE && !may_go_first(c, m) &&
         c->now - c->since < c->lease / YIELD_DIV &&
         PW_MUTATION != MUT_NEVER_YIELD;
}

void pwci_on_prevote(pw_cons *c, const Pw__Cons *m) {
  int yes = m->term > c->term && up_to_date(c, m) && !lease_may_be_held(c, m) &&
            !is_ahead(c, m);
  Pw__Cons *r = pwci_send(c, &c->late, PWCONS_PREVOTE_REPLY, m->from);
  r->term = yes ? m->term : c->term;
  r->reject = !yes;
  r->round = m->round;
  if (is_new(c) && may_go_first(c, m))
    r->hint = HINT_NO_LEASE;
}

void pwci_on_vote(pw_cons *c, const Pw__Cons *m) {
  if (lease_may_be_held(c, m) && m->term > c->term)
    return;
  if (m->term > c->term)
    pwci_become_follower(c, m->term, 0);
  int free_vote =
      c->vote == 0 || c->vote == m->from || PW_MUTATION == MUT_VOTE_TWICE;
  int yes = m->term == c->term && free_vote && up_to_date(c, m);
  if (yes) {
    c->vote = m->from;
    c->hard_dirty = 1;
    pwci_reset_election_timer(c);
  }
  pw_outbox *box = PW_MUTATION == MUT_SKIP_TERM_SYNC ? &c->early : &c->late;
  if (PW_MUTATION == MUT_SKIP_TERM_SYNC)
    c->hard_dirty = 0;
  Pw__Cons *r = pwci_send(c, box, PWCONS_VOTE_REPLY, m->from);
  r->reject = !yes;
}

/* Records that another voter is new. Replies to an earlier incarnation do not count. */
static void note_new(pw_cons *c, const Pw__Cons *m) {
  pw_progress *p = pwci_peer_of(c, m->from);
  if (!p || m->hint != HINT_NO_LEASE || m->round != c->incarnation)
    return;
  p->is_new = 1;
  if (c->role == PWCONS_PRECANDIDATE && all_new(c))
    pwci_campaign(c, 0, HINT_NO_LEASE);
}

void pwci_on_vote_reply(pw_cons *c, const Pw__Cons *m, int pre) {
  if (m->reject && m->term > c->term) {
    pwci_become_follower(c, m->term, 0);
    return;
  }
  if (pre)
    note_new(c, m);
  pw_cons_role want = pre ? PWCONS_PRECANDIDATE : PWCONS_CANDIDATE;
  uint64_t term = pre ? c->term + 1 : c->term;
  pw_progress *p = pwci_peer_of(c, m->from);
  if (c->role != want || m->term != term || m->reject || !p)
    return;
  p->granted = 1;
  if (count_granted(c) < pwci_quorum(c))
    return;
  if (pre)
    pwci_campaign(c, 0, 0);
  else
    become_leader(c);
}
