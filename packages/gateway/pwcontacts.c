/* pwcontacts.c: the control instances that a gateway knows: how they are learned, dialled and dropped, and
** whether any of them is reachable. */
#include "pwlinkint.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* Missed notices after which a control instance counts as unreachable. */
#define MISSED_NOTICES 3

/* Delay between dialling one control instance and the next, ms: until the first one has answered, and
** from then on. */
#define DIAL_FIRST_MS 150
#define DIAL_MS 300

/* A control instance that was silent for this time is dropped, ms. */
#define DROP_SILENT_MS 20000

/* Largest number of known control instances besides those in the settings. */
#define LEARNED_MAX 64

int pwcontacts_is_fresh(const contact *c, int64_t now) {
  return c->received_at && now - c->received_at <= MISSED_NOTICES * c->watch_ms;
}

/* Each gateway has an order of its own, so that gateways spread over the control instances. */
uint64_t pwcontacts_rank(const pw_link *l, const contact *c) {
  const char *self = l->g->p->set->gateway_gossip;
  return XXH3_64bits_withSeed(c->addr, strlen(c->addr),
                              XXH3_64bits(self, strlen(self)));
}

/* Dials control instances one after another in this gateway's order. If all were dialled at once, then
** after a loss of all links a hundred gateways would keep a control instance with 0.12 cores busy for 0.4 s
** with connections of gateways that use another primary. */
void pwcontacts_dial_next(pw_link *l, int64_t now) {
  contact *best = NULL;
  int has_answer = 0;
  for (contact *c = l->contacts; c; c = c->next) {
    has_answer |= c->received_at != 0;
    if (!c->dialled_at &&
        (!best || pwcontacts_rank(l, c) > pwcontacts_rank(l, best)))
      best = c;
  }
  if (!best || now - l->dialled_at < (has_answer ? DIAL_MS : DIAL_FIRST_MS))
    return;
  l->dialled_at = best->dialled_at = now;
  pwwire_dial(l->sock, best->addr, &best->peer);
  pwlink_send_watch(l, best, 0, now);
}

static void drop(pw_link *l, contact **at, int64_t now) {
  contact *c = *at;
  *at = c->next;
  pwtrace_line(l->g->trace, PWTRACE_STATE, now, "control-dropped",
               "control=%s silent_ms=%lld", c->addr,
               (long long)(c->received_at ? now - c->received_at : -1));
  if (c == l->primary)
    l->primary = NULL;
  if (c == l->requested_from)
    l->requested_from = NULL;
  if (c->dialled_at)
    pwwire_disconnect(l->sock, c->addr);
  free(c);
}

static int64_t silent_since(const contact *c) {
  return c->received_at ? c->received_at : c->known_at;
}

/* While no instance is reachable none is dropped: those that are known may come back, and there would be nobody left to
** learn others from. */
void pwcontacts_drop_silent(pw_link *l, int64_t now) {
  if (l->is_cut_off || now - l->reachable_since < DROP_SILENT_MS)
    return;
  for (contact **at = &l->contacts; *at;) {
    if ((*at)->is_seed || now - silent_since(*at) < DROP_SILENT_MS)
      at = &(*at)->next;
    else
      drop(l, at, now);
  }
}

/* Drops the instance that was silent longest if there are too many. */
static void make_room(pw_link *l, int64_t now) {
  contact **oldest = NULL;
  int learned = 0;
  for (contact **at = &l->contacts; *at; at = &(*at)->next) {
    learned += !(*at)->is_seed;
    if (!(*at)->is_seed &&
        (!oldest || silent_since(*at) < silent_since(*oldest)))
      oldest = at;
  }
  if (learned >= LEARNED_MAX)
    drop(l, oldest, now);
}

contact *pwcontacts_learn(pw_link *l, const char *addr, const char *from,
                          int64_t now) {
  for (contact *c = l->contacts; c; c = c->next)
    if (!strcmp(c->addr, addr))
      return c;
  make_room(l, now);
  contact *c = pw_alloc(sizeof *c);
  pw_copy(c->addr, sizeof c->addr, addr);
  c->known_at = now;
  c->watch_ms = PWLINK_WATCH_MS;
  c->next = l->contacts;
  l->contacts = c;
  pwtrace_line(l->g->trace, PWTRACE_STATE, now, "control-known",
               "control=%s from=%s", addr, from);
  return c;
}

void pwcontacts_note_version(pw_link *l, contact *c, uint64_t version,
                             int has_leader, int64_t now) {
  uint64_t in_force = pwdoc_version(l->doc);
  if (c->config_version != version)
    pwtrace_line(l->g->trace, PWTRACE_STATE, now, "control-version",
                 "control=%s version=%llu here=%llu", c->addr,
                 (unsigned long long)version, (unsigned long long)in_force);
  c->config_version = version;
  c->has_leader = has_leader;
  if (has_leader && version <= in_force)
    l->confirmed_at = now;
}

static void log_reachability(pw_link *l, int known, int64_t now) {
  pwtrace_line(l->g->trace, PWTRACE_STATE, now,
               l->is_cut_off ? "control-lost" : "control-heard",
               "known=%d silent_ms=%lld version=%llu confirmed_ms=%lld", known,
               (long long)(now - l->heard_at),
               (unsigned long long)pwdoc_version(l->doc),
               (long long)(l->confirmed_at ? now - l->confirmed_at : -1));
}

void pwcontacts_observe(pw_link *l, int64_t now) {
  int known = 0, reachable = 0;
  for (const contact *c = l->contacts; c; c = c->next) {
    known++;
    reachable += pwcontacts_is_fresh(c, now);
  }
  if (l->is_cut_off != (reachable == 0)) {
    l->is_cut_off = reachable == 0;
    l->reachable_since = now;
    log_reachability(l, known, now);
  }
  if (reachable)
    l->heard_at = now;
  pw_counters *counters = l->g->p->counters;
  pwcount_set(counters, PWC_GW_CONTROL_KNOWN, known);
  pwcount_set(counters, PWC_GW_CONTROL_REACHABLE, reachable);
  pwcount_set(counters, PWC_GW_CONFIRMED_MS,
              l->confirmed_at ? now - l->confirmed_at : -1);
}
