/* pwcons.c: consensus of the control group, as a pure state machine. */
#include "pwcons.h"

#include "pwbuf.h"
#include "pwconslog.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* Entries in one append, and entries sent ahead of their acknowledgement. */
#define BATCH_MAX 256
#define AHEAD_MAX 4096

/* A lease ends this share earlier for its holder, to allow for clock drift. */
#define LEASE_NUM 9
#define LEASE_DEN 10

/* Deliberate faults for the tests that must catch them; see Makefile. */
#ifndef PW_MUTATION
#define PW_MUTATION 0
#endif
enum {
  MUT_OLD_TERM_COMMIT = 1, /* counts entries of older terms */
  MUT_EMPTY_VOTES = 2,     /* grants votes without comparing logs */
  MUT_VOTE_TWICE = 3,      /* forgets whom it voted for */
  MUT_LEARNER_COUNTS = 4,  /* a learner counts in quorums */
  MUT_SMALL_QUORUM = 5,    /* half of the voters are enough */
  MUT_NO_TRUNCATE = 6,     /* keeps a conflicting tail */
  MUT_LEASE_FOREVER = 7,   /* holds the lease as long as it leads */
  MUT_BIG_CHANGE = 8,      /* changes several voters at once */
  MUT_SKIP_TERM_SYNC = 9,  /* speaks of a term that is not stored */
  MUT_COMMIT_AHEAD = 10    /* follower commits past what it matched */
};

typedef struct progress {
  uint64_t id;
  uint64_t match;
  uint64_t next;
  int64_t heard;   /* when it last answered, ms */
  int64_t round;   /* newest send time it has echoed, ms */
  int64_t snap_at; /* when it was last sent a snapshot, ms */
  int granted;     /* vote or pre-vote */
} progress;

typedef struct outbox {
  Pw__Cons **m;
  size_t n;
  size_t cap;
} outbox;

struct pw_cons {
  uint64_t id;
  uint64_t seed;
  uint64_t draws;
  int64_t now;
  int64_t heartbeat, retry, lease;
  size_t batch;

  uint64_t term;
  uint64_t vote;
  pw_cons_log log;
  uint64_t commit;
  uint64_t applied;
  uint64_t synced; /* last index on the disk */
  int hard_dirty;
  int install_dirty;

  pw_cons_role role;
  uint64_t leader;
  pw_cons_config config;
  uint64_t config_index;
  int64_t heard_leader;
  int64_t election_at;
  int64_t beat_at;
  int64_t since; /* when the role was taken */
  int transferring;
  uint64_t noop_index;
  progress peer[PWCONS_MEMBERS];
  int npeers;

  outbox early, late;
  Pw__Entry **fresh; /* view handed out by pwcons_ready */
  uint64_t ready_last;
  uint64_t ready_term; /* term of entry ready_last when it was handed out */
};

static int is_voter(const pw_cons *c, uint64_t id) {
  for (int i = 0; i < c->config.n; i++)
    if (c->config.m[i].id == id)
      return c->config.m[i].voter || PW_MUTATION == MUT_LEARNER_COUNTS;
  return 0;
}

static int voters(const pw_cons *c) {
  int n = 0;
  for (int i = 0; i < c->config.n; i++)
    n += c->config.m[i].voter || PW_MUTATION == MUT_LEARNER_COUNTS;
  return n;
}

static int quorum(const pw_cons *c) {
  return voters(c) / 2 + (PW_MUTATION != MUT_SMALL_QUORUM);
}

static progress *peer_of(pw_cons *c, uint64_t id) {
  for (int i = 0; i < c->npeers; i++)
    if (c->peer[i].id == id)
      return &c->peer[i];
  return NULL;
}

/* Keeps the progress of members that stay, starts that of new ones. */
static void rebuild_peers(pw_cons *c) {
  progress kept[PWCONS_MEMBERS];
  int n = 0;
  for (int i = 0; i < c->config.n; i++) {
    uint64_t id = c->config.m[i].id;
    const progress *p = peer_of(c, id);
    if (p)
      kept[n] = *p;
    else
      kept[n] = (progress){.id = id,
                           .next = pwconslog_last(&c->log) + 1,
                           .heard = c->now,
                           .round = INT64_MIN / 2,
                           .snap_at = INT64_MIN / 2};
    n++;
  }
  memcpy(c->peer, kept, sizeof kept[0] * (size_t)n);
  c->npeers = n;
}

static void reload_config(pw_cons *c) {
  c->config_index =
      pwconslog_config(&c->log, pwconslog_last(&c->log), &c->config);
  rebuild_peers(c);
}

static void plan_election(pw_cons *c) {
  uint64_t draw[2] = {c->seed, ++c->draws};
  uint64_t r = XXH3_64bits(draw, sizeof draw);
  c->election_at = c->now + c->lease + (int64_t)(r % (uint64_t)c->lease);
}

/* A term that is not stored yet is spoken of only after the sync. */
static Pw__Cons *send(pw_cons *c, outbox *box, pw_cons_type type, uint64_t to) {
  if (c->hard_dirty)
    box = &c->late;
  Pw__Cons *m = pw_alloc(sizeof *m);
  pw__cons__init(m);
  m->type = type;
  m->to = to;
  m->from = c->id;
  m->term = c->term;
  if (box->n == box->cap) {
    box->cap = box->cap ? box->cap * 2 : 16;
    Pw__Cons **grown = pw_alloc(sizeof(Pw__Cons *) * box->cap);
    if (box->n)
      memcpy(grown, box->m, sizeof(Pw__Cons *) * box->n);
    free(box->m);
    box->m = grown;
  }
  box->m[box->n++] = m;
  return m;
}

static void clear_box(outbox *box) {
  for (size_t i = 0; i < box->n; i++)
    pw__cons__free_unpacked(box->m[i], NULL);
  box->n = 0;
}

static void become_follower(pw_cons *c, uint64_t term, uint64_t leader) {
  if (term > c->term) {
    c->term = term;
    c->vote = 0;
    c->hard_dirty = 1;
  }
  if (c->role != PWCONS_FOLLOWER)
    c->since = c->now;
  c->role = PWCONS_FOLLOWER;
  c->leader = leader;
  c->transferring = 0;
  plan_election(c);
}

static void send_snapshot(pw_cons *c, progress *p) {
  if (c->now - p->snap_at < c->retry)
    return;
  p->snap_at = c->now;
  Pw__Cons *m = send(c, &c->early, PWCONS_SNAPSHOT, p->id);
  m->snapshot = pwcons_copy_snapshot(c->log.snapshot);
  m->round = (uint64_t)c->now;
}

static void send_append(pw_cons *c, progress *p) {
  if (p->next <= c->log.snapshot->index) {
    send_snapshot(c, p);
    return;
  }
  uint64_t last = pwconslog_last(&c->log);
  size_t n = last >= p->next ? (size_t)(last - p->next + 1) : 0;
  if (n > c->batch)
    n = c->batch;
  if (p->next > p->match + AHEAD_MAX)
    n = 0;
  Pw__Cons *m = send(c, &c->early, PWCONS_APPEND, p->id);
  m->index = p->next - 1;
  m->log_term = pwconslog_term(&c->log, p->next - 1);
  m->commit = c->commit;
  m->round = (uint64_t)c->now;
  m->n_entries = n;
  m->entries = n ? pw_alloc(sizeof(Pw__Entry *) * n) : NULL;
  for (size_t i = 0; i < n; i++)
    m->entries[i] = pwcons_copy_entry(pwconslog_at(&c->log, p->next + i));
  p->next += n;
}

static void broadcast(pw_cons *c) {
  for (int i = 0; i < c->npeers; i++)
    if (c->peer[i].id != c->id)
      send_append(c, &c->peer[i]);
  c->beat_at = c->now + c->heartbeat;
}

static void append_own(pw_cons *c, pw_cons_kind kind, const void *data,
                       size_t len) {
  Pw__Entry *e = pw_alloc(sizeof *e);
  pw__entry__init(e);
  e->term = c->term;
  e->index = pwconslog_last(&c->log) + 1;
  e->kind = kind;
  e->data.len = len;
  e->data.data = len ? pw_memdup(data, len) : NULL;
  pwconslog_append(&c->log, e);
}

/* Highest index that a quorum of voters holds on disk. */
static uint64_t quorum_match(const pw_cons *c) {
  uint64_t held[PWCONS_MEMBERS];
  int n = 0;
  for (int i = 0; i < c->npeers; i++) {
    const progress *p = &c->peer[i];
    if (!is_voter(c, p->id))
      continue;
    uint64_t v = p->id == c->id ? c->synced : p->match;
    int j = n++;
    for (; j > 0 && held[j - 1] < v; j--)
      held[j] = held[j - 1];
    held[j] = v;
  }
  return n ? held[quorum(c) - 1] : 0;
}

/* Only an entry of the own term commits by counting; older ones with it. */
static void advance_commit(pw_cons *c) {
  if (c->role != PWCONS_LEADER)
    return;
  uint64_t n = quorum_match(c);
  if (n <= c->commit)
    return;
  if (pwconslog_term(&c->log, n) != c->term &&
      PW_MUTATION != MUT_OLD_TERM_COMMIT)
    return;
  c->commit = n;
  if (c->config_index <= c->commit && !is_voter(c, c->id)) {
    broadcast(c);
    become_follower(c, c->term, 0);
  }
}

static void become_leader(pw_cons *c) {
  c->role = PWCONS_LEADER;
  c->leader = c->id;
  c->since = c->now;
  c->transferring = 0;
  for (int i = 0; i < c->npeers; i++) {
    c->peer[i].match = 0;
    c->peer[i].next = pwconslog_last(&c->log) + 1;
    c->peer[i].heard = c->now;
    c->peer[i].round = INT64_MIN / 2;
    c->peer[i].snap_at = INT64_MIN / 2;
  }
  append_own(c, PWCONS_NOOP, NULL, 0);
  c->noop_index = pwconslog_last(&c->log);
  broadcast(c);
}

static int granted(const pw_cons *c) {
  int n = 0;
  for (int i = 0; i < c->npeers; i++)
    n += c->peer[i].granted && is_voter(c, c->peer[i].id);
  return n;
}

static void campaign(pw_cons *c, int pre, int transfer) {
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
  plan_election(c);
  uint64_t last = pwconslog_last(&c->log);
  for (int i = 0; i < c->npeers; i++) {
    progress *p = &c->peer[i];
    p->granted = p->id == c->id;
    if (p->id == c->id || !is_voter(c, p->id))
      continue;
    Pw__Cons *m = send(c, &c->late, pre ? PWCONS_PREVOTE : PWCONS_VOTE, p->id);
    m->term = pre ? c->term + 1 : c->term;
    m->index = last;
    m->log_term = pwconslog_term(&c->log, last);
    m->hint = (uint64_t)transfer;
  }
  if (granted(c) < quorum(c))
    return;
  if (pre)
    campaign(c, 0, transfer);
  else
    become_leader(c);
}

static int up_to_date(const pw_cons *c, const Pw__Cons *m) {
  uint64_t last = pwconslog_last(&c->log);
  uint64_t term = pwconslog_term(&c->log, last);
  if (PW_MUTATION == MUT_EMPTY_VOTES)
    return 1;
  return m->log_term > term || (m->log_term == term && m->index >= last);
}

/* A leader heard of within the lease may still hold it: no votes then. */
static int lease_open(const pw_cons *c, const Pw__Cons *m) {
  if (m->hint == 1)
    return 0;
  if (c->role == PWCONS_LEADER)
    return 1;
  return c->now - c->heard_leader < c->lease;
}

static void on_prevote(pw_cons *c, const Pw__Cons *m) {
  int yes = m->term > c->term && up_to_date(c, m) && !lease_open(c, m);
  Pw__Cons *r = send(c, &c->late, PWCONS_PREVOTE_REPLY, m->from);
  r->term = yes ? m->term : c->term;
  r->reject = !yes;
}

static void on_vote(pw_cons *c, const Pw__Cons *m) {
  if (lease_open(c, m) && m->term > c->term)
    return;
  if (m->term > c->term)
    become_follower(c, m->term, 0);
  int free_vote =
      c->vote == 0 || c->vote == m->from || PW_MUTATION == MUT_VOTE_TWICE;
  int yes = m->term == c->term && free_vote && up_to_date(c, m);
  if (yes) {
    c->vote = m->from;
    c->hard_dirty = 1;
    plan_election(c);
  }
  outbox *box = PW_MUTATION == MUT_SKIP_TERM_SYNC ? &c->early : &c->late;
  if (PW_MUTATION == MUT_SKIP_TERM_SYNC)
    c->hard_dirty = 0;
  Pw__Cons *r = send(c, box, PWCONS_VOTE_REPLY, m->from);
  r->reject = !yes;
}

static void on_vote_reply(pw_cons *c, const Pw__Cons *m, int pre) {
  if (m->reject && m->term > c->term) {
    become_follower(c, m->term, 0);
    return;
  }
  pw_cons_role want = pre ? PWCONS_PRECANDIDATE : PWCONS_CANDIDATE;
  uint64_t term = pre ? c->term + 1 : c->term;
  progress *p = peer_of(c, m->from);
  if (c->role != want || m->term != term || m->reject || !p)
    return;
  p->granted = 1;
  if (granted(c) < quorum(c))
    return;
  if (pre)
    campaign(c, 0, 0);
  else
    become_leader(c);
}

static Pw__Cons *reply_append(pw_cons *c, const Pw__Cons *m, uint64_t index,
                              int reject) {
  Pw__Cons *r = send(c, &c->late, PWCONS_APPEND_REPLY, m->from);
  r->index = index;
  r->reject = reject;
  r->round = m->round;
  r->hint = pwconslog_last(&c->log);
  return r;
}

static void drop_tail(pw_cons *c, uint64_t index) {
  assert(index > c->commit);
  pwconslog_truncate(&c->log, index);
  if (c->synced >= index)
    c->synced = index - 1;
  reload_config(c);
}

/* Appends what is new of the message's entries; gives the last index that is
** now known to match the leader's log. */
static uint64_t take_entries(pw_cons *c, const Pw__Cons *m) {
  int config_seen = 0;
  for (size_t i = 0; i < m->n_entries; i++) {
    const Pw__Entry *e = m->entries[i];
    if (e->index <= c->log.snapshot->index)
      continue;
    uint64_t have = pwconslog_term(&c->log, e->index);
    if (have == e->term)
      continue;
    if (have) {
      if (PW_MUTATION == MUT_NO_TRUNCATE)
        continue;
      drop_tail(c, e->index);
    }
    if (e->index != pwconslog_last(&c->log) + 1)
      return pwconslog_last(&c->log);
    pwconslog_append(&c->log, pwcons_copy_entry(e));
    config_seen |= e->kind == PWCONS_CONFIG;
  }
  if (config_seen)
    reload_config(c);
  return m->index + m->n_entries;
}

static void hear_leader(pw_cons *c, const Pw__Cons *m) {
  if (m->term > c->term || c->role != PWCONS_FOLLOWER)
    become_follower(c, m->term, m->from);
  c->leader = m->from;
  c->heard_leader = c->now;
  plan_election(c);
}

/* Entries follow m->index one by one. */
static int is_well_formed(const Pw__Cons *m) {
  for (size_t i = 0; i < m->n_entries; i++)
    if (m->entries[i]->index != m->index + 1 + i)
      return 0;
  return 1;
}

static void on_append(pw_cons *c, const Pw__Cons *m) {
  if (!is_well_formed(m))
    return;
  if (m->term < c->term) {
    reply_append(c, m, 0, 1);
    return;
  }
  hear_leader(c, m);
  int known = m->index <= c->log.snapshot->index ||
              (m->index <= pwconslog_last(&c->log) &&
               pwconslog_term(&c->log, m->index) == m->log_term);
  if (!known) {
    Pw__Cons *r = reply_append(c, m, m->index, 1);
    if (r->hint >= m->index && m->index > 0)
      r->hint = m->index - 1;
    if (r->hint < c->commit)
      r->hint = c->commit;
    return;
  }
  uint64_t matched = take_entries(c, m);
  uint64_t to = m->commit < matched ? m->commit : matched;
  if (PW_MUTATION == MUT_COMMIT_AHEAD) {
    uint64_t last = pwconslog_last(&c->log);
    to = m->commit < last ? m->commit : last;
  }
  if (to > c->commit)
    c->commit = to;
  reply_append(c, m, matched, 0);
}

static void on_snapshot(pw_cons *c, const Pw__Cons *m) {
  if (m->term < c->term || !m->snapshot) {
    reply_append(c, m, 0, 1);
    return;
  }
  hear_leader(c, m);
  uint64_t index = m->snapshot->index;
  if (index <= c->commit) {
    reply_append(c, m, c->commit, 0);
    return;
  }
  int keep = pwconslog_term(&c->log, index) == m->snapshot->term;
  pwconslog_compact(&c->log, pwcons_copy_snapshot(m->snapshot), !keep);
  c->commit = index;
  c->applied = index;
  c->synced = index;
  c->install_dirty = 1;
  reload_config(c);
  reply_append(c, m, index, 0);
}

static void on_append_reply(pw_cons *c, const Pw__Cons *m) {
  if (m->term > c->term) {
    become_follower(c, m->term, 0);
    return;
  }
  progress *p = peer_of(c, m->from);
  if (c->role != PWCONS_LEADER || m->term != c->term || !p)
    return;
  p->heard = c->now;
  if ((int64_t)m->round > p->round)
    p->round = (int64_t)m->round;
  if (m->reject) {
    if (m->hint + 1 < p->next)
      p->next = m->hint + 1 > p->match ? m->hint + 1 : p->match + 1;
    send_append(c, p);
    return;
  }
  if (m->index > p->match)
    p->match = m->index;
  if (p->next <= p->match)
    p->next = p->match + 1;
  advance_commit(c);
  if (p->next <= pwconslog_last(&c->log) && c->role == PWCONS_LEADER)
    send_append(c, p);
}

void pwcons_step(pw_cons *c, int64_t now, const Pw__Cons *m) {
  if (now > c->now)
    c->now = now;
  if (m->to != c->id)
    return;
  switch (m->type) {
  case PWCONS_PREVOTE:
    on_prevote(c, m);
    break;
  case PWCONS_PREVOTE_REPLY:
    on_vote_reply(c, m, 1);
    break;
  case PWCONS_VOTE:
    on_vote(c, m);
    break;
  case PWCONS_VOTE_REPLY:
    on_vote_reply(c, m, 0);
    break;
  case PWCONS_APPEND:
    on_append(c, m);
    break;
  case PWCONS_APPEND_REPLY:
    on_append_reply(c, m);
    break;
  case PWCONS_SNAPSHOT:
    on_snapshot(c, m);
    break;
  case PWCONS_TIMEOUT_NOW:
    if (m->term == c->term && is_voter(c, c->id))
      campaign(c, 0, 1);
    break;
  default:
    break;
  }
}

/* A leader that no quorum has answered within the lease steps down. */
static void check_quorum(pw_cons *c) {
  int n = 0;
  for (int i = 0; i < c->npeers; i++) {
    const progress *p = &c->peer[i];
    if (is_voter(c, p->id))
      n += p->id == c->id || c->now - p->heard < c->lease;
  }
  if (n < quorum(c))
    become_follower(c, c->term, 0);
}

void pwcons_tick(pw_cons *c, int64_t now) {
  if (now > c->now)
    c->now = now;
  if (c->role == PWCONS_LEADER) {
    check_quorum(c);
    if (c->transferring && c->now - c->since > c->lease)
      become_follower(c, c->term, 0);
    if (c->role == PWCONS_LEADER && c->now >= c->beat_at)
      broadcast(c);
    return;
  }
  if (c->now >= c->election_at) {
    if (is_voter(c, c->id))
      campaign(c, 1, 0);
    else
      plan_election(c);
  }
}

pw_code pwcons_propose(pw_cons *c, const void *data, size_t len,
                       uint64_t *index, uint64_t *term) {
  if (c->role != PWCONS_LEADER || c->transferring)
    return PW_E_NOT_LEADER;
  append_own(c, PWCONS_COMMAND, data, len);
  *index = pwconslog_last(&c->log);
  *term = c->term;
  return PW_OK;
}

/* How many voters differ between two configurations. */
static int voters_changed(const pw_cons_config *a, const pw_cons_config *b) {
  int changed = 0;
  for (int side = 0; side < 2; side++) {
    const pw_cons_config *x = side ? b : a;
    const pw_cons_config *y = side ? a : b;
    for (int i = 0; i < x->n; i++) {
      int found = !x->m[i].voter;
      for (int j = 0; j < y->n; j++)
        found |= y->m[j].id == x->m[i].id && y->m[j].voter;
      changed += !found;
    }
  }
  return changed;
}

pw_code pwcons_propose_config(pw_cons *c, const pw_cons_config *config) {
  if (c->role != PWCONS_LEADER || c->transferring)
    return PW_E_NOT_LEADER;
  if (c->commit < c->noop_index || c->config_index > c->commit)
    return PW_E_CONFLICT;
  if (voters_changed(&c->config, config) > 1 && PW_MUTATION != MUT_BIG_CHANGE)
    return PW_E_CONFLICT;
  Pw__Config *packed;
  pwcons_config_pack(config, &packed);
  size_t n = pw__config__get_packed_size(packed);
  uint8_t *bytes = pw_alloc(n);
  pw__config__pack(packed, bytes);
  append_own(c, PWCONS_CONFIG, bytes, n);
  free(bytes);
  pw__config__free_unpacked(packed, NULL);
  reload_config(c);
  return PW_OK;
}

/* New entries of a leader go out with the next ready, not the next beat. */
static void send_fresh(pw_cons *c) {
  if (c->role != PWCONS_LEADER)
    return;
  uint64_t last = pwconslog_last(&c->log);
  for (int i = 0; i < c->npeers; i++) {
    progress *p = &c->peer[i];
    if (p->id != c->id && p->next <= last && p->next <= p->match + AHEAD_MAX &&
        p->next > c->log.snapshot->index)
      send_append(c, p);
  }
}

int pwcons_ready(pw_cons *c, pw_cons_ready *r) {
  send_fresh(c);
  uint64_t last = pwconslog_last(&c->log);
  *r = (pw_cons_ready){.term = c->term, .vote = c->vote};
  free(c->fresh);
  c->fresh = NULL;
  r->install = c->install_dirty ? c->log.snapshot : NULL;
  if (last > c->synced) {
    r->nentries = (size_t)(last - c->synced);
    c->fresh = pw_alloc(sizeof(Pw__Entry *) * r->nentries);
    for (size_t i = 0; i < r->nentries; i++)
      c->fresh[i] = pwconslog_at(&c->log, c->synced + 1 + i);
    r->entries = c->fresh;
  }
  r->must_sync = c->hard_dirty || r->nentries || r->install;
  r->early = c->early.m;
  r->nearly = c->early.n;
  r->late = c->late.m;
  r->nlate = c->late.n;
  c->ready_last = last;
  c->ready_term = pwconslog_term(&c->log, last);
  return r->must_sync || r->nearly || r->nlate;
}

void pwcons_advance(pw_cons *c) {
  clear_box(&c->early);
  clear_box(&c->late);
  c->hard_dirty = 0;
  c->install_dirty = 0;
  if (pwconslog_term(&c->log, c->ready_last) == c->ready_term)
    c->synced = c->ready_last;
  advance_commit(c);
}

const Pw__Entry *pwcons_next(pw_cons *c) {
  if (c->applied >= c->commit)
    return NULL;
  const Pw__Entry *e = pwconslog_at(&c->log, c->applied + 1);
  if (e)
    c->applied++;
  return e;
}

void pwcons_compact(pw_cons *c, uint64_t index, const void *state, size_t len) {
  assert(index <= c->applied);
  if (index <= c->log.snapshot->index)
    return;
  Pw__Snapshot *s = pw_alloc(sizeof *s);
  pw__snapshot__init(s);
  s->index = index;
  s->group = c->log.snapshot->group;
  s->term = pwconslog_term(&c->log, index);
  pw_cons_config config;
  pwconslog_config(&c->log, index, &config);
  pwcons_config_pack(&config, &s->config);
  s->state.len = len;
  s->state.data = len ? pw_memdup(state, len) : NULL;
  pwconslog_compact(&c->log, s, 0);
}

Pw__Entry **pwcons_entries(const pw_cons *c, size_t *n) {
  *n = c->log.n;
  return c->log.entry;
}

const Pw__Snapshot *pwcons_snapshot(const pw_cons *c) {
  return c->log.snapshot;
}

int pwcons_hand_over(pw_cons *c, int64_t now) {
  if (now > c->now)
    c->now = now;
  if (c->role != PWCONS_LEADER)
    return 0;
  const progress *best = NULL;
  for (int i = 0; i < c->npeers; i++) {
    const progress *p = &c->peer[i];
    if (p->id == c->id || !is_voter(c, p->id))
      continue;
    if (!best || p->match > best->match)
      best = p;
  }
  if (!best || best->match < c->commit || c->now - best->heard > c->lease)
    return 0;
  c->transferring = 1;
  c->since = c->now;
  send(c, &c->late, PWCONS_TIMEOUT_NOW, best->id);
  return 1;
}

int pwcons_lease(const pw_cons *c, int64_t now) {
  if (c->role != PWCONS_LEADER || c->commit < c->noop_index || c->transferring)
    return 0;
  if (PW_MUTATION == MUT_LEASE_FOREVER)
    return 1;
  int64_t length = c->lease * LEASE_NUM / LEASE_DEN;
  int n = 0;
  for (int i = 0; i < c->npeers; i++) {
    const progress *p = &c->peer[i];
    if (is_voter(c, p->id))
      n += p->id == c->id || now < p->round + length;
  }
  return n >= quorum(c);
}

int64_t pwcons_silence(const pw_cons *c) {
  return c->role == PWCONS_LEADER ? 0 : c->now - c->heard_leader;
}

int64_t pwcons_peer_silence(const pw_cons *c, uint64_t id) {
  if (id == c->id)
    return 0;
  for (int i = 0; i < c->npeers; i++)
    if (c->peer[i].id == id)
      return c->now - c->peer[i].heard;
  return INT64_MAX;
}

int pwcons_caught_up(const pw_cons *c, uint64_t id) {
  for (int i = 0; i < c->npeers; i++)
    if (c->peer[i].id == id)
      return c->role == PWCONS_LEADER && c->peer[i].match >= c->commit &&
             c->peer[i].match >= c->noop_index;
  return 0;
}

pw_cons_role pwcons_role(const pw_cons *c) {
  return c->role;
}

uint64_t pwcons_term(const pw_cons *c) {
  return c->term;
}

uint64_t pwcons_leader(const pw_cons *c) {
  return c->leader;
}

uint64_t pwcons_commit(const pw_cons *c) {
  return c->commit;
}

uint64_t pwcons_last(const pw_cons *c) {
  return pwconslog_last(&c->log);
}

const pw_cons_config *pwcons_config(const pw_cons *c) {
  return &c->config;
}

pw_cons *pwcons_new(const pw_cons_setup *s) {
  pw_cons *c = pw_alloc(sizeof *c);
  c->id = s->id;
  c->seed = s->seed;
  c->now = s->now;
  c->heartbeat = s->heartbeat;
  c->retry = s->retry;
  c->lease = s->lease;
  c->batch = s->batch ? s->batch : BATCH_MAX;
  c->term = s->term;
  c->vote = s->vote;
  pwconslog_init(&c->log, pwcons_copy_snapshot(s->snapshot), s->entries,
                 s->nentries);
  c->commit = s->snapshot->index;
  c->applied = c->commit;
  c->synced = pwconslog_last(&c->log);
  c->heard_leader = s->now; /* it may have promised a lease before it stopped */
  reload_config(c);
  plan_election(c);
  if (c->config.n == 1 && is_voter(c, c->id)) {
    c->heard_leader = s->now - s->lease;
    campaign(c, 0, 0);
  }
  return c;
}

void pwcons_free(pw_cons *c) {
  if (!c)
    return;
  clear_box(&c->early);
  clear_box(&c->late);
  free(c->early.m);
  free(c->late.m);
  free(c->fresh);
  pwconslog_free(&c->log);
  free(c);
}
