/* pwgroup.c: a control instance's membership of the control group. */
#include "pwgroupint.h"

#include "pwbuf.h"
#include "pwlog.h"
#include "pwmember.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Interval of Join messages, ms; the second one while the group has as many
** members as it may have. */
#define JOIN_MS 200
#define JOIN_SLOW_MS 1000
#define DISK_RETRY_MS 200 /* interval at which a full disk is tried again */
/* A leader whose disk is full stays active for this time to transfer its
** leadership, ms. */
#define TRANSFER_MS 50
#define ENTRY_OVERHEAD 256 /* bytes of a log record besides the command */

const pw_state *pwgroup_state(const pw_group *g) {
  return g->state;
}

/* --- messages --- */

static void set_disk_full(pw_group *g, int full) {
  if (g->disk_full != full)
    pwlog(full ? LOG_CRIT : LOG_NOTICE, full ? "disk-full" : "disk-has-room",
          "%s", "");
  g->disk_full = full;
}

static int has_room(pw_group *g, size_t bytes) {
  int full = pwstore_reserve(g->store, bytes + ENTRY_OVERHEAD) != PW_OK;
  set_disk_full(g, full);
  return !full;
}

/* An instance with a full disk takes no part in the consensus, so that the
** others elect a leader and form the quorum. Entries that wait to be
** stored are tried again at intervals. */
static int is_passive(pw_group *g, int64_t now) {
  if (!g->disk_full)
    return 0;
  if (now < g->disk_retry_at)
    return now >= g->disk_retry_at - DISK_RETRY_MS;
  g->disk_retry_at = now + DISK_RETRY_MS;
  return !has_room(g, 0);
}

void pwgroup_message(pw_group *g, const Pw__Envelope *e, int64_t now) {
  if (e->body_case == PW__ENVELOPE__BODY_JOIN) {
    pwgi_on_join(g, e->join, now);
    return;
  }
  if (e->body_case != PW__ENVELOPE__BODY_CONS || !g->cons || is_passive(g, now))
    return;
  const Pw__Cons *m = e->cons;
  if (m->n_entries && !has_room(g, pw__cons__get_packed_size(m)))
    return; /* not stored, so not acknowledged */
  pwcons_step(g->cons, now, m);
}

pw_code pwgroup_propose(pw_group *g, const Pw__Command *cmd, uint64_t *index,
                        uint64_t *term) {
  if (!g->cons || pwcons_role(g->cons) != PWCONS_LEADER)
    return PW_E_NOT_LEADER;
  size_t n = pw__command__get_packed_size(cmd);
  int64_t now = pwclock_ms();
  if (is_passive(g, now))
    return PW_E_DISK_FULL;
  /* the transfer message is sent before this instance becomes passive */
  if (!has_room(g, n)) {
    pwcons_transfer_leadership(g->cons, now);
    g->disk_retry_at = now + TRANSFER_MS + DISK_RETRY_MS;
    return PW_E_DISK_FULL;
  }
  uint8_t *bytes = pw_alloc(n);
  pw__command__pack(cmd, bytes);
  pw_code rc = pwcons_propose(g->cons, bytes, n, index, term);
  free(bytes);
  return rc;
}

/* --- work --- */

static void send_all(pw_group *g, Pw__Cons **list, size_t n) {
  const pw_cons_config *config = pwcons_config(g->cons);
  for (size_t i = 0; i < n; i++) {
    const char *addr = "";
    for (int k = 0; k < config->n; k++)
      if (config->m[k].id == list[i]->to)
        addr = config->m[k].addr;
    Pw__Envelope e = PW_ENVELOPE(CONS, cons, list[i]);
    pwgi_send(g, addr, &e);
  }
}

static pw_code store_ready(pw_group *g, const pw_cons_ready *r) {
  if (r->install) {
    pw_code rc =
        pwstate_load(g->state, r->install->state.data, r->install->state.len);
    if (rc != PW_OK)
      return rc;
    g->applied = r->install->index;
    pwevent_add(g->p->events, PWE_SNAPSHOT, 0, NULL, NULL, NULL,
                "installed index=%llu", (unsigned long long)g->applied);
    return pwstore_snapshot(g->store, r->install, r->term, r->vote, r->entries,
                            r->nentries);
  }
  if (!r->must_sync)
    return PW_OK;
  return pwstore_append(g->store, r->term, r->vote, r->entries, r->nentries);
}

static void apply(pw_group *g, const Pw__Entry *e) {
  Pw__Outcome *outcome = NULL;
  Pw__Claimed *claimed = NULL;
  g->applied = e->index;
  if (e->kind == PWCONS_COMMAND) {
    Pw__Command *cmd = pw__command__unpack(NULL, e->data.len, e->data.data);
    if (cmd) {
      pwstate_apply(g->state, cmd, &outcome, &claimed);
      pw__command__free_unpacked(cmd, NULL);
    }
  }
  g->callbacks.applied(g->callbacks.arg, e, outcome, claimed);
}

static pw_code take_snapshot(pw_group *g) {
  uint64_t since = pwcons_snapshot(g->cons)->index;
  if (g->applied - since < (uint64_t)g->p->set->control_snapshot_every)
    return PW_OK;
  size_t n;
  pwcons_free_snapshot_state(g->cons);
  uint8_t *bytes = pwstate_save(g->state, &n);
  pwcons_compact(g->cons, g->applied, bytes, n);
  size_t count;
  Pw__Entry **entries = pwcons_entries(g->cons, &count);
  pw_cons_ready r;
  pwcons_ready(g->cons, &r);
  pwevent_add(g->p->events, PWE_SNAPSHOT, 0, NULL, NULL, NULL,
              "taken index=%llu", (unsigned long long)g->applied);
  pw_code rc = pwstore_snapshot(g->store, pwcons_snapshot(g->cons), r.term,
                                r.vote, entries, count);
  if (rc != PW_E_DISK_FULL)
    return rc;
  set_disk_full(g, 1); /* the older snapshot and its log stay in use */
  return PW_OK;
}

static void report_role(pw_group *g) {
  int leader = pwgroup_is_leader(g);
  if (leader == g->was_leader)
    return;
  g->was_leader = leader;
  pwevent_add(g->p->events, leader ? PWE_LEADER : PWE_FOLLOWER, 0, NULL, NULL,
              NULL, "term=%llu", (unsigned long long)pwgroup_term(g));
  pwlog(LOG_NOTICE, leader ? "leader" : "follower", "term=%llu",
        (unsigned long long)pwgroup_term(g));
  if (leader)
    pwcount_add(g->p->counters, PWC_ELECTIONS, 1);
  g->callbacks.role_changed(g->callbacks.arg, leader);
}

pw_code pwgroup_work(pw_group *g, int64_t now) {
  if (!g->cons)
    return pwgi_try_found(g, now);
  pw_cons_ready r;
  if (is_passive(g, now))
    return PW_OK;
  while (pwcons_ready(g->cons, &r)) {
    send_all(g, r.early, r.n_early);
    pwcons_early_sent(g->cons);
    pw_code rc = store_ready(g, &r);
    if (rc == PW_E_DISK_FULL) {
      set_disk_full(g, 1);
      g->disk_retry_at = now + DISK_RETRY_MS;
      return PW_OK;
    }
    if (rc != PW_OK)
      return rc;
    if (r.must_sync)
      pwcount_add(g->p->counters, PWC_SYNCS, 1);
    send_all(g, r.late, r.n_late);
    pwcons_advance(g->cons);
  }
  const Pw__Entry *e;
  while ((e = pwcons_next_committed(g->cons)) != NULL)
    apply(g, e);
  report_role(g);
  pwgi_manage_members(g);
  return take_snapshot(g);
}

void pwgroup_tick(pw_group *g, int64_t now) {
  if (g->cons && !is_passive(g, now))
    pwcons_tick(g->cons, now);
  int interval = g->known_members.n == PWCONS_MEMBERS ? JOIN_SLOW_MS : JOIN_MS;
  if ((g->cons && !pwgi_must_join(g)) || now - g->join_sent_at < interval)
    return;
  g->join_sent_at = now;
  for (contact *c = g->contacts; c; c = c->next)
    pwgi_send_join(g, c->addr, 0);
}

/* --- start, stop and state --- */

pw_code pwgroup_open(pw_proc *p, pw_sock *dialler,
                     const pw_group_callbacks *callbacks, pw_group **out,
                     pw_buf *err) {
  pw_group *g = pw_alloc(sizeof *g);
  g->p = p;
  g->sock = dialler;
  g->callbacks = *callbacks;
  g->slot = (uint32_t)p->set->control_id;
  g->state = pwstate_new();
  g->may_found = 1;
  pw_store_state st = {0};
  int is_invalid = p->set->control_seeds.n ? pwgi_read_seeds(g, err)
                                           : pwgi_read_peers(g, err);
  pw_code rc = is_invalid ? PW_E_SETTINGS : PW_OK;
  if (rc == PW_OK)
    rc = pwstore_open(p->set->control_data_dir, g->slot, pwfile_posix(),
                      &g->store, &st, err);
  g->id = st.disk_id;
  int64_t now = pwclock_ms();
  if (rc == PW_OK && st.snapshot) {
    rc = pwgi_begin(g, &st, now);
  } else if (rc == PW_OK && g->nlisted == 0 && g->may_found) {
    pw_cons_config config = {.n = 1, .m = {pwgi_self(g)}};
    rc = pwgi_found(g, &config, pwgi_number(&config), pwgi_first_term(), now);
  }
  pwstore_state_free(&st);
  if (rc != PW_OK) {
    pwbuf_fmt(err, "%s: %s\n", p->set->control_data_dir, pwcode_text(rc));
    pwgroup_close(g);
    return rc;
  }
  *out = g;
  return PW_OK;
}

void pwgroup_close(pw_group *g) {
  if (!g)
    return;
  while (g->contacts) {
    contact *c = g->contacts;
    g->contacts = c->next;
    free(c);
  }
  pwcons_free(g->cons);
  pwstore_close(g->store);
  pwstate_free(g->state);
  free(g);
}

int pwgroup_transfer_leadership(pw_group *g, int64_t now) {
  return g->cons && pwcons_transfer_leadership(g->cons, now);
}

int pwgroup_is_leader(const pw_group *g) {
  return g->cons && pwcons_role(g->cons) == PWCONS_LEADER;
}

/* A lease counts only once all that is committed is applied: a new leader
** may only just have learnt of entries that its predecessor accepted. */
int pwgroup_lease(const pw_group *g, int64_t now) {
  return g->cons && pwcons_holds_lease(g->cons, now) &&
         g->applied >= pwcons_commit(g->cons);
}

int pwgroup_has_contact(const pw_group *g, int64_t now) {
  if (!g->cons)
    return 0;
  if (pwgroup_is_leader(g))
    return pwgroup_lease(g, now);
  return pwcons_leader(g->cons) != 0 &&
         pwcons_silence(g->cons) <= g->p->set->control_lease;
}

int64_t pwgroup_leader_silence(const pw_group *g) {
  return pwgroup_is_member(g) ? pwcons_silence(g->cons) : 0;
}

int pwgroup_is_member(const pw_group *g) {
  return g->cons && !(pwgi_must_join(g) && g->known_members.n &&
                      !pwmember_has(&g->known_members, g->id));
}

static int list_members(const pw_cons_config *c, char (*addr)[PW_NAME_MAX]) {
  for (int i = 0; i < c->n; i++)
    pw_copy(addr[i], PW_NAME_MAX, c->m[i].addr);
  return c->n;
}

int pwgroup_members(const pw_group *g, char (*addr)[PW_NAME_MAX]) {
  int n = 0;
  if (pwgroup_is_member(g))
    return list_members(pwcons_config(g->cons), addr);
  if (g->known_members.n)
    return list_members(&g->known_members, addr);
  for (contact *c = g->contacts; c && n < PWCONS_MEMBERS; c = c->next)
    pw_copy(addr[n++], PW_NAME_MAX, c->addr);
  return n;
}

int pwgroup_may_found(const pw_group *g) {
  return !g->cons && g->may_found;
}

static const pw_cons_member *leader_member(const pw_group *g) {
  if (!g->cons)
    return NULL;
  const pw_cons_config *c = pwcons_config(g->cons);
  for (int i = 0; i < c->n; i++)
    if (c->m[i].id == pwcons_leader(g->cons))
      return &c->m[i];
  return NULL;
}

const char *pwgroup_leader_wire(const pw_group *g) {
  const pw_cons_member *m = leader_member(g);
  return m ? m->addr : "";
}

const char *pwgroup_leader_http(const pw_group *g) {
  const pw_cons_member *m = leader_member(g);
  if (!pwgroup_is_member(g))
    return g->known_leader;
  return m ? m->http : "";
}

uint64_t pwgroup_applied(const pw_group *g) {
  return g->applied;
}

void pwgroup_state_committed(const pw_group *g, pw_sock *sock,
                             const pw_peer *to) {
  if (!g->cons || !g->applied)
    return;
  Pw__Cons m;
  pwcons_state_committed(g->cons, g->applied, &m);
  Pw__Envelope e = PW_ENVELOPE(CONS, cons, &m);
  pwwire_send(sock, to, &e);
}

int pwgroup_send_to_leader(pw_group *g, Pw__Envelope *e) {
  const char *addr = pwgroup_leader_wire(g);
  if (!addr[0])
    return -1;
  pwgi_send(g, addr, e);
  return 0;
}

uint64_t pwgroup_term(const pw_group *g) {
  return g->cons ? pwcons_term(g->cons) : 0;
}

uint64_t pwgroup_number(const pw_group *g) {
  return g->cons ? pwcons_snapshot(g->cons)->group : 0;
}

json_t *pwgroup_json(const pw_group *g) {
  json_t *list = json_array();
  if (!g->cons)
    return list;
  const pw_cons_config *c = pwcons_config(g->cons);
  for (int i = 0; i < c->n; i++) {
    const pw_cons_member *m = &c->m[i];
    const char *role = !m->voter                         ? "learner"
                       : m->id == pwcons_leader(g->cons) ? "leader"
                                                         : "follower";
    json_array_append_new(
        list, json_pack("{s:i,s:s,s:s,s:s,s:b,s:I}", "id", (int)m->slot, "wire",
                        m->addr, "http", m->http, "role", role, "caught_up",
                        pwcons_caught_up(g->cons, m->id) ||
                            m->id == pwcons_leader(g->cons),
                        "silent_ms",
                        (json_int_t)pwcons_peer_silence(g->cons, m->id)));
  }
  return list;
}
