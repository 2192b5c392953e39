/* pwlink.c: a gateway's links to control instances, from which it receives
** configurations, targets and the list of gateways. It keeps a link to each control instance, and each
** sends changes. */
#include "pwlinkint.h"

#include "pwtable.h"
#include "pwversions.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MS_PER_S 1000

/* Interval at which the leader gets answer counts during a rollout, ms. */
#define ROLLOUT_WATCH_MS 250

/* Time that a new primary has to send its full list of targets before another one is chosen: a fixed
** part, ms, and a multiple of its notice interval, which grows with the number of its watchers. The fixed
** part doubles with each failed primary, since each choice requests a table of 48 KB (at 3,000 targets)
** again. */
#define FULL_LIST_MS 1000
#define FULL_LIST_NOTICES 2
#define FULL_LIST_MAX_MS 16000

/* A primary without contact with a leader is replaced after this time, ms: twice the notice interval of a
** control instance with 50 watchers. */
#define NO_LEADER_MS 1000

/* A gateway returns to its most preferred control instance when that one has been healthy for this
** time, plus a share of the spread that differs for each gateway, ms. */
#define RETURN_MS 2000
#define RETURN_SPREAD_MS 4000

/* A configuration counts as current after this time, ms, if no control instance could confirm it. */
#define UNCONFIRMED_MS 1500

/* --- incoming notices --- */

typedef struct target_update {
  pw_link *l;
  int has_leader;
  int64_t now;
} target_update;

/* Applies the state of one target. A report that it is silent counts only from a control instance that
** has contact with a leader: other control instances may still receive heartbeats of the target. */
static void on_target_state(void *arg, const Pw__Beat *in) {
  const target_update *t = arg;
  pw_gate *g = t->l->g;
  pw_heartbeat b;
  pwtable_unpack(in, &b);
  pw_fleet_change what =
      pwfleet_heartbeat(g->fleet, &b, in->gone, t->now - in->age);
  if (in->silent && t->has_leader)
    what = pwfleet_set_silent(g->fleet, b.id, b.born, 1, t->now);
  else if (!in->silent && what == PWFLEET_UNCHANGED)
    what = pwfleet_set_silent(g->fleet, b.id, b.born, 0, t->now);
  if (what == PWFLEET_SILENT || what == PWFLEET_GONE)
    pwgate_note_silent(g, b.id, t->now);
  if (what == PWFLEET_RESTARTED)
    pwcount_add(g->p->counters, PWC_RESTARTS, 1);
  if (pwfleet_change_name(what))
    pwtrace_line(g->trace, PWTRACE_STATE, t->now, pwfleet_change_name(what),
                 "target=%s born=%llu service=%s addr=%s seq=%llu", b.id,
                 (unsigned long long)b.born, b.service, b.address,
                 (unsigned long long)b.seq);
}

/* Applies the lists of control instances and gateways. Only the primary knows all gateways. */
static void apply_peer_lists(pw_link *l, const contact *from,
                             const Pw__Notice *n, int64_t now) {
  if (from == l->primary)
    pwgatewaycount_heard(&l->budget_count, now);
  for (size_t i = 0; i < n->n_control; i++)
    pwcontacts_learn(l, n->control[i], from->addr, now);
  if (!n->n_gateways || from != l->primary)
    return;
  if (l->ngateways != (int)n->n_gateways)
    pwtrace_line(l->g->trace, PWTRACE_STATE, now, "gateways",
                 "known=%zu was=%d", n->n_gateways, l->ngateways);
  l->ngateways = (int)n->n_gateways;
  pwgatewaycount_told(&l->budget_count, l->ngateways, now);
  pwgossip_set_peers(l->g->gossip, n->gateways, n->n_gateways);
}

static void apply_evacuated(pw_link *l, const Pw__Notice *n, int64_t now) {
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

static void on_suspect(void *arg, uint64_t fingerprint, pw_quar_change change) {
  pwgate_log_suspect(arg, fingerprint, change, "kept");
}

static void on_notice(pw_link *l, contact *c, const Pw__Notice *n,
                      int64_t now) {
  pwcontacts_note_version(l, c, n->site, n->in_touch, now);
  c->watch_ms = n->watch_ms ? n->watch_ms : PWLINK_WATCH_MS;
  if (n->full && c == l->primary) {
    l->has_full_list = 1;
    l->full_wait_ms = FULL_LIST_MS;
  }
  apply_evacuated(l, n, now);
  pwversions_take(l->g->versions, n, now);
  pwgate_receive_served(l->g, n, now);
  c->leads = n->leads;
  pwsuspects_receive(l->g->quarantine, n->suspects, n->n_suspects, now,
                     on_suspect, l->g);
  pwpartsmsg_receive(l->g->parts, n->crashing_parts, n->n_crashing_parts, now);
  target_update t = {l, n->in_touch, now};
  pwtable_read(n, on_target_state, &t);
  apply_peer_lists(l, c, n, now);
  pwconfsync_request(l, now);
}

static contact *contact_by_peer(pw_link *l, const pw_peer *from) {
  for (contact *c = l->contacts; c; c = c->next)
    if (c->dialled_at && pwwire_same_peer(&c->peer, from))
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
      c->received_at = now;
    if (c && e->body_case == PW__ENVELOPE__BODY_NOTICE)
      on_notice(l, c, e->notice, now);
    else if (e->body_case == PW__ENVELOPE__BODY_DOCUMENT)
      pwconfsync_document(l, e->document, now);
    else if (c && e->body_case == PW__ENVELOPE__BODY_STREAM_ANSWERS)
      pwlink_streams_answered(l, c, e->stream_answers, now);
    pw__envelope__free_unpacked(e, NULL);
  }
}

/* --- periodic work --- */

static int is_better(const pw_link *l, const contact *a, const contact *b) {
  if (!b || a->has_leader != b->has_leader)
    return !b || a->has_leader;
  return pwcontacts_rank(l, a) > pwcontacts_rank(l, b);
}

/* Whether another primary must be chosen: the primary is silent, or has not sent its full list
** in time, or has had no contact with a leader for a while that `best` has. Right after an election
** some instances have contact with it a moment before others: if each gateway switched at once,
** all would choose the first of them. */
static int must_choose(pw_link *l, const contact *best, int64_t now) {
  const contact *p = l->primary;
  if (!p || !pwcontacts_is_fresh(p, now))
    return 1;
  if (!l->has_full_list &&
      now - l->chosen_at > l->full_wait_ms + FULL_LIST_NOTICES * p->watch_ms)
    return 1;
  if (p->has_leader || !best->has_leader)
    l->contact_lost_at = now;
  return now - l->contact_lost_at > NO_LEADER_MS;
}

/* Whether to return to the most preferred control instance, which is healthy again. Otherwise gateways
** that have all failed over to one instance would stay there for good, and its network link alone would
** carry tables and documents for all of them. */
static int may_return(pw_link *l, const contact *best, int64_t now) {
  const contact *p = l->primary;
  if (!p || !l->has_full_list || !best->has_leader || !p->has_leader ||
      pwcontacts_rank(l, best) < pwcontacts_rank(l, p)) {
    l->best_primary_at = now;
    return 0;
  }
  int64_t pause =
      RETURN_MS + (int64_t)(pwcontacts_rank(l, best) % RETURN_SPREAD_MS);
  return now - l->best_primary_at > pause;
}

/* Chooses the most preferred reachable control instance, one with contact with a leader first. The
** primary stays while it is reachable and has that contact. */
static void choose_primary(pw_link *l, int64_t now) {
  contact *best = NULL;
  for (contact *c = l->contacts; c; c = c->next)
    if (pwcontacts_is_fresh(c, now) && c != l->primary && is_better(l, c, best))
      best = c;
  if (!best || !(must_choose(l, best, now) | may_return(l, best, now)))
    return;
  contact *old = l->primary;
  if (old && !l->has_full_list && l->full_wait_ms < FULL_LIST_MAX_MS)
    l->full_wait_ms *= 2;
  l->primary = best;
  l->has_full_list = 0;
  l->chosen_at = l->contact_lost_at = l->best_primary_at = now;
  pwtrace_line(l->g->trace, PWTRACE_STATE, now, "primary", "control=%s",
               best->addr);
  if (old)
    pwlink_send_watch(l, old, 0, now);
  pwlink_send_watch(l, best, 0, now);
}

/* Interval of watch messages to a control instance. It is shorter to the leader during a rollout, since the
** leader decides on the rollout by the answer counts in these messages. */
static int64_t watch_interval_ms(const pw_link *l, const contact *c) {
  int is_awaited = c->leads && pwversions_is_running(l->g->versions);
  return is_awaited && c->watch_ms > ROLLOUT_WATCH_MS ? ROLLOUT_WATCH_MS
                                                      : c->watch_ms;
}

void pwlink_tick(pw_link *l, int64_t now) {
  if (l->reading || l->read_version < pwdoc_version(l->doc))
    pwconfsync_read(l);
  choose_primary(l, now);
  pwconfsync_request(l, now);
  pwcontacts_dial_next(l, now);
  for (contact *c = l->contacts; c; c = c->next)
    if (c->dialled_at && now - c->watched_at >= watch_interval_ms(l, c))
      pwlink_send_watch(l, c, 0, now);
  pwlink_streams_tick(l, now);
  pwcontacts_observe(l, now);
  pwcontacts_drop_silent(l, now);
}

int pwlink_is_current(const pw_link *l, int64_t now) {
  uint64_t version = pwdoc_version(l->doc);
  int newer = 0, confirmed = 0;
  if (!version || l->reading)
    return 0;
  for (const contact *c = l->contacts; c; c = c->next) {
    if (!pwcontacts_is_fresh(c, now))
      continue;
    newer |= c->config_version > version;
    confirmed |= c->has_leader && c->config_version <= version;
  }
  if (newer)
    return 0;
  return confirmed || now - l->config_at > UNCONFIRMED_MS;
}

/* Messages from before the standstill may still be unread, so the primary is asked for its full list anew: it sends one to
** each gateway that begins to take it for its primary. */
void pwlink_begin_catch_up(pw_link *l, int64_t now) {
  contact *p = l->primary;
  l->has_full_list = 0;
  l->chosen_at = now;
  if (!p)
    return;
  l->primary = NULL;
  pwlink_send_watch(l, p, 0, now);
  l->primary = p;
  pwlink_send_watch(l, p, 0, now);
}

int pwlink_has_caught_up(const pw_link *l, int64_t now) {
  return l->has_full_list && pwlink_is_current(l, now);
}

int pwlink_hears_leader(const pw_link *l, int64_t now) {
  for (const contact *c = l->contacts; c; c = c->next)
    if (c->has_leader && pwcontacts_is_fresh(c, now))
      return 1;
  return 0;
}

int pwlink_gateway_count(const pw_link *l) {
  return l->ngateways > 0 ? l->ngateways : 1;
}

int pwlink_budget_count(pw_link *l, int64_t now) {
  return pwgatewaycount_get(&l->budget_count, now);
}

int64_t pwlink_budget_count_since(pw_link *l, int64_t now) {
  return pwgatewaycount_known_since(&l->budget_count, now);
}

/* --- creation --- */

static int dial_seeds(pw_link *l, pw_buf *err) {
  const pw_settings *set = l->g->p->set;
  for (int i = 0; i < set->gateway_control.n; i++) {
    char ip[48], addr[PW_NAME_MAX];
    if (sscanf(set->gateway_control.item[i], "%40[0-9.]:", ip) != 1) {
      pwbuf_fmt(err, "gateway.control: \"%s\" is not IP:PORT\n",
                set->gateway_control.item[i]);
      return -1;
    }
    snprintf(addr, sizeof addr, "tcp://%s:%d", ip,
             (int)set->gateway_control_port);
    pwcontacts_learn(l, addr, "settings", pwclock_ms())->is_seed = 1;
  }
  return 0;
}

/* Adds the members that the leader has sent, if no control instance with contact to its leader is heard here. */
static void learn_control(pw_link *l, char **addr, size_t n) {
  int64_t now = pwclock_ms();
  if (pwlink_hears_leader(l, now))
    return;
  for (size_t i = 0; i < n; i++)
    pwcontacts_learn(l, addr[i], "leader", now);
}

pw_link *pwlink_new(pw_gate *g, pw_origin_answered *origin_answered,
                    pw_served_confirmed *served_confirmed, pw_buf *err) {
  pw_link *l = pw_alloc(sizeof *l);
  l->g = g;
  l->origin_answered = origin_answered;
  l->served_confirmed = served_confirmed;
  l->doc = pwdoc_new();
  l->full_wait_ms = FULL_LIST_MS;
  l->is_cut_off = 1;
  l->heard_at = pwclock_ms();
  pwgatewaycount_init(&l->budget_count,
                      (int64_t)(g->p->set->gateway_retry_window * MS_PER_S));
  l->sock = pwwire_dialler(g->p->wire);
  pwzmqev_start(&l->watcher, g->ev, l->sock, read_messages, l);
  l->relay = pwrelay_new(g, l->doc, learn_control, err);
  if (l->relay && dial_seeds(l, err) == 0)
    return l;
  pwlink_free(l);
  return NULL;
}

void pwlink_free(pw_link *l) {
  if (!l)
    return;
  pwzmqev_stop(&l->watcher);
  while (l->contacts) {
    contact *c = l->contacts;
    l->contacts = c->next;
    free(c);
  }
  pwconfsync_end(l);
  pwlink_streams_free(l);
  pwrelay_free(l->relay);
  pwwire_close(l->sock);
  pwdoc_free(l->doc);
  free(l);
}
