/* pwgroup.c: a control instance's part in its group. */
#include "pwgroup.h"

#include "pwbuf.h"
#include "pwlog.h"
#include "pwmember.h"
#include "pwstore.h"

#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define MS_PER_S 1000
#define JOIN_MS 200
#define FULL_RETRY_MS 200 /* a full disk is tried again so often */
#define FULL_HAND_OVER_MS 50
#define ENTRY_OVERHEAD 256 /* bytes of a record besides the command */

/* Someone reached by address: listed in the settings or in a configuration. */
typedef struct contact {
  char addr[PWCONS_ADDR];
  pw_peer peer;
  uint32_t slot; /* of the settings' list; 0: not listed */
  uint64_t id;   /* told by Join while it is not in a group */
  int is_empty;  /* it said it is in no group */
  char http[PWCONS_ADDR];
  struct contact *next;
} contact;

struct pw_group {
  pw_proc *p;
  pw_sock *sock;
  pw_group_calls calls;
  pw_store *store;
  pw_state *state;
  pw_cons *cons; /* NULL while not in a group */
  uint64_t id;
  uint32_t slot;
  contact *contacts;
  int listed; /* contacts of the settings besides this one */
  int may_found;
  int by_seeds; /* the settings name seeds, not peers */
  int64_t join_at;
  int was_leader;
  int disk_full;
  int64_t full_until;     /* the disk is not tried again before, ms */
  pw_cons_member joining; /* learner to add; id 0: none */
  uint64_t applied;
};

const pw_state *pwgroup_state(const pw_group *g) {
  return g->state;
}

/* --- contacts --- */

static contact *contact_of(pw_group *g, const char *addr) {
  for (contact *c = g->contacts; c; c = c->next)
    if (!strcmp(c->addr, addr))
      return c;
  contact *c = pw_alloc(sizeof *c);
  pw_copy(c->addr, sizeof c->addr, addr);
  pwwire_dial(g->sock, addr, &c->peer);
  c->next = g->contacts;
  g->contacts = c;
  return c;
}

static void send_to(pw_group *g, const char *addr, Pw__Envelope *e) {
  if (addr[0])
    pwwire_send(g->sock, &contact_of(g, addr)->peer, e);
}

/* Reads "ID=tcp://IP:PORT" items of control.peers. */
static int read_peers(pw_group *g, pw_buf *err) {
  const pw_list *l = &g->p->set->control_peers;
  for (int i = 0; i < l->n; i++) {
    unsigned slot;
    char addr[PWCONS_ADDR];
    if (sscanf(l->item[i], "%u=%63s", &slot, addr) != 2) {
      pwbuf_fmt(err, "control.peers: \"%s\": ID=tcp://IP:PORT is allowed\n",
                l->item[i]);
      return -1;
    }
    if (slot == g->slot)
      continue;
    contact_of(g, addr)->slot = slot;
    g->listed++;
  }
  return 0;
}

/* Instances that seeds name have no number: their address stands for it. */
static uint32_t slot_of(const char *addr) {
  uint32_t slot = (uint32_t)XXH3_64bits(addr, strlen(addr));
  return slot ? slot : 1;
}

/* Reads "IP:PORT" items of control.seeds: the HTTP of instances whose wire is
** at control.seed_port. */
static int read_seeds(pw_group *g, pw_buf *err) {
  const pw_settings *set = g->p->set;
  g->by_seeds = 1;
  g->may_found = 0;
  g->slot = slot_of(set->control_wire);
  for (int i = 0; i < set->control_seeds.n; i++) {
    char ip[48], addr[PWCONS_ADDR];
    if (sscanf(set->control_seeds.item[i], "%40[0-9.]:", ip) != 1) {
      pwbuf_fmt(err, "control.seeds: \"%s\": IP:PORT is allowed\n",
                set->control_seeds.item[i]);
      return -1;
    }
    snprintf(addr, sizeof addr, "tcp://%s:%d", ip, (int)set->control_seed_port);
    if (!strcmp(addr, set->control_wire)) {
      g->may_found = set->control_found != 0;
      continue;
    }
    contact_of(g, addr)->slot = slot_of(addr);
    g->listed++;
  }
  return 0;
}

/* --- joining and founding a group --- */

static pw_cons_member self(const pw_group *g) {
  pw_cons_member m = {.id = g->id, .slot = g->slot, .voter = 1};
  pw_copy(m.addr, sizeof m.addr, g->p->set->control_wire);
  pw_copy(m.http, sizeof m.http, g->p->set->control_http);
  return m;
}

static pw_code begin(pw_group *g, const pw_store_state *st, int64_t now) {
  uint64_t seed;
  randombytes_buf(&seed, sizeof seed);
  pw_cons_setup s = {.id = g->id,
                     .seed = seed,
                     .now = now,
                     .heartbeat = g->p->set->control_heartbeat,
                     .retry = g->p->set->control_retry,
                     .lease = g->p->set->control_lease,
                     .term = st->term,
                     .vote = st->vote,
                     .snapshot = st->snapshot,
                     .entries = st->entries,
                     .nentries = st->nentries};
  if (st->snapshot->state.len) {
    pw_code rc = pwstate_load(g->state, st->snapshot->state.data,
                              st->snapshot->state.len);
    if (rc != PW_OK)
      return rc;
  }
  g->applied = st->snapshot->index;
  g->cons = pwcons_new(&s);
  return PW_OK;
}

/* First term of a group founded now. Terms fence orders at targets, which may
** remember a group that was lost: a group founded later counts from later on.
** Elections are seconds apart, so no group's terms overtake the clock. */
static uint64_t first_term(void) {
  return (uint64_t)pwclock_wall_ms() / MS_PER_S;
}

/* Starts from nothing under the given configuration; term 0: the group is there
** already, and will tell. */
static pw_code found(pw_group *g, const pw_cons_config *config, uint64_t number,
                     uint64_t term, int64_t now) {
  Pw__Snapshot s = PW__SNAPSHOT__INIT;
  pwcons_config_pack(config, &s.config);
  s.group = number;
  pw_code rc = pwstore_snapshot(g->store, &s, term, 0, NULL, 0);
  if (rc == PW_OK) {
    pw_store_state st = {.snapshot = &s, .term = term};
    rc = begin(g, &st, now);
  }
  pw__config__free_unpacked(s.config, NULL);
  pwevent_add(g->p->events, PWE_MEMBER, rc, NULL, NULL, NULL,
              "in a group of %d", config->n);
  pwlog(LOG_NOTICE, "group-joined", "members=%d", config->n);
  return rc;
}

/* The same at every founder: from the ids of their disks. */
static uint64_t number_of(const pw_cons_config *config) {
  uint64_t number = 0;
  for (int i = 0; i < config->n; i++)
    number =
        XXH3_64bits_withSeed(&config->m[i].id, sizeof config->m[i].id, number);
  return number ? number : 1;
}

static int by_slot(const void *a, const void *b) {
  const pw_cons_member *x = a;
  const pw_cons_member *y = b;
  return (x->slot > y->slot) - (x->slot < y->slot);
}

/* Only when every listed instance has said that it is empty: an instance that
** does not answer may hold what was accepted. */
static pw_code try_found(pw_group *g, int64_t now) {
  pw_cons_config config = {0};
  if (!g->may_found)
    return PW_OK;
  config.m[config.n++] = self(g);
  for (contact *c = g->contacts; c; c = c->next) {
    if (!c->slot) /* not of the settings' list */
      continue;
    if (!c->is_empty || config.n == PWCONS_MEMBERS)
      return PW_OK;
    pw_cons_member *m = &config.m[config.n++];
    *m = (pw_cons_member){.id = c->id, .slot = c->slot, .voter = 1};
    pw_copy(m->addr, sizeof m->addr, c->addr);
    pw_copy(m->http, sizeof m->http, c->http);
  }
  if (config.n != g->listed + 1)
    return PW_OK;
  qsort(config.m, (size_t)config.n, sizeof config.m[0], by_slot);
  return found(g, &config, number_of(&config), first_term(), now);
}

/* A voter by its own log may have been removed, and all that it knows have
** moved: it asks the seeds too. */
#define LOST_LEASES 3

static int seeks(const pw_group *g) {
  int64_t lease = g->p->set->control_lease;
  if (!g->cons)
    return 0;
  return pwmember_seeks(g->cons, g->id, lease) ||
         (g->by_seeds && pwcons_silence(g->cons) > LOST_LEASES * lease);
}

static void send_join(pw_group *g, const char *addr, int reply) {
  Pw__Join j = PW__JOIN__INIT;
  j.id = g->id;
  j.slot = g->slot;
  j.addr = g->p->set->control_wire;
  j.http = g->p->set->control_http;
  j.reply = reply;
  j.initialised = g->cons != NULL;
  j.learner = seeks(g);
  j.group = pwgroup_number(g);
  if (g->cons)
    pwcons_config_pack(pwcons_config(g->cons), &j.config);
  Pw__Envelope e = PW_ENVELOPE(JOIN, join, &j);
  send_to(g, addr, &e);
  if (j.config)
    pw__config__free_unpacked(j.config, NULL);
}

/* The leader takes note of one that is in no configuration: it becomes a
** learner, and counts in no quorum until it has caught up. */
static void note_joining(pw_group *g, const Pw__Join *j) {
  if (!pwgroup_is_leader(g) || pwmember_has(pwcons_config(g->cons), j->id))
    return;
  g->joining = (pw_cons_member){.id = j->id, .slot = j->slot};
  pw_copy(g->joining.addr, sizeof g->joining.addr, j->addr);
  pw_copy(g->joining.http, sizeof g->joining.http, j->http);
}

/* Seeds may be stale: whoever answers knows the others. */
static void learn_contacts(pw_group *g, const Pw__Config *config) {
  for (size_t i = 0; config && i < config->n_members; i++)
    if (strcmp(config->members[i]->addr, g->p->set->control_wire) != 0)
      contact_of(g, config->members[i]->addr);
}

static void on_join(pw_group *g, const Pw__Join *j, int64_t now) {
  if (!j->reply)
    send_join(g, j->addr, 1);
  if (g->by_seeds)
    learn_contacts(g, j->config);
  if (g->cons) {
    if (!j->initialised || j->learner)
      note_joining(g, j);
    return;
  }
  contact *c = contact_of(g, j->addr);
  c->id = j->id;
  c->is_empty = !j->initialised;
  pw_copy(c->http, sizeof c->http, j->http);
  pw_cons_config config;
  pwcons_config_unpack(j->config, &config);
  if (j->initialised && pwmember_has(&config, g->id))
    found(g, &config, j->group, 0, now);
}

/* --- changes of the group, one at a time --- */

static void manage_members(pw_group *g) {
  pw_cons_config next;
  if (!pwgroup_is_leader(g))
    return;
  if (pwmember_has(pwcons_config(g->cons), g->joining.id))
    g->joining.id = 0;
  int size = g->by_seeds ? 2 * (int)g->p->set->control_losses + 1 : 0;
  const char *what = pwmember_next(g->cons, &g->joining,
                                   g->p->set->control_lease, size, &next);
  if (!what || pwcons_propose_config(g->cons, &next) != PW_OK)
    return;
  pwevent_add(g->p->events, PWE_MEMBER, 0, NULL, NULL, NULL, "%s, members=%d",
              what, next.n);
  pwlog(LOG_NOTICE, "group-change", "what=%s members=%d", what, next.n);
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

/* With a full disk an instance takes no part: others lead and count. What waits
** to be stored is tried again when there is room. */
static int is_passive(pw_group *g, int64_t now) {
  if (!g->disk_full)
    return 0;
  if (now < g->full_until)
    return now >= g->full_until - FULL_RETRY_MS;
  g->full_until = now + FULL_RETRY_MS;
  return !has_room(g, 0);
}

void pwgroup_message(pw_group *g, const Pw__Envelope *e, int64_t now) {
  if (e->body_case == PW__ENVELOPE__BODY_JOIN) {
    on_join(g, e->join, now);
    return;
  }
  if (e->body_case != PW__ENVELOPE__BODY_CONS || !g->cons || is_passive(g, now))
    return;
  const Pw__Cons *m = e->cons;
  if (m->n_entries && !has_room(g, pw__cons__get_packed_size(m)))
    return; /* not taken, so not acknowledged */
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
  if (!has_room(g, n)) { /* the one that takes over is told before it rests */
    pwcons_hand_over(g->cons, now);
    g->full_until = now + FULL_HAND_OVER_MS + FULL_RETRY_MS;
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
    send_to(g, addr, &e);
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
  g->calls.applied(g->calls.arg, e, outcome, claimed);
}

static pw_code take_snapshot(pw_group *g) {
  uint64_t since = pwcons_snapshot(g->cons)->index;
  if (g->applied - since < (uint64_t)g->p->set->control_snapshot_every)
    return PW_OK;
  size_t n;
  pwcons_shed(g->cons);
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
  set_disk_full(g, 1); /* the older snapshot and its log go on */
  return PW_OK;
}

static void note_role(pw_group *g) {
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
  g->calls.led(g->calls.arg, leader);
}

pw_code pwgroup_work(pw_group *g, int64_t now) {
  if (!g->cons)
    return try_found(g, now);
  pw_cons_ready r;
  if (is_passive(g, now))
    return PW_OK;
  while (pwcons_ready(g->cons, &r)) {
    send_all(g, r.early, r.nearly);
    pwcons_early_sent(g->cons);
    pw_code rc = store_ready(g, &r);
    if (rc == PW_E_DISK_FULL) {
      set_disk_full(g, 1);
      g->full_until = now + FULL_RETRY_MS;
      return PW_OK;
    }
    if (rc != PW_OK)
      return rc;
    if (r.must_sync)
      pwcount_add(g->p->counters, PWC_SYNCS, 1);
    send_all(g, r.late, r.nlate);
    pwcons_advance(g->cons);
  }
  const Pw__Entry *e;
  while ((e = pwcons_next(g->cons)) != NULL)
    apply(g, e);
  note_role(g);
  manage_members(g);
  return take_snapshot(g);
}

void pwgroup_tick(pw_group *g, int64_t now) {
  if (g->cons && !is_passive(g, now))
    pwcons_tick(g->cons, now);
  if ((g->cons && !seeks(g)) || now - g->join_at < JOIN_MS)
    return;
  g->join_at = now;
  for (contact *c = g->contacts; c; c = c->next)
    send_join(g, c->addr, 0);
}

/* --- the rest --- */

pw_code pwgroup_open(pw_proc *p, pw_sock *dialler, const pw_group_calls *calls,
                     pw_group **out, pw_buf *err) {
  pw_group *g = pw_alloc(sizeof *g);
  g->p = p;
  g->sock = dialler;
  g->calls = *calls;
  g->slot = (uint32_t)p->set->control_id;
  g->state = pwstate_new();
  g->may_found = 1;
  pw_store_state st = {0};
  int bad = p->set->control_seeds.n ? read_seeds(g, err) : read_peers(g, err);
  pw_code rc = bad ? PW_E_SETTINGS : PW_OK;
  if (rc == PW_OK)
    rc = pwstore_open(p->set->control_data_dir, g->slot, pwfile_posix(),
                      &g->store, &st, err);
  g->id = st.disk_id;
  int64_t now = pwclock_ms();
  if (rc == PW_OK && st.snapshot) {
    rc = begin(g, &st, now);
  } else if (rc == PW_OK && g->listed == 0 && g->may_found) {
    pw_cons_config config = {.n = 1, .m = {self(g)}};
    rc = found(g, &config, number_of(&config), first_term(), now);
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

int pwgroup_hand_over(pw_group *g, int64_t now) {
  return g->cons && pwcons_hand_over(g->cons, now);
}

int pwgroup_is_leader(const pw_group *g) {
  return g->cons && pwcons_role(g->cons) == PWCONS_LEADER;
}

/* What is committed must be applied too: a new leader may have learnt just now
** what the old one has accepted. */
int pwgroup_lease(const pw_group *g, int64_t now) {
  return g->cons && pwcons_lease(g->cons, now) &&
         g->applied >= pwcons_commit(g->cons);
}

int pwgroup_in_touch(const pw_group *g, int64_t now) {
  if (!g->cons)
    return 0;
  if (pwgroup_is_leader(g))
    return pwgroup_lease(g, now);
  return pwcons_leader(g->cons) != 0 &&
         pwcons_silence(g->cons) <= g->p->set->control_lease;
}

int pwgroup_members(const pw_group *g, char (*addr)[PW_NAME_MAX]) {
  int n = 0;
  if (!g->cons) {
    for (contact *c = g->contacts; c && n < PWCONS_MEMBERS; c = c->next)
      pw_copy(addr[n++], PW_NAME_MAX, c->addr);
    return n;
  }
  const pw_cons_config *c = pwcons_config(g->cons);
  for (; n < c->n; n++)
    pw_copy(addr[n], PW_NAME_MAX, c->m[n].addr);
  return n;
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
  return m ? m->http : "";
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
    json_array_append_new(list, json_pack("{s:i,s:s,s:s,s:s,s:b}", "id",
                                          (int)m->slot, "wire", m->addr, "http",
                                          m->http, "role", role, "caught_up",
                                          pwcons_caught_up(g->cons, m->id) ||
                                              m->id == pwcons_leader(g->cons)));
  }
  return list;
}
