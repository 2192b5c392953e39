/* pwwatch.c: those who watch a control instance. */
#include "pwwatch.h"

#include "pwbuf.h"
#include "pwgather.h"
#include "pwhand.h"
#include "pwlimits.h"
#include "pwlog.h"
#include "pwoutbox.h"
#include "pwpace.h"
#include "pwpeers.h"
#include "pwrolltold.h"
#include "pwsuspects.h"
#include "pwtable.h"

#include <stdlib.h>
#include <string.h>

/* Heartbeats that change nothing are passed on together, ms. */
#define RENEW_MS 250

/* Watchers hear something at least so often, and say that they are there; the
** more there are the rarer, so that what a control instance sends and takes
** stays bounded; ms. */
#define NOTICE_MS 500
#define NOTICE_MS_A_WATCHER 10

/* A watcher that says nothing for so many of these times is gone. */
#define LOST_TIMES 5

/* Those that rely on this instance are told of other gateways when there are more
** or fewer, so long after they were told last, ms. */
#define LIST_MS 1000
#define LIST_MS_A_WATCHER 20

/* Other control instances are told of changes within so long together, ms. */
#define GATHER_MS 30

#define TABLE_MS 300 /* a table is told so long before it is made anew */

typedef struct watcher {
  pw_peer peer;
  uint64_t incarnation;
  char gossip[PW_NAME_MAX];  /* "": another control instance ... */
  char control[PW_NAME_MAX]; /* ... at this address */
  int is_primary;            /* it relies on this one for all of the targets */
  int is_lost;               /* a message to it was dropped */
  int64_t asked_at; /* when it asked for all targets; 0: it need not be told */
  int64_t heard_at, told_at, listed_at;
  uint64_t told_site;
  uint64_t told_revision; /* of the evacuated availability zones */
  int64_t suspects_at;    /* when it was told of requests in quarantine */
  struct watcher *next;
} watcher;

struct pw_watch {
  pw_proc *p;
  pw_sock *listener;
  const pw_doc *doc;
  const pw_res *resources;
  pw_zones evacuated;
  pw_rolltold rollouts;
  pw_fleet *targets;
  watcher *watchers;
  int nwatchers;
  pw_peers *peers;
  pw_mesh *mesh; /* of peers */
  pw_outbox to_control, to_gateways;
  int64_t
      versions_at; /* when gateways were told of configurations and the like, ms */
  uint64_t number; /* of the last news that control instances were told */
  int confirm; /* a call waits until another instance has what is told next */
  int64_t changed_at;        /* when the set of gateways changed last, ms */
  pw_quarantine *quarantine; /* as gateways told: for those that start anew */
  size_t listed;             /* of it, in the next notice */
  pw_hand *hand;
  pw_pace bulk;     /* tables and documents */
  Pw__Notice table; /* of all targets, as told last */
  int64_t table_at;
  int is_unheard;
  uint64_t table_number; /* what of its own news is in the table */
  int in_touch;          /* a leader was heard just now */
  int leads;             /* this instance leads */
};

pw_watch *pwwatch_new(pw_proc *p, pw_sock *listener, pw_sock *dialler,
                      const pw_doc *doc, const pw_res *resources) {
  pw_watch *w = pw_alloc(sizeof *w);
  w->p = p;
  w->listener = listener;
  w->peers = pwpeers_new(p, dialler);
  w->mesh = pwpeers_mesh(w->peers);
  w->doc = doc;
  w->resources = resources;
  w->quarantine = pwquar_new();
  w->hand = pwhand_new(listener, doc);
  w->bulk = pwpace_of(p->set->control_link);
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
  pwhand_free(w->hand);
  pwfleet_free(w->targets);
  pwzones_free(&w->evacuated);
  pwrolltold_free(&w->rollouts);
  free(w->table.table.data);
  free(w);
}

static int64_t notice_ms(const pw_watch *w) {
  int64_t ms = NOTICE_MS_A_WATCHER * (int64_t)w->nwatchers;
  return ms > NOTICE_MS ? ms : NOTICE_MS;
}

/* --- messages to watchers --- */

/* Gateways rely on members of the group, which know all targets. */
static void add_lists(pw_watch *w, Pw__Notice *n, int with_gateways) {
  const pw_mesh *m = w->mesh;
  n->control = pw_alloc(sizeof(char *) * (size_t)(m->n + 1));
  for (int i = 0; i < m->n; i++)
    if (m->peer[i]->is_member)
      n->control[n->n_control++] = m->peer[i]->addr;
  if (m->is_member)
    n->control[n->n_control++] = w->p->set->control_wire;
  if (!with_gateways)
    return;
  n->gateways = pw_alloc(sizeof(char *) * (size_t)(w->nwatchers + 1));
  for (watcher *one = w->watchers; one; one = one->next)
    if (one->gossip[0])
      n->gateways[n->n_gateways++] = one->gossip;
}

/* Between two lists for one watcher. */
static int64_t list_pause_ms(const pw_watch *w) {
  return LIST_MS + LIST_MS_A_WATCHER * (int64_t)w->nwatchers;
}

static int list_is_due(const pw_watch *w, const watcher *to, int64_t now) {
  return !to->listed_at || (to->listed_at <= w->changed_at &&
                            now - to->listed_at >= list_pause_ms(w));
}

static int suspects_are_due(const pw_watch *w, const watcher *to, int64_t now) {
  return !to->suspects_at || now - to->suspects_at >= list_pause_ms(w);
}

static void add_suspects(pw_watch *w, watcher *to, pw_suspects *s,
                         Pw__Notice *n, int64_t now) {
  n->n_suspects = pwsuspects_list(s, w->quarantine, &w->listed, now);
  n->suspects = s->list;
  to->suspects_at = now;
}

static void hear_suspect(void *arg, uint64_t sign, pw_quar_news what) {
  const pw_watch *w = arg;
  if (what == PWQUAR_BEGUN || what == PWQUAR_RELEASED)
    pwlog(LOG_WARNING, what == PWQUAR_BEGUN ? "quarantined" : "released",
          "sign=%016llx in_quarantine=%d", (unsigned long long)sign,
          pwquar_count(w->quarantine));
}

/* Sends a notice whose heartbeats the caller has filled in. */
static void tell(pw_watch *w, watcher *to, Pw__Notice *n, int64_t now) {
  n->site = pwdoc_version(w->doc);
  n->in_touch = w->in_touch;
  n->watch_ms = (uint32_t)notice_ms(w);
  n->number = to->gossip[0] ? 0 : n->full ? w->table_number : w->number;
  n->revision = w->evacuated.revision;
  n->evacuated = w->evacuated.name;
  n->n_evacuated = w->evacuated.n;
  n->rollouts = w->rollouts.list;
  n->n_rollouts = w->rollouts.n;
  n->leads = w->leads;
  if (list_is_due(w, to, now)) {
    add_lists(w, n, to->is_primary && to->gossip[0]);
    to->listed_at = now;
  }
  pw_suspects suspects;
  if (suspects_are_due(w, to, now))
    add_suspects(w, to, &suspects, n, now);
  Pw__Envelope e = PW_ENVELOPE(NOTICE, notice, n);
  if (pwwire_send(w->listener, &to->peer, &e) != 0)
    to->is_lost = 1; /* it comes again, and is told all */
  n->suspects = NULL;
  n->n_suspects = 0;
  free(n->control);
  free(n->gateways);
  to->told_at = now;
  to->told_site = n->site;
  to->told_revision = n->revision;
}

/* Many who wait are told the same table: one that was made after they had asked. What
** has changed since then they were told besides, and what is older changes nothing. */
static void refresh_table(pw_watch *w, int64_t asked_at, int64_t now) {
  if (w->table_at > asked_at && now - w->table_at < TABLE_MS)
    return;
  free(w->table.table.data);
  w->table = (Pw__Notice)PW__NOTICE__INIT;
  pwtable_write(w->targets, now, &w->table);
  w->table_at = now;
  w->table_number = w->number;
}

static void tell_all_targets(pw_watch *w, watcher *to, int64_t now) {
  Pw__Notice n = PW__NOTICE__INIT;
  refresh_table(w, to->asked_at, now);
  n.table = w->table.table;
  n.table_size = w->table.table_size;
  n.full = 1;
  to->listed_at = 0;
  to->asked_at = 0;
  tell(w, to, &n, now);
  pwpace_take(&w->bulk, n.table.len, now);
  pwcount_add(w->p->counters, PWC_TABLES_TOLD, 1);
  pwcount_add(w->p->counters, PWC_TABLES_BYTES, (int64_t)n.table.len);
}

/* The first that waits: control instances before gateways, then in turn. */
static watcher *first_waiting(const pw_watch *w) {
  watcher *best = NULL;
  for (watcher *one = w->watchers; one; one = one->next)
    if (one->asked_at && (!best || !one->gossip[0] || best->gossip[0]))
      best = one; /* later ones came earlier */
  return best;
}

/* Tables of a large fleet are many times what the link carries in a second: sent
** all at once they would hold up everything else, so they take their share. */
static void tell_tables(pw_watch *w, int64_t now) {
  while (pwpace_has_room(&w->bulk, now)) {
    watcher *to = first_waiting(w);
    if (!to)
      return;
    tell_all_targets(w, to, now);
  }
}

/* --- news --- */

/* They are told all, as if they were new. */
static void lose_watchers(pw_watch *w, int of_control) {
  for (watcher *one = w->watchers; one; one = one->next)
    if ((one->gossip[0] == 0) == of_control)
      one->is_lost = 1;
}

static void tell_control(pw_watch *w, const pw_tidings *t) {
  if (pwoutbox_add(&w->to_control, t) != 0)
    lose_watchers(w, 1);
}

static void note_news(pw_watch *w, const pw_beat *b, pw_fleet_news what,
                      int is_own, int64_t heard_at) {
  pw_tidings t = {.beat = *b,
                  .gone = what == PWFLEET_GONE,
                  .silent = what == PWFLEET_SILENT,
                  .is_change = what > PWFLEET_RENEWED,
                  .is_own = is_own,
                  .heard_at = heard_at};
  if (what == PWFLEET_RESTARTED)
    pwcount_add(w->p->counters, PWC_RESTARTS, 1);
  if (t.is_change)
    pwlog(LOG_NOTICE, pwfleet_news_name(what),
          "target=%s born=%llu service=%s address=%s", b->id,
          (unsigned long long)b->born, b->service, b->address);
  if (is_own)
    tell_control(w, &t);
  if (t.is_change && pwoutbox_add(&w->to_gateways, &t) != 0)
    lose_watchers(w, 0);
}

/* Whether another control instance is there to have what is heard here. */
static int has_audience(const pw_watch *w) {
  for (const watcher *one = w->watchers; one; one = one->next)
    if (!one->gossip[0] && one->is_primary)
      return 1;
  return 0;
}

/* What another instance has told of a target's end: it may itself end before all have it. */
static void pass_on(pw_watch *w, const pw_beat *b, pw_fleet_news what,
                    int64_t heard_at) {
  pw_tidings t = {.beat = *b,
                  .gone = what == PWFLEET_GONE,
                  .is_change = 1,
                  .heard_at = heard_at};
  if (w->mesh->is_member)
    tell_control(w, &t);
}

/* Which start it is that ends, where the target does not say: a member of the group knows. */
static uint64_t start_that_ends(const pw_watch *w, const pw_beat *b) {
  return b->born || !w->mesh->is_member ? b->born
                                        : pwfleet_find(w->targets, b->id)->born;
}

/* That a target ends is told each time that it says so: the time before may have been lost. */
static void note_gone(pw_watch *w, const pw_beat *b, pw_fleet_news what,
                      int64_t now) {
  pw_tidings t = {.beat = *b, .gone = 1, .is_own = 1, .heard_at = now};
  t.beat.born = start_that_ends(w, b);
  if (what == PWFLEET_OLD)
    tell_control(w, &t);
  else
    note_news(w, &t.beat, what, 1, now);
}

uint64_t pwwatch_beat(pw_watch *w, const pw_beat *b, int gone, int64_t now) {
  pw_fleet_news what = pwfleet_beat(w->targets, b, gone, now);
  if (gone)
    note_gone(w, b, what, now);
  else if (what != PWFLEET_OLD)
    note_news(w, b, what, 1, now);
  if ((!gone && !b->leaving) || !has_audience(w))
    return 0;
  w->confirm = 1;
  return w->number + 1;
}

static void on_silent(void *arg, pw_target *t, int forgotten) {
  pw_watch *w = arg;
  pw_beat b;
  int64_t now = pwclock_ms();
  if (forgotten) {
    pwlog(LOG_NOTICE, "target-forgotten", "target=%s", t->id);
    return;
  }
  pwfleet_beat_of(t, &b);
  note_news(w, &b, PWFLEET_SILENT, 0, now);
}

typedef struct told {
  pw_watch *w;
  const pw_peer *from;
  int64_t now;
} told;

/* Another control instance has heard a target. Who is silent each judges by
** itself, from all that they have told each other. */
static void on_told(void *arg, const Pw__Beat *beat) {
  const told *in = arg;
  pw_beat b;
  if (beat->silent)
    return;
  pwtable_unpack(beat, &b);
  int64_t heard_at = in->now - beat->age;
  pw_fleet_news what =
      pwtable_is_renewal(beat)
          ? pwfleet_renew(in->w->targets, b.id, b.born, b.seq, heard_at)
          : pwfleet_beat(in->w->targets, &b, beat->gone, heard_at);
  if (pwtable_is_renewal(beat) && !pwfleet_knows(in->w->targets, b.id, b.born))
    pwpeers_ask_all(in->w->peers, in->from);
  if (what == PWFLEET_BACK) /* a renewal does not say all that it is */
    pwfleet_beat_of(pwfleet_find(in->w->targets, b.id), &b);
  if (what >= PWFLEET_JOINED)
    note_news(in->w, &b, what, 0, heard_at);
  if (what == PWFLEET_LEAVING || what == PWFLEET_GONE)
    pass_on(in->w, &b, what, heard_at);
}

/* --- watchers --- */

static watcher *watcher_of(pw_watch *w, const pw_peer *from,
                           uint64_t incarnation) {
  for (watcher *one = w->watchers; one; one = one->next)
    if (pwwire_same(&one->peer, from) && one->incarnation == incarnation)
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

static int may_be_sent_to(const pw_watch *w, const pw_target *t) {
  return !t->is_gone && !t->is_leaving && !t->is_silent &&
         !pwzones_holds(&w->evacuated, t->availability_zone);
}

void pwwatch_slots(const pw_watch *w, const char *service, const char *version,
                   double *of_version, double *of_others) {
  *of_version = *of_others = 0;
  for (pw_target *t = pwfleet_first(w->targets); t; t = t->hh.next) {
    if (strcmp(t->service, service) != 0 || !may_be_sent_to(w, t))
      continue;
    *(strcmp(t->version, version) ? of_others : of_version) += t->slots;
  }
}

const pw_zones *pwwatch_evacuated(const pw_watch *w) {
  return &w->evacuated;
}

/* A watcher came or went. */
static void note_gateways(pw_watch *w, const watcher *one) {
  if (one->gossip[0])
    w->changed_at = pwclock_ms();
}

static watcher *add_watcher(pw_watch *w, const pw_peer *from,
                            const Pw__Envelope *e) {
  watcher *one = pw_alloc(sizeof *one);
  one->peer = *from;
  one->incarnation = e->incarnation;
  one->next = w->watchers;
  w->watchers = one;
  w->nwatchers++;
  one->told_site = UINT64_MAX; /* it is told at once */
  pw_copy(one->gossip, sizeof one->gossip, e->watch->gossip);
  pw_copy(one->control, sizeof one->control, e->watch->control);
  note_gateways(w, one);
  return one;
}

static void on_watch(pw_watch *w, const pw_peer *from, const Pw__Envelope *e,
                     int64_t now) {
  const Pw__Watch *m = e->watch;
  watcher *one = watcher_of(w, from, e->incarnation);
  if (!one)
    one = add_watcher(w, from, e);
  one->heard_at = now;
  pwpeers_watched(w->peers, m, now);
  int relies = m->primary && !one->is_primary;
  one->is_primary = m->primary;
  pwsuspects_take(w->quarantine, m->suspects, m->n_suspects, now, hear_suspect,
                  w);
  if (relies)
    one->asked_at = now;
  else if (!m->primary)
    one->asked_at = 0;
  if (one->gossip[0])
    pwhand_watch(w->hand, from, e->incarnation, m, now);
}

void pwwatch_message(pw_watch *w, const pw_peer *from, const Pw__Envelope *e,
                     int64_t now) {
  told in = {w, from, now};
  if (e->body_case == PW__ENVELOPE__BODY_WATCH) {
    on_watch(w, from, e, now);
  } else if (e->body_case == PW__ENVELOPE__BODY_NOTICE) {
    pwtable_read(e->notice, on_told, &in);
    pwpeers_told(w->peers, from, e, now);
    pwsuspects_take(w->quarantine, e->notice->suspects, e->notice->n_suspects,
                    now, hear_suspect, w);
  }
}

void pwwatch_excuse(pw_watch *w, int64_t ms) {
  pwfleet_excuse(w->targets, ms);
  for (watcher *one = w->watchers; one; one = one->next)
    one->heard_at += ms;
}

static void drop_lost(pw_watch *w, int64_t now) {
  int64_t longest = LOST_TIMES * notice_ms(w);
  for (watcher **at = &w->watchers; *at;) {
    watcher *one = *at;
    if (!one->is_lost && now - one->heard_at < longest) {
      at = &one->next;
      continue;
    }
    *at = one->next;
    w->nwatchers--;
    note_gateways(w, one);
    pwhand_drop(w->hand, &one->peer, one->incarnation);
    free(one);
  }
}

/* --- other control instances --- */

void pwwatch_group(pw_watch *w, char (*addr)[PW_NAME_MAX], int n, int is_member,
                   int64_t now) {
  pwmesh_group(w->mesh, addr, n, is_member, now);
}

uint64_t pwwatch_held(const pw_watch *w) {
  return pwmesh_held(w->mesh);
}

int pwwatch_is_heard(const pw_watch *w, int64_t now) {
  return w->mesh->is_member || pwmesh_is_heard(w->mesh, now);
}

json_t *pwwatch_observers_json(const pw_watch *w) {
  json_t *list = json_array();
  for (int i = 0; i < w->mesh->n; i++)
    if (!w->mesh->peer[i]->is_member)
      json_array_append_new(list, json_string(w->mesh->peer[i]->addr));
  return list;
}

/* --- time --- */

/* Who is told what: other control instances what was heard here, its renewals
** too, and observers nothing of targets. Gateways hear of changes: of all from the instance
** that they rely on, of what was heard here and leaves from every one. */
typedef enum audience {
  TO_CONTROL,
  TO_OBSERVERS,
  TO_RELYING,
  TO_OTHERS
} audience;

static audience audience_of(const watcher *one) {
  if (!one->gossip[0])
    return one->is_primary ? TO_CONTROL : TO_OBSERVERS;
  return one->is_primary ? TO_RELYING : TO_OTHERS;
}

static int is_any(const pw_tidings *t) {
  (void)t;
  return 1;
}

static int is_own_end(const pw_tidings *t) {
  return t->is_own && (t->gone || t->beat.leaving);
}

static int is_nothing(const pw_tidings *t) {
  (void)t;
  return 0;
}

/* Whether the configuration or the evacuated availability zones are others than it was
** told. */
static int is_news_to(const pw_watch *w, const watcher *to) {
  return to->told_site != pwdoc_version(w->doc) ||
         to->told_revision != w->evacuated.revision;
}

static void tell_news(pw_watch *w, watcher *to, const pw_bundle *b,
                      int64_t now) {
  Pw__Notice n = b->notice;
  n.confirm = audience_of(to) == TO_CONTROL && w->confirm;
  if (b->n || is_news_to(w, to) || now - to->told_at >= notice_ms(w))
    tell(w, to, &n, now);
}

static void tell_each(pw_watch *w, audience to, const pw_bundle *b,
                      int64_t now) {
  for (watcher *one = w->watchers; one; one = one->next)
    if (audience_of(one) == to)
      tell_news(w, one, b, now);
}

static void tell_audience(pw_watch *w, audience to, const pw_outbox *from,
                          int (*concerns)(const pw_tidings *t), int64_t now) {
  pw_bundle b;
  pwbundle_make(&b, from, concerns, now);
  if (to == TO_CONTROL && b.n)
    w->number++;
  tell_each(w, to, &b, now);
  pwbundle_free(&b);
}

static int is_news(const pw_watch *w) {
  for (watcher *one = w->watchers; one; one = one->next)
    if (one->gossip[0] && is_news_to(w, one))
      return 1;
  return 0;
}

/* Control instances are few, and a call may wait until they have it. */
static void tell_control_instances(pw_watch *w, int64_t now) {
  if (!w->confirm && !pwoutbox_is_due(&w->to_control, GATHER_MS, RENEW_MS, now))
    return;
  tell_audience(w, TO_CONTROL, &w->to_control, is_any, now);
  tell_audience(w, TO_OBSERVERS, &w->to_control, is_nothing, now);
  pwoutbox_told(&w->to_control, now);
  w->confirm = 0;
}

/* A newer configuration, or other evacuated availability zones or roll-outs, to those that do not
** know of it. */
static void tell_versions(pw_watch *w, int64_t now) {
  if (now - w->versions_at < pwgather_versions_ms(w->nwatchers) || !is_news(w))
    return;
  w->versions_at = now;
  for (watcher *one = w->watchers; one; one = one->next) {
    Pw__Notice n = PW__NOTICE__INIT;
    if (one->gossip[0] && is_news_to(w, one))
      tell(w, one, &n, now);
  }
}

static int count_relying(const pw_watch *w) {
  int n = 0;
  for (const watcher *one = w->watchers; one; one = one->next)
    n += one->gossip[0] && one->is_primary;
  return n;
}

/* The first change goes out at once; those that follow closely wait a little
** for each other. */
static void tell_gateways(pw_watch *w, int64_t now) {
  int relying = count_relying(w);
  int64_t gather = pwgather_targets_ms(relying, w->nwatchers - relying);
  int64_t renew = gather > RENEW_MS ? gather : RENEW_MS;
  if (!pwoutbox_is_due(&w->to_gateways, gather, renew, now))
    return;
  tell_audience(w, TO_RELYING, &w->to_gateways, is_any, now);
  tell_audience(w, TO_OTHERS, &w->to_gateways, is_own_end, now);
  pwoutbox_told(&w->to_gateways, now);
}

static void count(pw_watch *w, int64_t now) {
  pw_counters *c = w->p->counters;
  int unheard = !pwwatch_is_heard(w, now);
  pwcount_set(c, PWC_QUARANTINED, pwquar_count(w->quarantine));
  pwcount_set(c, PWC_OBSERVERS, pwmesh_observers(w->mesh));
  pwcount_set(c, PWC_UNHEARD, unheard);
  if (unheard != w->is_unheard)
    pwlog(unheard ? LOG_WARNING : LOG_NOTICE, unheard ? "unheard" : "heard",
          "control_instances=%d", w->mesh->n);
  w->is_unheard = unheard;
}

void pwwatch_tick(pw_watch *w, int in_touch, int leads, int64_t now) {
  w->in_touch = in_touch;
  w->leads = leads;
  pwzones_read(&w->evacuated, w->resources);
  pwrolltold_read(&w->rollouts, w->resources);
  drop_lost(w, now);
  pwquar_tick(w->quarantine, now);
  count(w, now);
  pwpeers_tick(w->peers, now);
  pwfleet_tick(w->targets, now, on_silent, w);
  pwhand_serve(w->hand, &w->bulk, now);
  tell_tables(w, now);
  tell_control_instances(w, now);
  tell_versions(w, now);
  tell_gateways(w, now);
}
