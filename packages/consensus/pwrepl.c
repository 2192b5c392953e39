/* pwrepl.c: replication: sending entries, storing received ones, committing. */
#include "pwconsint.h"

#include "pwbuf.h"

#include <assert.h>
#include <stdlib.h>

static void send_snapshot(pw_cons *c, pw_progress *p) {
  if (c->now - p->snapshot_sent_at < c->retry)
    return;
  p->snapshot_sent_at = c->now;
  Pw__Cons *m = pwci_send(c, &c->early, PWCONS_SNAPSHOT, p->id);
  m->snapshot = pwcons_copy_snapshot(c->log.snapshot);
  m->round = (uint64_t)c->now;
}

void pwci_send_append(pw_cons *c, pw_progress *p) {
  if (p->next <= c->log.snapshot->index) {
    send_snapshot(c, p);
    return;
  }
  uint64_t last = pwconslog_last(&c->log);
  size_t n = last >= p->next ? (size_t)(last - p->next + 1) : 0;
  if (n > c->batch)
    n = c->batch;
  if (p->next > p->match + UNACKED_MAX)
    n = 0;
  Pw__Cons *m = pwci_send(c, &c->early, PWCONS_APPEND, p->id);
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

void pwci_broadcast(pw_cons *c) {
  for (int i = 0; i < c->npeers; i++)
    if (c->peer[i].id != c->id)
      pwci_send_append(c, &c->peer[i]);
  c->heartbeat_at = c->now + c->heartbeat;
}

void pwci_append_own(pw_cons *c, pw_cons_kind kind, const void *data,
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

/* The highest index that a quorum of voters holds on disk. */
static uint64_t quorum_match(const pw_cons *c) {
  uint64_t stored[PWCONS_MEMBERS]; /* in descending order */
  int n = 0;
  for (int i = 0; i < c->npeers; i++) {
    const pw_progress *p = &c->peer[i];
    if (!pwci_is_voter(c, p->id))
      continue;
    uint64_t v = p->id == c->id ? c->synced : p->match;
    int j = n++;
    for (; j > 0 && stored[j - 1] < v; j--)
      stored[j] = stored[j - 1];
    stored[j] = v;
  }
  return n ? stored[pwci_quorum(c) - 1] : 0;
}

/* Counting replicas commits only entries of the current term; earlier entries are committed
** along with them. */
void pwci_advance_commit(pw_cons *c) {
  if (c->role != PWCONS_LEADER)
    return;
  uint64_t n = quorum_match(c);
  if (n <= c->commit)
    return;
  if (pwconslog_term(&c->log, n) != c->term &&
      PW_MUTATION != MUT_OLD_TERM_COMMIT)
    return;
  c->commit = n;
  if (c->config_index <= c->commit && !pwci_is_voter(c, c->id)) {
    pwci_broadcast(c);
    pwci_become_follower(c, c->term, 0);
  }
}

static Pw__Cons *reply_append(pw_cons *c, const Pw__Cons *m, uint64_t index,
                              int reject) {
  Pw__Cons *r = pwci_send(c, &c->late, PWCONS_APPEND_REPLY, m->from);
  r->index = index;
  r->reject = reject;
  r->round = m->round;
  r->hint = pwconslog_last(&c->log);
  return r;
}

/* Removes the entries from an index on, which conflict with the leader's. */
static void truncate_log(pw_cons *c, uint64_t index) {
  assert(index > c->commit);
  pwconslog_truncate(&c->log, index);
  if (c->synced >= index)
    c->synced = index - 1;
  pwci_reload_config(c);
}

/* Appends the new entries of a message. Returns the last index that is now known
** to match the leader's log. */
static uint64_t append_entries(pw_cons *c, const Pw__Cons *m) {
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
      truncate_log(c, e->index);
    }
    if (e->index != pwconslog_last(&c->log) + 1)
      return pwconslog_last(&c->log);
    pwconslog_append(&c->log, pwcons_copy_entry(e));
    config_seen |= e->kind == PWCONS_CONFIG;
  }
  if (config_seen)
    pwci_reload_config(c);
  return m->index + m->n_entries;
}

/* Follows the leader that sent a message of the current or a newer term. */
static void follow_leader(pw_cons *c, const Pw__Cons *m) {
  if (m->term > c->term || c->role != PWCONS_FOLLOWER)
    pwci_become_follower(c, m->term, m->from);
  c->leader = m->from;
  c->leader_contact_at = c->now;
  c->is_new = 0;
  pwci_reset_election_timer(c);
}

/* Whether the entries' indexes follow m->index without gaps. */
static int is_well_formed(const Pw__Cons *m) {
  for (size_t i = 0; i < m->n_entries; i++)
    if (m->entries[i]->index != m->index + 1 + i)
      return 0;
  return 1;
}

/* Commits up to an entry that is stated to be committed if this log has it: logs
** that have an entry of one term at an index are the same up to there. An entry of
** another term at that index is not committed and will be replaced. */
static void commit_stated(pw_cons *c, uint64_t index, uint64_t term) {
  if (c->role == PWCONS_LEADER || index <= c->commit)
    return;
  uint64_t have = pwconslog_term(&c->log, index);
  if (have && (have == term || PW_MUTATION == MUT_COMMIT_ANY_TERM))
    c->commit = index;
}

/* Only a member's statement counts: another group has another log. The newest one
** is kept for entries that have not arrived yet. */
void pwci_on_committed(pw_cons *c, const Pw__Cons *m) {
  if (!pwci_peer_of(c, m->from))
    return;
  if (m->index > c->stated_index) {
    c->stated_index = m->index;
    c->stated_term = m->log_term;
  }
  commit_stated(c, m->index, m->log_term);
}

void pwci_on_append(pw_cons *c, const Pw__Cons *m) {
  if (!is_well_formed(m))
    return;
  if (m->term < c->term) {
    reply_append(c, m, 0, 1);
    return;
  }
  follow_leader(c, m);
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
  uint64_t matched = append_entries(c, m);
  uint64_t to = m->commit < matched ? m->commit : matched;
  if (PW_MUTATION == MUT_COMMIT_AHEAD) {
    uint64_t last = pwconslog_last(&c->log);
    to = m->commit < last ? m->commit : last;
  }
  if (to > c->commit)
    c->commit = to;
  commit_stated(c, c->stated_index, c->stated_term);
  reply_append(c, m, matched, 0);
}

void pwci_on_snapshot(pw_cons *c, const Pw__Cons *m) {
  if (m->term < c->term || !m->snapshot) {
    reply_append(c, m, 0, 1);
    return;
  }
  follow_leader(c, m);
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
  pwci_reload_config(c);
  reply_append(c, m, index, 0);
}

void pwci_on_append_reply(pw_cons *c, const Pw__Cons *m) {
  if (m->term > c->term) {
    pwci_become_follower(c, m->term, 0);
    return;
  }
  pw_progress *p = pwci_peer_of(c, m->from);
  if (c->role != PWCONS_LEADER || m->term != c->term || !p)
    return;
  p->replied_at = c->now;
  if ((int64_t)m->round > p->echoed)
    p->echoed = (int64_t)m->round;
  if (m->reject) {
    if (m->hint + 1 < p->next)
      p->next = m->hint + 1 > p->match ? m->hint + 1 : p->match + 1;
    pwci_send_append(c, p);
    return;
  }
  if (m->index > p->match)
    p->match = m->index;
  if (p->next <= p->match)
    p->next = p->match + 1;
  pwci_advance_commit(c);
  if (p->next <= pwconslog_last(&c->log) && c->role == PWCONS_LEADER)
    pwci_send_append(c, p);
}
