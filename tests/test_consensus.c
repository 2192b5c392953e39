/* test_consensus.c: unit tests of the consensus, and simulated starts of a
** control group. test_consensus_addressed, test_consensus_numbered and
** test_consensus_suspended simulate its faults. */
#include "group_model.h"
#include "pwcons.h"
#include "pwtest.h"

#include <stdlib.h>
#include <string.h>

/* The leader of a group of one, which commits without replies. */
static pw_cons *lone_leader(model_disk *d) {
  pw_cons_config c = {.n = 1, .m = {{.id = 1, .slot = 1, .voter = 1}}};
  model_disk_init(d, &c);
  pw_cons_setup s = {.id = 1,
                     .seed = 1,
                     .now = 5000,
                     .heartbeat = 100,
                     .retry = 200,
                     .lease = LEASE,
                     .snapshot = d->snapshot};
  pw_cons *cons = pwcons_new(&s);
  pw_cons_ready r;
  while (pwcons_ready(cons, &r))
    pwcons_advance(cons);
  return cons;
}

static void test_one_voter_at_a_time(void) {
  model_disk d = {0};
  pw_cons *cons = lone_leader(&d);
  pw_cons_config two = *pwcons_config(cons);
  CHECK(pwcons_role(cons) == PWCONS_LEADER);
  two.m[two.n++] = (pw_cons_member){.id = 2, .slot = 2, .voter = 1};
  pw_cons_config three = two;
  three.m[three.n++] = (pw_cons_member){.id = 3, .slot = 3, .voter = 1};
  CHECK(pwcons_propose_config(cons, &three) == PW_E_CONFLICT);
  CHECK(pwcons_propose_config(cons, &two) == PW_OK);
  /* The second change must wait until the first is committed. */
  CHECK(pwcons_propose_config(cons, &three) == PW_E_CONFLICT);
  pwcons_free(cons);
  model_disk_clear(&d);
}

/* Member 1 of three, with n entries of term 1 on its disk. */
static pw_cons *one_of_three(model_disk *d, int n) {
  pw_cons_config c = {.n = 3};
  for (int i = 0; i < 3; i++)
    c.m[i] = (pw_cons_member){
        .id = (uint64_t)i + 1, .slot = (uint32_t)i + 1, .voter = 1};
  model_disk_init(d, &c);
  for (int i = 1; i <= n; i++) {
    Pw__Entry e = PW__ENTRY__INIT;
    e.term = 1;
    e.index = (uint64_t)i;
    model_disk_append(d, &e);
  }
  pw_cons_setup s = {.id = 1,
                     .seed = 1,
                     .now = 5000,
                     .heartbeat = 100,
                     .retry = 200,
                     .lease = LEASE,
                     .term = 1,
                     .snapshot = d->snapshot,
                     .entries = d->entry,
                     .nentries = d->n};
  return pwcons_new(&s);
}

static void receive_from_2(pw_cons *c, int64_t now, Pw__Cons m) {
  m.to = 1;
  m.from = 2;
  pwcons_step(c, now, &m);
}

static void flush(pw_cons *c) {
  pw_cons_ready r;
  while (pwcons_ready(c, &r))
    pwcons_advance(c);
}

static Pw__Cons message(pw_cons_type type, uint64_t term) {
  Pw__Cons m = PW__CONS__INIT;
  m.type = type;
  m.term = term;
  return m;
}

/* Entries of older terms are committed only together with one of the current term. */
static void test_old_terms(void) {
  model_disk d = {0};
  pw_cons *c = one_of_three(&d, 1);
  pwcons_tick(c, 9000);
  receive_from_2(c, 9000, message(PWCONS_PREVOTE_REPLY, 2));
  flush(c);
  receive_from_2(c, 9000, message(PWCONS_VOTE_REPLY, 2));
  flush(c);
  CHECK(pwcons_role(c) == PWCONS_LEADER);
  Pw__Cons m = message(PWCONS_APPEND_REPLY, 2);
  m.index = 1;
  receive_from_2(c, 9001, m);
  CHECK(pwcons_commit(c) == 0);
  m.index = 2;
  receive_from_2(c, 9002, m);
  CHECK(pwcons_commit(c) == 2);
  pwcons_free(c);
  model_disk_clear(&d);
}

/* A follower commits only entries that are known to match the leader's log. */
static void test_commit_of_follower(void) {
  model_disk d = {0};
  pw_cons *c = one_of_three(&d, 3);
  Pw__Cons m = message(PWCONS_APPEND, 2);
  m.index = 1;
  m.log_term = 1;
  m.commit = 3;
  receive_from_2(c, 6000, m);
  CHECK(pwcons_commit(c) == 1);
  pwcons_free(c);
  model_disk_clear(&d);
}

static void state_committed(pw_cons *c, uint64_t from, uint64_t index,
                            uint64_t term) {
  Pw__Cons m = message(PWCONS_COMMITTED, 2);
  m.from = from;
  m.index = index;
  m.log_term = term;
  pwcons_step(c, 6000, &m);
}

/* A read must not wait for a heartbeat that a suspended leader does not send: a member learns
** from a statement what is committed, for entries that it has and for those that come later. */
static void test_stated_committed(void) {
  model_disk d = {0};
  pw_cons *c = one_of_three(&d, 3);
  state_committed(c, 2, 2, 1);
  CHECK(pwcons_commit(c) == 2);
  state_committed(c, 9, 3, 1); /* no member: another group's log */
  CHECK(pwcons_commit(c) == 2);
  state_committed(c, 2, 4, 1);
  CHECK(pwcons_commit(c) == 2);
  Pw__Entry e = PW__ENTRY__INIT;
  Pw__Entry *entries[1] = {&e};
  e.term = 1;
  e.index = 4;
  Pw__Cons m = message(PWCONS_APPEND, 2);
  m.index = 3;
  m.log_term = 1;
  m.entries = entries;
  m.n_entries = 1;
  receive_from_2(c, 6001, m);
  CHECK(pwcons_commit(c) == 4);
  pwcons_free(c);
  model_disk_clear(&d);
}

/* Entries 2 and 3 of a deposed leader are not committed, though entries of a newer term at
** these indexes are; nor does its late statement commit more than it held. */
static void test_stated_for_rewritten_log(void) {
  model_disk d = {0};
  pw_cons *c = one_of_three(&d, 3);
  state_committed(c, 2, 3, 2);
  CHECK(pwcons_commit(c) == 0);
  state_committed(c, 3, 1, 1); /* late, from the deposed leader */
  CHECK(pwcons_commit(c) == 1);
  Pw__Entry e[2] = {PW__ENTRY__INIT, PW__ENTRY__INIT};
  Pw__Entry *entries[2] = {&e[0], &e[1]};
  for (int i = 0; i < 2; i++) {
    e[i].term = 2;
    e[i].index = (uint64_t)i + 2;
  }
  Pw__Cons m = message(PWCONS_APPEND, 2);
  m.index = 1;
  m.log_term = 1;
  m.entries = entries;
  m.n_entries = 1;
  receive_from_2(c, 6001, m);
  CHECK(pwcons_last(c) == 2 && pwcons_commit(c) == 1);
  m.index = 2;
  m.log_term = 2;
  m.entries = entries + 1;
  receive_from_2(c, 6002, m);
  CHECK(pwcons_last(c) == 3 && pwcons_commit(c) == 3);
  pwcons_free(c);
  model_disk_clear(&d);
}

/* A leader commits only what a quorum holds, whatever is stated. */
static void test_stated_to_leader(void) {
  model_disk d = {0};
  pw_cons *c = one_of_three(&d, 1);
  pwcons_tick(c, 9000);
  receive_from_2(c, 9000, message(PWCONS_PREVOTE_REPLY, 2));
  flush(c);
  receive_from_2(c, 9000, message(PWCONS_VOTE_REPLY, 2));
  flush(c);
  CHECK(pwcons_role(c) == PWCONS_LEADER);
  state_committed(c, 3, 2, 2);
  CHECK(pwcons_commit(c) == 0);
  pwcons_free(c);
  model_disk_clear(&d);
}

/* A vote is stored before its reply is sent. */
static void test_vote_is_synced(void) {
  model_disk d = {0};
  pw_cons_ready r;
  pw_cons *c = one_of_three(&d, 0);
  Pw__Cons m = message(PWCONS_VOTE, 2);
  m.index = 5;
  m.log_term = 1;
  receive_from_2(c, 9000, m);
  CHECK(pwcons_ready(c, &r));
  CHECK(r.must_sync && r.term == 2 && r.vote == 2);
  CHECK(r.n_early == 0 && r.n_late == 1);
  pwcons_free(c);
  model_disk_clear(&d);
}

/* The hint in the reply to a pre-vote request of member 3, whose log is longer. */
static uint64_t hint_for(pw_cons *c, int64_t now) {
  pw_cons_ready r;
  Pw__Cons m = message(PWCONS_PREVOTE, 9);
  m.index = 50;
  m.log_term = 8;
  m.round = 77;
  m.to = 1;
  m.from = 3;
  flush(c);
  pwcons_step(c, now, &m);
  CHECK(pwcons_ready(c, &r) && r.n_late == 1);
  CHECK(r.late[0]->round == 77);
  uint64_t hint = r.late[0]->hint;
  pwcons_advance(c);
  return hint;
}

/* A member replies that it is new until it leads or receives a message from a leader. */
static void test_who_is_new(void) {
  model_disk d = {0};
  pw_cons *c = one_of_three(&d, 1);
  uint64_t is_new = hint_for(c, 5001);
  CHECK(is_new != 0);
  receive_from_2(c, 5002, message(PWCONS_APPEND, 2));
  CHECK(hint_for(c, 5003) == 0);
  pwcons_free(c);
  model_disk_clear(&d);
  c = one_of_three(&d, 1);
  pwcons_tick(c, 9000);
  receive_from_2(c, 9000, message(PWCONS_PREVOTE_REPLY, 2));
  flush(c);
  receive_from_2(c, 9000, message(PWCONS_VOTE_REPLY, 2));
  CHECK(pwcons_role(c) == PWCONS_LEADER);
  CHECK(hint_for(c, 9001) == 0);
  pwcons_free(c);
  model_disk_clear(&d);
}

enum { STARTS = 300, SPREAD = LEASE * 3 / 5 };

/* Times until a leader is elected, over STARTS starts, ms. */
typedef struct start_times {
  int64_t mean, most;
  int slow; /* starts that took more than a quarter of a lease */
} start_times;

static start_times time_starts(int nodes, int absent) {
  uint64_t first = test_seed(21);
  int64_t sum = 0;
  start_times out = {.most = INT64_MIN};
  for (int i = 0; i < STARTS; i++) {
    int64_t took = model_cold_start(first + (uint64_t)i, nodes, SPREAD, absent);
    sum += took;
    out.most = took > out.most ? took : out.most;
    out.slow += took > LEASE / 4;
  }
  out.mean = sum / STARTS;
  printf("%d nodes: %lld ms on average, %lld at most, %d of %d over %d ms\n",
         nodes, (long long)out.mean, (long long)out.most, out.slow, STARTS,
         LEASE / 4);
  return out;
}

/* Callers wait for a leader after all members were down, so failed pre-votes are retried soon and
** candidates do not split the votes. */
static void test_cold_start(void) {
  for (int nodes = 3; nodes <= NODES; nodes += 2) {
    start_times t = time_starts(nodes, 1);
    CHECK(t.mean < LEASE / 5);
    CHECK(t.most < LEASE);
    CHECK(t.slow <= STARTS / 20);
  }
}

/* When all members have just started, no lease exists and the election does not wait for one. */
static void test_all_start(void) {
  start_times t = time_starts(NODES, 0);
  CHECK(t.mean < LEASE / 5);
  CHECK(t.most < LEASE / 2);
}

int main(void) {
  TESTS_BEGIN("consensus");
  TEST(test_one_voter_at_a_time);
  TEST(test_old_terms);
  TEST(test_commit_of_follower);
  TEST(test_stated_committed);
  TEST(test_stated_for_rewritten_log);
  TEST(test_stated_to_leader);
  TEST(test_vote_is_synced);
  TEST(test_who_is_new);
  TEST(test_cold_start);
  TEST(test_all_start);
  TESTS_END();
}
