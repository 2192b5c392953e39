/* pwjoin.c: membership of a control group: contacts, founding, joining and
** changes. */
#include "pwgroupint.h"

#include "pwbuf.h"
#include "pwlog.h"
#include "pwmember.h"

#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define MS_PER_S 1000

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

void pwgi_send(pw_group *g, const char *addr, Pw__Envelope *e) {
  if (addr[0])
    pwwire_send(g->sock, &contact_of(g, addr)->peer, e);
}

/* Reads "ID=tcp://IP:PORT" items of control.peers. */
int pwgi_read_peers(pw_group *g, pw_buf *err) {
  const pw_list *l = &g->p->set->control_peers;
  for (int i = 0; i < l->n; i++) {
    unsigned slot;
    char addr[PWCONS_ADDR];
    if (sscanf(l->item[i], "%u=%63s", &slot, addr) != 2) {
      pwbuf_fmt(err, "control.peers: \"%s\": expected ID=tcp://IP:PORT\n",
                l->item[i]);
      return -1;
    }
    if (slot == g->slot)
      continue;
    contact_of(g, addr)->slot = slot;
    g->nlisted++;
  }
  return 0;
}

/* Instances in control.seeds have no number: a hash of the address takes its
** place. */
static uint32_t slot_of(const char *addr) {
  uint32_t slot = (uint32_t)XXH3_64bits(addr, strlen(addr));
  return slot ? slot : 1;
}

/* Reads "IP:PORT" items of control.seeds. They are HTTP addresses; the wire
** address has the port control.seed_port. */
int pwgi_read_seeds(pw_group *g, pw_buf *err) {
  const pw_settings *set = g->p->set;
  g->uses_seeds = 1;
  g->may_found = 0;
  g->slot = slot_of(set->control_wire);
  for (int i = 0; i < set->control_seeds.n; i++) {
    char ip[48], addr[PWCONS_ADDR];
    if (sscanf(set->control_seeds.item[i], "%40[0-9.]:", ip) != 1) {
      pwbuf_fmt(err, "control.seeds: \"%s\": expected IP:PORT\n",
                set->control_seeds.item[i]);
      return -1;
    }
    snprintf(addr, sizeof addr, "tcp://%s:%d", ip, (int)set->control_seed_port);
    if (!strcmp(addr, set->control_wire)) {
      g->may_found = set->control_found != 0;
      continue;
    }
    contact_of(g, addr)->slot = slot_of(addr);
    g->nlisted++;
  }
  return 0;
}

/* --- joining and founding a group --- */

pw_cons_member pwgi_self(const pw_group *g) {
  pw_cons_member m = {.id = g->id, .slot = g->slot, .voter = 1};
  pw_copy(m.addr, sizeof m.addr, g->p->set->control_wire);
  pw_copy(m.http, sizeof m.http, g->p->set->control_http);
  return m;
}

pw_code pwgi_begin(pw_group *g, const pw_store_state *st, int64_t now) {
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
  /* from now on the instance's own configuration counts */
  g->known_members = (pw_cons_config){0};
  return PW_OK;
}

/* The first term of a group that is founded now, from the wall clock.
** Targets refuse orders of a lower term than they have seen, and may
** remember a group that was lost; so a group that is founded later must
** begin with a higher term. Elections are seconds apart, so the terms of a
** group never overtake the clock. */
uint64_t pwgi_first_term(void) {
  return (uint64_t)pwclock_wall_ms() / MS_PER_S;
}

/* Starts with an empty log under the given configuration; term 0: the group
** exists already and will send its log. */
pw_code pwgi_found(pw_group *g, const pw_cons_config *config, uint64_t number,
                   uint64_t term, int64_t now) {
  Pw__Snapshot s = PW__SNAPSHOT__INIT;
  pwcons_config_pack(config, &s.config);
  s.group = number;
  pw_code rc = pwstore_snapshot(g->store, &s, term, 0, NULL, 0);
  if (rc == PW_OK) {
    pw_store_state st = {.snapshot = &s, .term = term};
    rc = pwgi_begin(g, &st, now);
  }
  pw__config__free_unpacked(s.config, NULL);
  pwevent_add(g->p->events, PWE_MEMBER, rc, NULL, NULL, NULL,
              "in a group of %d", config->n);
  pwlog(LOG_NOTICE, "group-joined", "members=%d", config->n);
  return rc;
}

/* Every founder computes the same id, from the ids of the disks. */
uint64_t pwgi_number(const pw_cons_config *config) {
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

/* Founds the group only when every instance in the settings has reported
** that it is empty: an instance that does not answer may hold entries that
** were accepted. */
pw_code pwgi_try_found(pw_group *g, int64_t now) {
  pw_cons_config config = {0};
  if (!g->may_found)
    return PW_OK;
  config.m[config.n++] = pwgi_self(g);
  for (contact *c = g->contacts; c; c = c->next) {
    if (!c->slot) /* it is not in the settings */
      continue;
    if (!c->is_empty || config.n == PWCONS_MEMBERS)
      return PW_OK;
    pw_cons_member *m = &config.m[config.n++];
    *m = (pw_cons_member){.id = c->id, .slot = c->slot, .voter = 1};
    pw_copy(m->addr, sizeof m->addr, c->addr);
    pw_copy(m->http, sizeof m->http, c->http);
  }
  if (config.n != g->nlisted + 1)
    return PW_OK;
  qsort(config.m, (size_t)config.n, sizeof config.m[0], by_slot);
  return pwgi_found(g, &config, pwgi_number(&config), pwgi_first_term(), now);
}

/* An instance that is a voter by its own log may have been removed from the
** group since, and all members that it knows may have new addresses. Without
** contact for this many leases it asks the seeds, too. */
#define SILENT_LEASES 3

int pwgi_must_join(const pw_group *g) {
  int64_t lease = g->p->set->control_lease;
  if (!g->cons)
    return 0;
  return pwmember_must_join(g->cons, g->id, lease) ||
         (g->uses_seeds && pwcons_silence(g->cons) > SILENT_LEASES * lease);
}

void pwgi_send_join(pw_group *g, const char *addr, int reply) {
  Pw__Join j = PW__JOIN__INIT;
  j.id = g->id;
  j.slot = g->slot;
  j.addr = g->p->set->control_wire;
  j.http = g->p->set->control_http;
  j.reply = reply;
  j.initialised = g->cons != NULL;
  j.learner = pwgi_must_join(g);
  j.leader = (char *)pwgroup_leader_http(g);
  j.group = pwgroup_number(g);
  if (g->cons)
    pwcons_config_pack(pwcons_config(g->cons), &j.config);
  Pw__Envelope e = PW_ENVELOPE(JOIN, join, &j);
  pwgi_send(g, addr, &e);
  if (j.config)
    pw__config__free_unpacked(j.config, NULL);
}

/* As leader, notes an instance that is in no configuration: it is added as a
** learner, and counts in no quorum until it has caught up. */
static void note_joining(pw_group *g, const Pw__Join *j) {
  if (!pwgroup_is_leader(g) || pwmember_has(pwcons_config(g->cons), j->id))
    return;
  g->joining = (pw_cons_member){.id = j->id, .slot = j->slot};
  pw_copy(g->joining.addr, sizeof g->joining.addr, j->addr);
  pw_copy(g->joining.http, sizeof g->joining.http, j->http);
}

/* Adds the members of a configuration as contacts, since the seeds may be
** stale. */
static void learn_contacts(pw_group *g, const Pw__Config *config) {
  for (size_t i = 0; config && i < config->n_members; i++)
    if (strcmp(config->members[i]->addr, g->p->set->control_wire) != 0)
      contact_of(g, config->members[i]->addr);
}

/* Notes the members of the group as one of them reported them, for an
** instance that is not a member. */
static void note_group(pw_group *g, const Pw__Join *j) {
  if (!j->initialised || j->learner)
    return;
  pwcons_config_unpack(j->config, &g->known_members);
  pw_copy(g->known_leader, sizeof g->known_leader, j->leader);
}

void pwgi_on_join(pw_group *g, const Pw__Join *j, int64_t now) {
  if (!j->reply)
    pwgi_send_join(g, j->addr, 1);
  if (g->uses_seeds)
    learn_contacts(g, j->config);
  note_group(g, j);
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
    pwgi_found(g, &config, j->group, 0, now);
}

/* --- membership changes, one at a time --- */

void pwgi_manage_members(pw_group *g) {
  pw_cons_config next;
  if (!pwgroup_is_leader(g))
    return;
  if (pwmember_has(pwcons_config(g->cons), g->joining.id))
    g->joining.id = 0;
  int size = g->uses_seeds ? 2 * (int)g->p->set->control_losses + 1 : 0;
  const char *change = pwmember_next(g->cons, &g->joining,
                                     g->p->set->control_lease, size, &next);
  if (!change || pwcons_propose_config(g->cons, &next) != PW_OK)
    return;
  pwevent_add(g->p->events, PWE_MEMBER, 0, NULL, NULL, NULL, "%s, members=%d",
              change, next.n);
  pwlog(LOG_NOTICE, "group-change", "what=%s members=%d", change, next.n);
}
