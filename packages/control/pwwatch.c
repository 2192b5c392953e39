/* pwwatch.c: keeps the watchers of a control instance, and sends them
** Notices of what changed. */
#include "pwwatch.h"

#include "pwbuf.h"
#include "pwcoalesce.h"
#include "pwdocsend.h"
#include "pwlimits.h"
#include "pwlog.h"
#include "pwlostgateways.h"
#include "pwoutbox.h"
#include "pwpace.h"
#include "pwpartsmsg.h"
#include "pwpeers.h"
#include "pwrollwire.h"
#include "pwsuspects.h"
#include "pwtable.h"

#include <stdlib.h>
#include <string.h>

/* Heartbeats that change nothing are forwarded together after so long, ms. */
#define RENEWAL_MS 250

/* Each watcher receives a Notice at least so often, and sends a Watch as
** often. The interval grows with the number of watchers, which bounds the
** traffic of a control instance; ms. */
#define NOTICE_MS 500
#define NOTICE_MS_PER_WATCHER 10

/* A watcher that has sent nothing for so many of these intervals is dropped. */
#define LOST_NOTICES 5

/* Interval between lists of control instances that have not changed: LIST_MS,
** and LIST_MS_PER_WATCHER for each watcher, ms. A list that changed is sent
** sooner; it is repeated because a message is lost with its connection. */
#define LIST_MS 1000
#define LIST_MS_PER_WATCHER 20

/* Gateways that rely on this instance receive the list of gateways after that
** interval when it changed, and after so many of them otherwise. */
#define GATEWAYS_REPEAT 4

/* Changes for other control instances are collected for so long and sent
** together, ms. */
#define CONTROL_BATCH_MS 30

/* A table of all targets is sent to further watchers for so long before it
** is built anew, ms. */
#define TABLE_REUSE_MS 300

typedef struct watcher {
  pw_peer peer;
  uint64_t incarnation;
  /* wire address for gossip; "": this is not a gateway */
  char gossip[PW_NAME_MAX];
  char relay[PW_NAME_MAX]; /* wire address of a gateway; "": it has none */
  /* address of a control instance; "": this is a gateway */
  char control[PW_NAME_MAX];
  int is_primary; /* it relies on this instance for all targets */
  int is_lost;    /* a Notice to it was dropped: it must register again */
  /* when it asked for the table of all targets; 0: it does not wait for one */
  int64_t table_asked_at;
  int64_t received_at, notified_at;
  /* when it was sent the lists of control instances, of gateways, and of the
  ** times at which gateways were last heard; 0: never */
  int64_t control_sent_at, gateways_sent_at, heard_sent_at;
  /* versions of the configuration and of the evacuated availability zones that
  ** the last Notice to it named, and the number of the software versions that
  ** it was sent last */
  uint64_t announced_version, announced_revision, announced_served;
  uint64_t announced_members; /* pw_mesh.members_revision of its last list */
  int64_t suspects_sent_at; /* when it was sent the quarantined fingerprints */
  struct watcher *next;
} watcher;

struct pw_watch {
  pw_proc *p;
  pw_sock *listener;
  const pw_doc *doc;
  const pw_res *resources;
  const pw_served *served; /* the software versions of targets */
  pw_zones evacuated;
  pw_rollwire rollouts;
  pw_fleet *targets;
  watcher *watchers;
  int nwatchers;
  pw_peers *peers;
  pw_mesh *mesh; /* other control instances, and which of them watch which */
  pw_outbox to_control, to_gateways;
  /* when newer versions were last announced to gateways, ms */
  int64_t versions_sent_at;
  /* number of the last update that was sent to control instances */
  uint64_t last_seq;
  /* a call waits until another instance confirms the next update */
  int must_confirm;
  int64_t gateways_changed_at; /* when a gateway was last added or dropped */
  /* quarantined fingerprints as gateways reported them; sent to gateways
  ** that start anew */
  pw_quarantine *quarantine;
  /* index in the quarantine at which the next list of suspects begins */
  size_t next_suspect;
  /* crashing parts of prompts, kept and sent like the fingerprints */
  pw_parts *parts;
  size_t next_part;
  pw_docsend *docsend;
  pw_lost_gateways *lost;
  pw_pace bulk_pace; /* rate of tables and documents */
  Pw__Notice table;  /* the table of all targets that was built last */
  int64_t table_built_at;
  int is_isolated;
  /* number of the last update of this instance that is in the table */
  uint64_t table_number;
  int has_contact; /* there is contact with a leader */
  int leads;
};

pw_watch *pwwatch_new(pw_proc *p, pw_sock *listener, pw_sock *dialler,
                      const pw_state *state) {
  const pw_doc *doc = pwstate_document(state);
  pw_watch *w = pw_alloc(sizeof *w);
  w->p = p;
  w->listener = listener;
  w->peers = pwpeers_new(p, dialler);
  w->mesh = pwpeers_mesh(w->peers);
  w->doc = doc;
  w->resources = pwstate_resources(state);
  w->served = pwstate_served(state);
  w->quarantine = pwquar_new();
  w->parts = pwparts_new();
  w->docsend = pwdocsend_new(listener, doc);
  w->lost = pwlost_new(p, dialler);
  w->bulk_pace = pwpace_of(p->set->control_link);
  w->targets = pwfleet_new(p->set->availability_zone, p->set->control_beat, 0);
  return w;
}

void pwwatch_free(pw_watch *w) {
  if (!w)
    return;
  while (w->watchers) {
    watcher *one = w->watchers;
    w->watchers = one->next;
    free(one);
  }
  pwpeers_free(w->peers);
  pwoutbox_free(&w->to_control);
  pwoutbox_free(&w->to_gateways);
  pwquar_free(w->quarantine);
  pwparts_free(w->parts);
  pwdocsend_free(w->docsend);
  pwlost_free(w->lost);
  pwfleet_free(w->targets);
  pwzones_free(&w->evacuated);
  pwrollwire_free(&w->rollouts);
  free(w->table.table.data);
  free(w);
}

static int64_t notice_interval_ms(const pw_watch *w) {
  int64_t ms = NOTICE_MS_PER_WATCHER * (int64_t)w->nwatchers;
  return ms > NOTICE_MS ? ms : NOTICE_MS;
}

/* --- notices --- */

/* Interval between two lists for one watcher. */
static int64_t list_interval_ms(const pw_watch *w) {
  return LIST_MS + LIST_MS_PER_WATCHER * (int64_t)w->nwatchers;
}

/* Whether a gateway was not sent the current members of the group. If it were
** sent them at its registration only, it would know no instance any more once
** all of these are replaced. */
static int lacks_members(const pw_watch *w, const watcher *to) {
  return to->gossip[0] && (!to->control_sent_at ||
                           to->announced_members != w->mesh->members_revision);
}

static int control_list_is_due(const pw_watch *w, const watcher *to,
                               int64_t now) {
  return to->gossip[0] && (lacks_members(w, to) ||
                           now - to->control_sent_at >= list_interval_ms(w));
}

static int gateway_list_is_due(const pw_watch *w, const watcher *to,
                               int64_t now) {
  int64_t age = now - to->gateways_sent_at, interval = list_interval_ms(w);
  int has_changed = to->gateways_sent_at <= w->gateways_changed_at;
  return to->gossip[0] && to->is_primary &&
         (!to->gateways_sent_at ||
          age >= (has_changed ? interval : GATEWAYS_REPEAT * interval));
}

/* Fills `control` with the wire addresses of the group's members; returns their
** number. */
static size_t list_members(const pw_watch *w,
                           char *control[PW_CONTROL_MAX + 1]) {
  const pw_mesh *m = w->mesh;
  size_t n = 0;
  for (int i = 0; i < m->n; i++)
    if (m->peer[i]->is_member)
      control[n++] = m->peer[i]->addr;
  if (m->is_member)
    control[n++] = w->p->set->control_wire;
  return n;
}

/* Adds the control instances that are members of the group, since only
** members know all targets. */
static void add_control_list(pw_watch *w, watcher *to, Pw__Notice *n,
                             int64_t now) {
  n->control = pw_alloc(sizeof(char *) * (PW_CONTROL_MAX + 1));
  n->n_control = list_members(w, n->control);
  to->control_sent_at = now;
  to->announced_members = w->mesh->members_revision;
}

/* Whether a control instance is due to be sent when each gateway was last heard. */
static int heard_list_is_due(const pw_watch *w, const watcher *to,
                             int64_t now) {
  return !to->gossip[0] && now - to->heard_sent_at >= list_interval_ms(w);
}

static void add_heard_list(const pw_watch *w, watcher *to, Pw__Notice *n,
                           int64_t now) {
  size_t most = (size_t)pwlost_count(w->lost) + (size_t)w->nwatchers;
  n->gateways_heard = pw_alloc(sizeof *n->gateways_heard * (most + 1));
  pwlost_fill(w->lost, n, now);
  for (watcher *one = w->watchers; one; one = one->next)
    if (one->relay[0])
      pwlost_fill_one(n, one->relay, now - one->received_at);
  to->heard_sent_at = now;
}

static void add_gateway_list(pw_watch *w, watcher *to, Pw__Notice *n,
                             int64_t now) {
  n->gateways = pw_alloc(sizeof(char *) * (size_t)(w->nwatchers + 1));
  for (watcher *one = w->watchers; one; one = one->next)
    if (one->gossip[0])
      n->gateways[n->n_gateways++] = one->gossip;
  to->gateways_sent_at = now;
}

/* Whether a gateway was not sent the current software versions of targets. */
static int lacks_served(const pw_watch *w, const watcher *to) {
  return to->gossip[0] && w->has_contact &&
         to->announced_served != w->served->number;
}

static void add_served(const pw_watch *w, watcher *to, Pw__Notice *n) {
  n->served = w->served->list;
  n->n_served = w->served->n;
  n->served_number = w->served->number;
  to->announced_served = n->served_number;
}

static int suspects_are_due(const pw_watch *w, const watcher *to, int64_t now) {
  return !to->suspects_sent_at ||
         now - to->suspects_sent_at >= list_interval_ms(w);
}

static void add_suspects(pw_watch *w, watcher *to, pw_suspects *s,
                         pw_partsmsg *parts, Pw__Notice *n, int64_t now) {
  n->n_suspects = pwsuspects_list(s, w->quarantine, &w->next_suspect, now);
  n->suspects = s->list;
  n->n_crashing_parts = pwpartsmsg_list(parts, w->parts, &w->next_part, now);
  n->crashing_parts = parts->list;
  to->suspects_sent_at = now;
}

static void on_suspect(void *arg, uint64_t fingerprint, pw_quar_change change) {
  const pw_watch *w = arg;
  if (change == PWQUAR_BEGUN || change == PWQUAR_RELEASED)
    pwlog(LOG_WARNING, change == PWQUAR_BEGUN ? "quarantined" : "released",
          "sign=%016llx in_quarantine=%d", (unsigned long long)fingerprint,
          pwquar_count(w->quarantine));
}

/* Completes a notice, in which the caller has filled in the heartbeats, and
** sends it. */
static void send_notice(pw_watch *w, watcher *to, Pw__Notice *n, int64_t now) {
  n->site = pwdoc_version(w->doc);
  n->in_touch = w->has_contact;
  n->watch_ms = (uint32_t)notice_interval_ms(w);
  n->number = to->gossip[0] ? 0 : n->full ? w->table_number : w->last_seq;
  n->revision = w->evacuated.revision;
  n->evacuated = w->evacuated.name;
  n->n_evacuated = w->evacuated.n;
  n->rollouts = w->rollouts.list;
  n->n_rollouts = w->rollouts.n;
  n->leads = w->leads;
  if (control_list_is_due(w, to, now)) {
    add_control_list(w, to, n, now);
    to->announced_served = 0; /* sent again, too */
  }
  if (gateway_list_is_due(w, to, now))
    add_gateway_list(w, to, n, now);
  if (heard_list_is_due(w, to, now))
    add_heard_list(w, to, n, now);
  if (lacks_served(w, to))
    add_served(w, to, n);
  pw_suspects suspects;
  pw_partsmsg parts;
  if (suspects_are_due(w, to, now))
    add_suspects(w, to, &suspects, &parts, n, now);
  Pw__Envelope e = PW_ENVELOPE(NOTICE, notice, n);
  if (pwwire_send(w->listener, &to->peer, &e) != 0)
    to->is_lost = 1; /* it registers again, and receives everything */
  n->suspects = NULL;
  n->served = NULL; /* not owned */
  n->n_suspects = n->n_served = 0;
  n->served_number = 0;
  n->crashing_parts = NULL;
  n->n_crashing_parts = 0;
  free(n->control);
  free(n->gateways);
  pwlost_clear(n);
  to->notified_at = now;
  to->announced_version = n->site;
  to->announced_revision = n->revision;
}

/* One table serves many watchers, if it was built after the watcher had
** asked. Changes since then are sent to the watcher as updates; older
** updates in the table change nothing there. */
static void refresh_table(pw_watch *w, int64_t table_asked_at, int64_t now) {
  if (w->table_built_at > table_asked_at &&
      now - w->table_built_at < TABLE_REUSE_MS)
    return;
  free(w->table.table.data);
  w->table = (Pw__Notice)PW__NOTICE__INIT;
  pwtable_write(w->targets, now, &w->table);
  w->table_built_at = now;
  w->table_number = w->last_seq;
}

static void send_table(pw_watch *w, watcher *to, int64_t now) {
  Pw__Notice n = PW__NOTICE__INIT;
  refresh_table(w, to->table_asked_at, now);
  n.table = w->table.table;
  n.table_size = w->table.table_size;
  n.full = 1;
  to->gateways_sent_at = 0;
  to->table_asked_at = 0;
  send_notice(w, to, &n, now);
  pwpace_take(&w->bulk_pace, n.table.len, now);
  pwcount_add(w->p->counters, PWC_TABLES_SENT, 1);
  pwcount_add(w->p->counters, PWC_TABLES_BYTES, (int64_t)n.table.len);
}

/* The watcher whose table is next: control instances before gateways, then
** in the order of asking. */
static watcher *next_for_table(const pw_watch *w) {
  watcher *best = NULL;
  for (watcher *one = w->watchers; one; one = one->next)
    if (one->table_asked_at && (!best || !one->gossip[0] || best->gossip[0]))
      best = one; /* the list has the newest watchers first */
  return best;
}

/* The tables of a large fleet are many times what the link carries in a
** second. Sent at once they would delay everything else, so they are limited
** to a share of the link. */
static void send_tables(pw_watch *w, int64_t now) {
  while (pwpace_has_room(&w->bulk_pace, now)) {
    watcher *to = next_for_table(w);
    if (!to)
      return;
    send_table(w, to, now);
  }
}

/* --- changes of targets --- */

/* Marks all gateways or all control instances as lost: they register again
** and receive everything. */
static void mark_lost(pw_watch *w, int of_control) {
  for (watcher *one = w->watchers; one; one = one->next)
    if ((one->gossip[0] == 0) == of_control)
      one->is_lost = 1;
}

static void queue_for_control(pw_watch *w, const pw_target_update *t) {
  if (pwoutbox_add(&w->to_control, t) != 0)
    mark_lost(w, 1);
}

static void note_change(pw_watch *w, const pw_heartbeat *b,
                        pw_fleet_change change, int is_own,
                        int64_t received_at) {
  pw_target_update t = {.beat = *b,
                        .gone = change == PWFLEET_GONE,
                        .silent = change == PWFLEET_SILENT,
                        .is_change = change > PWFLEET_RENEWED,
                        .is_own = is_own,
                        .received_at = received_at};
  if (change == PWFLEET_RESTARTED)
    pwcount_add(w->p->counters, PWC_RESTARTS, 1);
  if (t.is_change)
    pwlog(LOG_NOTICE, pwfleet_change_name(change),
          "target=%s born=%llu service=%s address=%s", b->id,
          (unsigned long long)b->born, b->service, b->address);
  if (is_own)
    queue_for_control(w, &t);
  if (t.is_change && pwoutbox_add(&w->to_gateways, &t) != 0)
    mark_lost(w, 0);
}

/* Whether another control instance receives the updates of this one. */
static int has_control_watcher(const pw_watch *w) {
  for (const watcher *one = w->watchers; one; one = one->next)
    if (!one->gossip[0] && one->is_primary)
      return 1;
  return 0;
}

/* Forwards another instance's update that a target leaves or has gone: that
** instance may stop before all have received it. */
static void forward_end(pw_watch *w, const pw_heartbeat *b,
                        pw_fleet_change change, int64_t received_at) {
  pw_target_update t = {.beat = *b,
                        .gone = change == PWFLEET_GONE,
                        .is_change = 1,
                        .received_at = received_at};
  if (w->mesh->is_member)
    queue_for_control(w, &t);
}

/* The incarnation that ends. Where the target does not name it, a member of
** the group takes the one that it knows. */
static uint64_t ended_incarnation(const pw_watch *w, const pw_heartbeat *b) {
  return b->born || !w->mesh->is_member ? b->born
                                        : pwfleet_find(w->targets, b->id)->born;
}

/* Sends the end of a target each time that the target reports it, since the
** update before may have been lost. */
static void note_end(pw_watch *w, const pw_heartbeat *b, pw_fleet_change change,
                     int64_t now) {
  pw_target_update t = {.beat = *b, .gone = 1, .is_own = 1, .received_at = now};
  t.beat.born = ended_incarnation(w, b);
  if (change == PWFLEET_UNCHANGED)
    queue_for_control(w, &t);
  else
    note_change(w, &t.beat, change, 1, now);
}

uint64_t pwwatch_beat(pw_watch *w, const pw_heartbeat *b, int gone,
                      int64_t now) {
  pw_fleet_change change = pwfleet_heartbeat(w->targets, b, gone, now);
  if (gone)
    note_end(w, b, change, now);
  else if (change != PWFLEET_UNCHANGED)
    note_change(w, b, change, 1, now);
  if ((!gone && !b->leaving) || !has_control_watcher(w))
    return 0;
  w->must_confirm = 1;
  return w->last_seq + 1;
}

static void on_silent(void *arg, pw_target *t, int forgotten) {
  pw_watch *w = arg;
  pw_heartbeat b;
  int64_t now = pwclock_ms();
  if (forgotten) {
    pwlog(LOG_NOTICE, "target-forgotten", "target=%s", t->id);
    return;
  }
  pwfleet_to_heartbeat(t, &b);
  note_change(w, &b, PWFLEET_SILENT, 0, now);
}

typedef struct update_source {
  pw_watch *w;
  const pw_peer *from;
  int64_t now;
} update_source;

/* Takes a heartbeat that another control instance received. The report that
** a target is silent is ignored: each instance finds that out from the
** heartbeats of all. */
static void on_update(void *arg, const Pw__Beat *beat) {
  const update_source *in = arg;
  pw_heartbeat b;
  if (beat->silent)
    return;
  pwtable_unpack(beat, &b);
  int64_t received_at = in->now - beat->age;
  pw_fleet_change change =
      pwtable_is_renewal(beat)
          ? pwfleet_renew(in->w->targets, b.id, b.born, b.seq, received_at)
          : pwfleet_heartbeat(in->w->targets, &b, beat->gone, received_at);
  if (pwtable_is_renewal(beat) && !pwfleet_knows(in->w->targets, b.id, b.born))
    pwpeers_request_all(in->w->peers, in->from);
  if (change == PWFLEET_BACK) /* a renewal does not contain all fields */
    pwfleet_to_heartbeat(pwfleet_find(in->w->targets, b.id), &b);
  if (change >= PWFLEET_JOINED)
    note_change(in->w, &b, change, 0, received_at);
  if (change == PWFLEET_LEAVING || change == PWFLEET_GONE)
    forward_end(in->w, &b, change, received_at);
}

/* --- watchers --- */

static watcher *watcher_of(pw_watch *w, const pw_peer *from,
                           uint64_t incarnation) {
  for (watcher *one = w->watchers; one; one = one->next)
    if (pwwire_same_peer(&one->peer, from) && one->incarnation == incarnation)
      return one;
  return NULL;
}

int pwwatch_has_zone(const pw_watch *w, const char *name) {
  for (pw_target *t = pwfleet_first(w->targets); t; t = t->hh.next)
    if (!strcmp(t->availability_zone, name))
      return 1;
  return 0;
}

json_t *pwwatch_zones_json(const pw_watch *w) {
  json_t *names = json_object(), *list = json_array();
  const char *name;
  json_t *value;
  for (pw_target *t = pwfleet_first(w->targets); t; t = t->hh.next)
    if (!t->is_gone)
      json_object_set_new(names, t->availability_zone, json_true());
  json_object_foreach(names, name, value) {
    json_array_append_new(list, json_string(name));
  }
  json_decref(names);
  return list;
}

int pwwatch_has_service(const pw_watch *w, const char *name) {
  for (pw_target *t = pwfleet_first(w->targets); t; t = t->hh.next)
    if (!strcmp(t->service, name))
      return 1;
  return 0;
}

static int may_receive_requests(const pw_watch *w, const pw_target *t) {
  return !t->is_gone && !t->is_leaving && !t->is_silent &&
         !pwzones_has(&w->evacuated, t->availability_zone);
}

void pwwatch_slots(const pw_watch *w, const char *service, const char *version,
                   double *of_version, double *of_others) {
  *of_version = *of_others = 0;
  for (pw_target *t = pwfleet_first(w->targets); t; t = t->hh.next) {
    if (strcmp(t->service, service) != 0 || !may_receive_requests(w, t))
      continue;
    *(strcmp(t->version, version) ? of_others : of_version) += t->slots;
  }
}

void pwwatch_each_target(const pw_watch *w,
                         void (*visit)(void *arg, const pw_target *t),
                         void *arg) {
  for (pw_target *t = pwfleet_first(w->targets); t; t = t->hh.next)
    visit(arg, t);
}

const pw_zones *pwwatch_evacuated(const pw_watch *w) {
  return &w->evacuated;
}

/* Notes that a watcher was added or dropped, if it is a gateway. */
static void note_gateway_change(pw_watch *w, const watcher *one) {
  if (one->gossip[0])
    w->gateways_changed_at = pwclock_ms();
}

static watcher *add_watcher(pw_watch *w, const pw_peer *from,
                            const Pw__Envelope *e) {
  watcher *one = pw_alloc(sizeof *one);
  one->peer = *from;
  one->incarnation = e->incarnation;
  one->next = w->watchers;
  w->watchers = one;
  w->nwatchers++;
  one->announced_version = UINT64_MAX; /* a Notice is due at once */
  pw_copy(one->gossip, sizeof one->gossip, e->watch->gossip);
  pw_copy(one->relay, sizeof one->relay, e->watch->relay);
  pw_copy(one->control, sizeof one->control, e->watch->control);
  pwlost_remove(w->lost, one->relay);
  note_gateway_change(w, one);
  return one;
}

static void on_watch(pw_watch *w, const pw_peer *from, const Pw__Envelope *e,
                     int64_t now) {
  const Pw__Watch *m = e->watch;
  watcher *one = watcher_of(w, from, e->incarnation);
  if (!one)
    one = add_watcher(w, from, e);
  one->received_at = now;
  pwpeers_on_watch(w->peers, m, now);
  int is_new_primary = m->primary && !one->is_primary;
  one->is_primary = m->primary;
  pwsuspects_receive(w->quarantine, m->suspects, m->n_suspects, now, on_suspect,
                     w);
  pwpartsmsg_receive(w->parts, m->crashing_parts, m->n_crashing_parts, now);
  if (is_new_primary)
    one->table_asked_at = now;
  else if (!m->primary)
    one->table_asked_at = 0;
  if (one->gossip[0])
    pwdocsend_watch(w->docsend, from, e->incarnation, m, now);
}

static int is_watched_by(const pw_watch *w, const char *relay) {
  for (const watcher *one = w->watchers; one; one = one->next)
    if (!strcmp(one->relay, relay))
      return 1;
  return 0;
}

/* Takes the times at which another control instance last heard gateways. */
static void receive_heard(pw_watch *w, const Pw__Notice *n, int64_t now) {
  for (size_t i = 0; i < n->n_gateways_heard; i++) {
    const Pw__GatewayHeard *m = n->gateways_heard[i];
    if (!is_watched_by(w, m->relay))
      pwlost_add(w->lost, m->relay, m->age, now);
  }
}

void pwwatch_message(pw_watch *w, const pw_peer *from, const Pw__Envelope *e,
                     int64_t now) {
  update_source in = {w, from, now};
  if (e->body_case == PW__ENVELOPE__BODY_WATCH) {
    on_watch(w, from, e, now);
  } else if (e->body_case == PW__ENVELOPE__BODY_NOTICE) {
    pwtable_read(e->notice, on_update, &in);
    pwpeers_on_notice(w->peers, from, e, now);
    pwsuspects_receive(w->quarantine, e->notice->suspects,
                       e->notice->n_suspects, now, on_suspect, w);
    pwpartsmsg_receive(w->parts, e->notice->crashing_parts,
                       e->notice->n_crashing_parts, now);
    receive_heard(w, e->notice, now);
  }
}

void pwwatch_discount_stall(pw_watch *w, int64_t ms) {
  pwfleet_discount_stall(w->targets, ms);
  for (watcher *one = w->watchers; one; one = one->next)
    one->received_at += ms;
}

static void drop_lost(pw_watch *w, int64_t now) {
  int64_t silence_max = LOST_NOTICES * notice_interval_ms(w);
  for (watcher **at = &w->watchers; *at;) {
    watcher *one = *at;
    if (!one->is_lost && now - one->received_at < silence_max) {
      at = &one->next;
      continue;
    }
    *at = one->next;
    w->nwatchers--;
    note_gateway_change(w, one);
    pwdocsend_drop(w->docsend, &one->peer, one->incarnation);
    if (!is_watched_by(w, one->relay))
      pwlost_add(w->lost, one->relay, now - one->received_at, now);
    free(one);
  }
}

static void call_lost_gateways(pw_watch *w, int64_t now) {
  char *control[PW_CONTROL_MAX + 1];
  size_t n = list_members(w, control);
  pwlost_tick(w->lost, w->leads, control, n,
              LOST_NOTICES * notice_interval_ms(w) + list_interval_ms(w), now);
}

/* --- other control instances --- */

void pwwatch_group(pw_watch *w, char (*addr)[PW_NAME_MAX], int n, int is_member,
                   int64_t now) {
  pwmesh_group(w->mesh, addr, n, is_member, now);
}

uint64_t pwwatch_replicated_seq(const pw_watch *w) {
  return pwmesh_replicated_seq(w->mesh);
}

int pwwatch_is_connected(const pw_watch *w, int64_t now) {
  return w->mesh->is_member || pwmesh_is_watched(w->mesh, now);
}

json_t *pwwatch_observers_json(const pw_watch *w) {
  json_t *list = json_array();
  for (int i = 0; i < w->mesh->n; i++)
    if (!w->mesh->peer[i]->is_member)
      json_array_append_new(list, json_string(w->mesh->peer[i]->addr));
  return list;
}

/* --- outgoing updates --- */

/* The groups of watchers by what they receive. Other control instances
** receive all heartbeats that arrived here, renewals too; observers receive
** nothing about targets. Gateways receive changes: all of them from the
** instance that they rely on, and from every instance the ends of targets
** that were reported to it. */
typedef enum audience {
  TO_CONTROL,
  TO_OBSERVERS,
  TO_PRIMARY_GATEWAYS,
  TO_OTHER_GATEWAYS
} audience;

static audience audience_of(const watcher *one) {
  if (!one->gossip[0])
    return one->is_primary ? TO_CONTROL : TO_OBSERVERS;
  return one->is_primary ? TO_PRIMARY_GATEWAYS : TO_OTHER_GATEWAYS;
}

static int concerns_all(const pw_target_update *t) {
  (void)t;
  return 1;
}

static int is_local_end(const pw_target_update *t) {
  return t->is_own && (t->gone || t->beat.leaving);
}

static int concerns_none(const pw_target_update *t) {
  (void)t;
  return 0;
}

/* Whether a watcher was not yet sent the current version of the
** configuration or of the evacuated availability zones, or the current
** members or software versions of targets. */
static int lacks_versions(const pw_watch *w, const watcher *to) {
  return lacks_members(w, to) || lacks_served(w, to) ||
         to->announced_version != pwdoc_version(w->doc) ||
         to->announced_revision != w->evacuated.revision;
}

static void send_due_notice(pw_watch *w, watcher *to, const pw_outbox_batch *b,
                            int64_t now) {
  Pw__Notice n = b->notice;
  n.confirm = audience_of(to) == TO_CONTROL && w->must_confirm;
  if (b->n || lacks_versions(w, to) ||
      now - to->notified_at >= notice_interval_ms(w))
    send_notice(w, to, &n, now);
}

static void notify_each(pw_watch *w, audience to, const pw_outbox_batch *b,
                        int64_t now) {
  for (watcher *one = w->watchers; one; one = one->next)
    if (audience_of(one) == to)
      send_due_notice(w, one, b, now);
}

static void notify_audience(pw_watch *w, audience to, const pw_outbox *from,
                            int (*concerns)(const pw_target_update *t),
                            int64_t now) {
  pw_outbox_batch b;
  pwoutbox_make_batch(&b, from, concerns, now);
  if (to == TO_CONTROL && b.n)
    w->last_seq++;
  notify_each(w, to, &b, now);
  pwoutbox_free_batch(&b);
}

static int any_lacks_versions(const pw_watch *w) {
  for (watcher *one = w->watchers; one; one = one->next)
    if (one->gossip[0] && lacks_versions(w, one))
      return 1;
  return 0;
}

/* Control instances are few, so changes are collected only briefly; not at
** all while a call waits for a confirmation. */
static void notify_control(pw_watch *w, int64_t now) {
  if (!w->must_confirm &&
      !pwoutbox_is_due(&w->to_control, CONTROL_BATCH_MS, RENEWAL_MS, now))
    return;
  notify_audience(w, TO_CONTROL, &w->to_control, concerns_all, now);
  notify_audience(w, TO_OBSERVERS, &w->to_control, concerns_none, now);
  pwoutbox_sent(&w->to_control, now);
  w->must_confirm = 0;
}

/* Announces a newer configuration, or changed evacuations or rollouts, to
** the gateways that do not know of it. */
static void notify_versions(pw_watch *w, int64_t now) {
  if (now - w->versions_sent_at < pwcoalesce_versions_ms(w->nwatchers) ||
      !any_lacks_versions(w))
    return;
  w->versions_sent_at = now;
  for (watcher *one = w->watchers; one; one = one->next) {
    Pw__Notice n = PW__NOTICE__INIT;
    if (one->gossip[0] && lacks_versions(w, one))
      send_notice(w, one, &n, now);
  }
}

static int count_primary(const pw_watch *w) {
  int n = 0;
  for (const watcher *one = w->watchers; one; one = one->next)
    n += one->gossip[0] && one->is_primary;
  return n;
}

/* The first change is sent at once; those that follow closely are collected
** for a while. */
static void notify_gateways(pw_watch *w, int64_t now) {
  int primary = count_primary(w);
  int64_t batch_ms = pwcoalesce_targets_ms(primary, w->nwatchers - primary);
  int64_t renewal_ms = batch_ms > RENEWAL_MS ? batch_ms : RENEWAL_MS;
  if (!pwoutbox_is_due(&w->to_gateways, batch_ms, renewal_ms, now))
    return;
  notify_audience(w, TO_PRIMARY_GATEWAYS, &w->to_gateways, concerns_all, now);
  notify_audience(w, TO_OTHER_GATEWAYS, &w->to_gateways, is_local_end, now);
  pwoutbox_sent(&w->to_gateways, now);
}

static void update_metrics(pw_watch *w, int64_t now) {
  pw_counters *c = w->p->counters;
  int isolated = !pwwatch_is_connected(w, now);
  pwcount_set(c, PWC_QUARANTINED, pwquar_count(w->quarantine));
  pwcount_set(c, PWC_PARTS_QUARANTINED, (int64_t)pwparts_cases(w->parts));
  pwcount_set(c, PWC_OBSERVERS, pwmesh_observers(w->mesh));
  pwcount_set(c, PWC_ISOLATED, isolated);
  if (isolated != w->is_isolated)
    pwlog(isolated ? LOG_WARNING : LOG_NOTICE, isolated ? "unheard" : "heard",
          "control_instances=%d", w->mesh->n);
  w->is_isolated = isolated;
}

void pwwatch_tick(pw_watch *w, int has_contact, int leads, int64_t now) {
  w->has_contact = has_contact;
  w->leads = leads;
  pwzones_read(&w->evacuated, w->resources);
  pwrollwire_read(&w->rollouts, w->resources);
  drop_lost(w, now);
  call_lost_gateways(w, now);
  pwquar_tick(w->quarantine, now);
  pwparts_tick(w->parts, now);
  update_metrics(w, now);
  pwpeers_tick(w->peers, now);
  pwfleet_tick(w->targets, now, on_silent, w);
  pwdocsend_serve(w->docsend, &w->bulk_pace, now);
  send_tables(w, now);
  notify_control(w, now);
  notify_versions(w, now);
  notify_gateways(w, now);
}
