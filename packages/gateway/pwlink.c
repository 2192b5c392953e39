/* pwlink.c: a gateway's links to control instances: configuration, targets,
** other gateways. It is in touch with all of them; whoever has news tells it. */
#include "pwlinkint.h"

#include "pwtable.h"
#include "pwversions.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define WATCH_MS 500 /* control is told so often that we are there */
#define ANSWERS_MS                                                             \
  250 /* the leader is told of answers while services are rolled out */
#define FRESH_TIMES 3 /* missed notices after which control is silent */
/* A primary has told all of its targets by then, or another one is chosen: so long, ms, and so
** many times its pause between notices, which grows with those who wait for their turn. Each
** next one is given twice as long. Who moves on asks for a table of 48 KB (3,000 targets)
** once more. */
#define TELL_ALL_MS 1000
#define TELL_ALL_NOTICES 2
#define TELL_ALL_MAX_MS 16000

/* A primary that is out of touch with a leader is left after so long, ms: twice the pause
** between the notices of 50 watchers' control instance. */
#define APART_MS 1000

/* A gateway goes back to the first control instance of its order when that one has been
** well for so long, and up to the spread longer, each at its own time, ms. */
#define GO_BACK_MS 2000
#define GO_BACK_SPREAD_MS 4000

/* Control instances are dialled so long one after another: the first ones until one has
** answered, and those after it, ms. */
#define DIAL_FIRST_MS 150
#define DIAL_MS 300

#define FORGET_MS 20000 /* a control instance silent for so long is dropped */
#define ALONE_MS 1500   /* with a configuration, but nobody to confirm it */

static contact *contact_of(pw_link *l, const char *addr, int64_t now) {
  for (contact *c = l->contacts; c; c = c->next)
    if (!strcmp(c->addr, addr))
      return c;
  contact *c = pw_alloc(sizeof *c);
  pw_copy(c->addr, sizeof c->addr, addr);
  c->known_at = now;
  c->watch_ms = WATCH_MS;
  c->next = l->contacts;
  l->contacts = c;
  return c;
}

/* Dials the first in this gateway's order, and the others one after another: after a loss
** of all a hundred gateways come back at once, and a control instance of 0.12 cores was
** busy for 0.4 s with connections of those that rely on another one. */
static void dial_next(pw_link *l, int64_t now) {
  contact *best = NULL;
  int heard = 0;
  for (contact *c = l->contacts; c; c = c->next) {
    heard |= c->heard_at != 0;
    if (!c->dialled_at && (!best || pwlink_rank(l, c) > pwlink_rank(l, best)))
      best = c;
  }
  if (!best || now - l->dialled_at < (heard ? DIAL_MS : DIAL_FIRST_MS))
    return;
  l->dialled_at = best->dialled_at = now;
  pwwire_dial(l->sock, best->addr, &best->peer);
  pwlink_send_watch(l, best, 0, now);
}

void pwlink_send_watch(pw_link *l, contact *c, int want, int64_t now) {
  Pw__Watch m = PW__WATCH__INIT;
  m.site = pwdoc_version(l->doc);
  m.want = want;
  m.gossip = l->g->p->set->gateway_gossip;
  m.primary = c == l->primary;
  m.relay = l->g->p->set->gateway_relay;
  pw_suspects suspects;
  m.n_suspects =
      pwsuspects_list(&suspects, l->g->quarantine, &l->suspects_at, now);
  m.suspects = suspects.list;
  if (c->leads)
    pwversions_fill(l->g->versions, &m);
  Pw__Envelope e = PW_ENVELOPE(WATCH, watch, &m);
  pwwire_send(l->sock, &c->peer, &e);
  pwversions_clear(&m);
  c->asked_at = now;
}

int pwlink_is_fresh(const contact *c, int64_t now) {
  return c->heard_at && now - c->heard_at <= FRESH_TIMES * c->watch_ms;
}

/* Each gateway has an order of its own, so that they spread. */
uint64_t pwlink_rank(const pw_link *l, const contact *c) {
  const char *self = l->g->p->set->gateway_gossip;
  return XXH3_64bits_withSeed(c->addr, strlen(c->addr),
                              XXH3_64bits(self, strlen(self)));
}

/* --- what control tells --- */

typedef struct told {
  pw_link *l;
  int in_touch;
  int64_t now;
} told;

/* What a control instance that is out of touch believes to be silent, others
** may hear. */
static void on_told(void *arg, const Pw__Beat *in) {
  const told *t = arg;
  pw_gate *g = t->l->g;
  pw_beat b;
  pwtable_unpack(in, &b);
  pw_fleet_news what = pwfleet_beat(g->fleet, &b, in->gone, t->now - in->age);
  if (in->silent && t->in_touch)
    what = pwfleet_told_silent(g->fleet, b.id, b.born, 1, t->now);
  else if (!in->silent && what == PWFLEET_OLD)
    what = pwfleet_told_silent(g->fleet, b.id, b.born, 0, t->now);
  if (what == PWFLEET_SILENT || what == PWFLEET_GONE)
    pwgate_note_silent(g, b.id, t->now);
  if (what == PWFLEET_RESTARTED)
    pwcount_add(g->p->counters, PWC_RESTARTS, 1);
  if (pwfleet_news_name(what))
    pwtrace_line(g->trace, PWTRACE_STATE, t->now, pwfleet_news_name(what),
                 "target=%s born=%llu service=%s addr=%s seq=%llu", b.id,
                 (unsigned long long)b.born, b.service, b.address,
                 (unsigned long long)b.seq);
}

/* The gateways, as the primary tells: it knows all of them. */
static void take_lists(pw_link *l, const contact *from, const Pw__Notice *n,
                       int64_t now) {
  for (size_t i = 0; i < n->n_control; i++)
    contact_of(l, n->control[i], now);
  if (!n->n_gateways || from != l->primary)
    return;
  l->ngateways = (int)n->n_gateways;
  pwgossip_peers(l->g->gossip, n->gateways, n->n_gateways);
}

static void take_evacuated(pw_link *l, const Pw__Notice *n, int64_t now) {
  pw_gate *g = l->g;
  if (!pwfleet_evacuate(g->fleet, n->revision, n->evacuated, n->n_evacuated,
                        now))
    return;
  pwcount_set(g->p->counters, PWC_GW_EVACUATED, pwfleet_evacuated(g->fleet));
  pw_buf names = {0};
  for (size_t i = 0; i < n->n_evacuated; i++)
    pwbuf_fmt(&names, "%s%s", i ? "," : "", n->evacuated[i]);
  pwtrace_line(g->trace, PWTRACE_STATE, now, "evacuated",
               "availability_zones=%s revision=%llu",
               names.len ? names.data : "-", (unsigned long long)n->revision);
  pwbuf_free(&names);
}

static void heard_suspect(void *arg, uint64_t sign, pw_quar_news news) {
  pwgate_note_suspect(arg, sign, news, "kept");
}

static void on_notice(pw_link *l, contact *c, const Pw__Notice *n,
                      int64_t now) {
  c->site = n->site;
  c->in_touch = n->in_touch;
  c->watch_ms = n->watch_ms ? n->watch_ms : WATCH_MS;
  if (n->full && c == l->primary) {
    l->has_told_all = 1;
    l->patience_ms = TELL_ALL_MS;
  }
  take_evacuated(l, n, now);
  pwversions_take(l->g->versions, n, now);
  c->leads = n->leads;
  pwsuspects_take(l->g->quarantine, n->suspects, n->n_suspects, now,
                  heard_suspect, l->g);
  told t = {l, n->in_touch, now};
  pwtable_read(n, on_told, &t);
  take_lists(l, c, n, now);
  pwfollow_ask(l, now);
}

static contact *contact_by_peer(pw_link *l, const pw_peer *from) {
  for (contact *c = l->contacts; c; c = c->next)
    if (c->dialled_at && pwwire_same(&c->peer, from))
      return c;
  return NULL;
}

static void read_messages(void *arg) {
  pw_link *l = arg;
  pw_peer from;
  Pw__Envelope *e;
  while ((e = pwwire_recv(l->sock, &from)) != NULL) {
    int64_t now = pwclock_ms();
    contact *c = contact_by_peer(l, &from);
    if (c)
      c->heard_at = now;
    if (c && e->body_case == PW__ENVELOPE__BODY_NOTICE)
      on_notice(l, c, e->notice, now);
    else if (e->body_case == PW__ENVELOPE__BODY_DOCUMENT)
      pwfollow_document(l, e->document, now);
    pw__envelope__free_unpacked(e, NULL);
  }
}

/* --- time --- */

static void drop_silent(pw_link *l, int64_t now) {
  for (contact **at = &l->contacts; *at;) {
    contact *c = *at;
    int64_t since = c->heard_at ? c->heard_at : c->known_at;
    if (c->is_seed || now - since < FORGET_MS) {
      at = &c->next;
      continue;
    }
    *at = c->next;
    if (c == l->primary)
      l->primary = NULL;
    if (c == l->wanted_of)
      l->wanted_of = NULL;
    if (c->dialled_at)
      pwwire_hang_up(l->sock, c->addr);
    free(c);
  }
}

static int is_better(const pw_link *l, const contact *a, const contact *b) {
  if (!b || a->in_touch != b->in_touch)
    return !b || a->in_touch;
  return pwlink_rank(l, a) > pwlink_rank(l, b);
}

/* Whether another one must be chosen: the primary is silent, or has not told
** its targets, or has long been out of touch with a leader while `best` is in touch.
** Right after an election some hear of the leader a moment before others: were each
** gateway to move at once, all would rely on the first. */
static int must_choose(pw_link *l, const contact *best, int64_t now) {
  const contact *p = l->primary;
  if (!p || !pwlink_is_fresh(p, now))
    return 1;
  if (!l->has_told_all &&
      now - l->chosen_at > l->patience_ms + TELL_ALL_NOTICES * p->watch_ms)
    return 1;
  if (p->in_touch || !best->in_touch)
    l->apart_at = now;
  return now - l->apart_at > APART_MS;
}

/* Whether it is time to go back to the first in this gateway's order, which is well again:
** gateways that have all fled to one control instance would else stay there for good,
** and its link alone carries tables and documents for all of them. */
static int may_go_back(pw_link *l, const contact *best, int64_t now) {
  const contact *p = l->primary;
  if (!p || !l->has_told_all || !best->in_touch || !p->in_touch ||
      pwlink_rank(l, best) < pwlink_rank(l, p)) {
    l->second_at = now;
    return 0;
  }
  int64_t pause =
      GO_BACK_MS + (int64_t)(pwlink_rank(l, best) % GO_BACK_SPREAD_MS);
  return now - l->second_at > pause;
}

/* The first in this gateway's order that is heard, before all one in touch with
** a leader. It stays while it is both. */
static void choose_primary(pw_link *l, int64_t now) {
  contact *best = NULL;
  for (contact *c = l->contacts; c; c = c->next)
    if (pwlink_is_fresh(c, now) && c != l->primary && is_better(l, c, best))
      best = c;
  if (!best || !(must_choose(l, best, now) | may_go_back(l, best, now)))
    return;
  contact *old = l->primary;
  if (old && !l->has_told_all && l->patience_ms < TELL_ALL_MAX_MS)
    l->patience_ms *= 2;
  l->primary = best;
  l->has_told_all = 0;
  l->chosen_at = l->apart_at = l->second_at = now;
  pwtrace_line(l->g->trace, PWTRACE_STATE, now, "primary", "control=%s",
               best->addr);
  if (old)
    pwlink_send_watch(l, old, 0, now);
  pwlink_send_watch(l, best, 0, now);
}

/* The leader decides on roll-outs by what gateways have seen. */
static int64_t watch_pause(const pw_link *l, const contact *c) {
  int is_awaited = c->leads && pwversions_is_any(l->g->versions);
  return is_awaited && c->watch_ms > ANSWERS_MS ? ANSWERS_MS : c->watch_ms;
}

void pwlink_tick(pw_link *l, int64_t now) {
  if (l->reading || l->read_version < pwdoc_version(l->doc))
    pwfollow_read(l);
  choose_primary(l, now);
  pwfollow_ask(l, now);
  dial_next(l, now);
  for (contact *c = l->contacts; c; c = c->next)
    if (c->dialled_at && now - c->asked_at >= watch_pause(l, c))
      pwlink_send_watch(l, c, 0, now);
  drop_silent(l, now);
}

int pwlink_is_current(const pw_link *l, int64_t now) {
  uint64_t held = pwdoc_version(l->doc);
  int newer = 0, confirmed = 0;
  if (!held || l->reading)
    return 0;
  for (const contact *c = l->contacts; c; c = c->next) {
    if (!pwlink_is_fresh(c, now))
      continue;
    newer |= c->site > held;
    confirmed |= c->in_touch && c->site <= held;
  }
  if (newer)
    return 0;
  return confirmed || now - l->site_at > ALONE_MS;
}

int pwlink_gateways(const pw_link *l) {
  return l->ngateways > 0 ? l->ngateways : 1;
}

/* --- making --- */

static int dial_seeds(pw_link *l, pw_buf *err) {
  const pw_settings *set = l->g->p->set;
  for (int i = 0; i < set->gateway_control.n; i++) {
    char ip[48], addr[PW_NAME_MAX];
    if (sscanf(set->gateway_control.item[i], "%40[0-9.]:", ip) != 1) {
      pwbuf_fmt(err, "gateway.control: \"%s\": IP:PORT is allowed\n",
                set->gateway_control.item[i]);
      return -1;
    }
    snprintf(addr, sizeof addr, "tcp://%s:%d", ip,
             (int)set->gateway_control_port);
    contact_of(l, addr, pwclock_ms())->is_seed = 1;
  }
  return 0;
}

pw_link *pwlink_new(pw_gate *g, pw_buf *err) {
  pw_link *l = pw_alloc(sizeof *l);
  l->g = g;
  l->doc = pwdoc_new();
  l->patience_ms = TELL_ALL_MS;
  l->sock = pwwire_dialler(g->p->wire);
  pwhear_start(&l->hear, g->ev, l->sock, read_messages, l);
  l->relay = pwrelay_new(g, l->doc, err);
  if (l->relay && dial_seeds(l, err) == 0)
    return l;
  pwlink_free(l);
  return NULL;
}

void pwlink_free(pw_link *l) {
  if (!l)
    return;
  pwhear_stop(&l->hear);
  while (l->contacts) {
    contact *c = l->contacts;
    l->contacts = c->next;
    free(c);
  }
  pwfollow_end(l);
  pwrelay_free(l->relay);
  pwwire_close(l->sock);
  pwdoc_free(l->doc);
  free(l);
}
