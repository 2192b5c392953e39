/* pwwatch.c: those who watch a control instance. */
#include "pwwatch.h"

#include "pwbuf.h"
#include "pwcons.h"
#include "pwhand.h"
#include "pwlimits.h"
#include "pwlog.h"
#include "pwpace.h"
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

/* A single change goes out at once, more within so long together: the longer the
** more there are to tell; ms. */
#define GATHER_MS 30
#define GATHER_MS_A_WATCHER 2

#define TABLE_MS 300 /* a table is told so long before it is made anew */

#define NEWS_MAX 2048 /* heartbeats that wait to be passed on */

typedef struct watcher {
  pw_peer peer;
  uint64_t incarnation;
  char gossip[PW_NAME_MAX]; /* "": another control instance */
  int is_primary;           /* it relies on this one for all of the targets */
  int is_lost;              /* a message to it was dropped */
  int64_t asked_at; /* when it asked for all targets; 0: it need not be told */
  int64_t heard_at, told_at, listed_at;
  uint64_t told_site;
  uint64_t told_revision; /* of the evacuated availability zones */
  int64_t suspects_at;    /* when it was told of requests in quarantine */
  struct watcher *next;
} watcher;

/* Another control instance, which this one watches. */
typedef struct other {
  char addr[PW_NAME_MAX];
  pw_peer peer;
  int64_t asked_at;
  int must_tell_all; /* it knows of targets that this one does not */
} other;

typedef struct news {
  pw_beat beat;
  int gone, silent;
  int is_change; /* else: it was heard again, as before */
  int is_own;    /* heard here, not told by another control instance */
  int64_t heard_at;
} news;

struct pw_watch {
  pw_proc *p;
  pw_sock *listener, *dialler;
  const pw_doc *doc;
  const pw_res *resources;
  pw_zones evacuated;
  pw_fleet *targets;
  watcher *watchers;
  int nwatchers;
  other others[PWCONS_MEMBERS];
  int nothers;
  news news[NEWS_MAX];
  int nnews;
  int64_t urgent_at; /* when the oldest change came; 0: there is none */
  int64_t renewed_at;
  int64_t changed_at;        /* when the set of gateways changed last, ms */
  pw_quarantine *quarantine; /* as gateways told: for those that start anew */
  size_t listed;             /* of it, in the next notice */
  pw_hand *hand;
  pw_pace bulk;     /* tables and documents */
  Pw__Notice table; /* of all targets, as told last */
  int64_t table_at;
  int in_touch; /* a leader was heard just now */
};

pw_watch *pwwatch_new(pw_proc *p, pw_sock *listener, pw_sock *dialler,
                      const pw_doc *doc, const pw_res *resources) {
  pw_watch *w = pw_alloc(sizeof *w);
  w->p = p;
  w->listener = listener;
  w->dialler = dialler;
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
  pwquar_free(w->quarantine);
  pwhand_free(w->hand);
  pwfleet_free(w->targets);
  pwzones_free(&w->evacuated);
  free(w->table.table.data);
  free(w);
}

static int64_t notice_ms(const pw_watch *w) {
  int64_t ms = NOTICE_MS_A_WATCHER * (int64_t)w->nwatchers;
  return ms > NOTICE_MS ? ms : NOTICE_MS;
}

/* --- messages to watchers --- */

static void add_lists(pw_watch *w, Pw__Notice *n, int with_gateways) {
  n->control = pw_alloc(sizeof(char *) * (size_t)(w->nothers + 1));
  for (int i = 0; i < w->nothers; i++)
    n->control[n->n_control++] = w->others[i].addr;
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
  n->revision = w->evacuated.revision;
  n->evacuated = w->evacuated.name;
  n->n_evacuated = w->evacuated.n;
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

static void note_news(pw_watch *w, const pw_beat *b, pw_fleet_news what,
                      int is_own, int64_t heard_at) {
  int is_change = what != PWFLEET_RENEWED;
  if (what == PWFLEET_RESTARTED)
    pwcount_add(w->p->counters, PWC_RESTARTS, 1);
  if (is_change)
    pwlog(LOG_NOTICE, pwfleet_news_name(what),
          "target=%s born=%llu service=%s address=%s", b->id,
          (unsigned long long)b->born, b->service, b->address);
  if (w->nnews == NEWS_MAX) { /* watchers are told all, as if they were new */
    for (watcher *one = w->watchers; one; one = one->next)
      one->is_lost = 1;
    w->nnews = 0;
  }
  w->news[w->nnews++] = (news){
      *b,      what == PWFLEET_GONE, what == PWFLEET_SILENT, is_change, is_own,
      heard_at};
  if (is_change && !w->urgent_at)
    w->urgent_at = pwclock_ms();
}

void pwwatch_beat(pw_watch *w, const pw_beat *b, int gone, int64_t now) {
  pw_beat told = *b;
  pw_fleet_news what = pwfleet_beat(w->targets, b, gone, now);
  if (what == PWFLEET_GONE) /* others may know of another start */
    told.born = pwfleet_find(w->targets, b->id)->born;
  if (what != PWFLEET_OLD)
    note_news(w, &told, what, 1, now);
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
  other *from;
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
  if (pwtable_is_renewal(beat) && in->from &&
      !pwfleet_knows(in->w->targets, b.id, b.born))
    in->from->must_tell_all = 1; /* not known here, as after a long pause */
  if (what == PWFLEET_BACK)      /* a renewal does not say all that it is */
    pwfleet_beat_of(pwfleet_find(in->w->targets, b.id), &b);
  if (what >= PWFLEET_JOINED)
    note_news(in->w, &b, what, 0, heard_at);
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

static other *other_of(pw_watch *w, const pw_peer *peer) {
  for (int i = 0; i < w->nothers; i++)
    if (pwwire_same(&w->others[i].peer, peer))
      return &w->others[i];
  return NULL;
}

void pwwatch_message(pw_watch *w, const pw_peer *from, const Pw__Envelope *e,
                     int64_t now) {
  told in = {w, other_of(w, from), now};
  if (e->body_case == PW__ENVELOPE__BODY_WATCH) {
    on_watch(w, from, e, now);
  } else if (e->body_case == PW__ENVELOPE__BODY_NOTICE) {
    pwtable_read(e->notice, on_told, &in);
    pwsuspects_take(w->quarantine, e->notice->suspects, e->notice->n_suspects,
                    now, hear_suspect, w);
  }
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

void pwwatch_others(pw_watch *w, char (*addr)[PW_NAME_MAX], int n) {
  other next[PWCONS_MEMBERS];
  int count = 0;
  for (int i = 0; i < n && count < PWCONS_MEMBERS; i++) {
    other *o = &next[count];
    if (!strcmp(addr[i], w->p->set->control_wire))
      continue;
    *o = (other){0};
    for (int k = 0; k < w->nothers; k++)
      if (!strcmp(w->others[k].addr, addr[i]))
        *o = w->others[k];
    if (!o->addr[0]) {
      pw_copy(o->addr, sizeof o->addr, addr[i]);
      pwwire_dial(w->dialler, o->addr, &o->peer);
    }
    count++;
  }
  memcpy(w->others, next, sizeof next[0] * (size_t)count);
  w->nothers = count;
}

static void send_watch(pw_watch *w, const other *o, int primary) {
  Pw__Watch m = PW__WATCH__INIT;
  m.primary = primary;
  Pw__Envelope e = PW_ENVELOPE(WATCH, watch, &m);
  pwwire_send(w->dialler, &o->peer, &e);
}

/* Who begins to rely on another instance is told all by it. */
static void watch_others(pw_watch *w, int64_t now) {
  for (int i = 0; i < w->nothers; i++) {
    other *o = &w->others[i];
    if (now - o->asked_at < NOTICE_MS)
      continue;
    o->asked_at = now;
    if (o->must_tell_all)
      send_watch(w, o, 0);
    o->must_tell_all = 0;
    send_watch(w, o, 1);
  }
}

/* --- time --- */

/* Who is told what: other control instances what was heard here, its renewals
** too. Gateways hear of changes: of all from the instance that they rely on, of
** what was heard here and leaves from every one. */
typedef enum audience { TO_CONTROL, TO_RELYING, TO_OTHERS, AUDIENCES } audience;

static audience audience_of(const watcher *one) {
  if (!one->gossip[0])
    return TO_CONTROL;
  return one->is_primary ? TO_RELYING : TO_OTHERS;
}

static int concerns(const news *n, audience to) {
  if (to == TO_CONTROL)
    return n->is_own;
  if (to == TO_RELYING)
    return n->is_change;
  return n->is_change && n->is_own && (n->gone || n->beat.leaving);
}

/* What one audience is told, made once for all of it. */
typedef struct bundle {
  Pw__Notice notice;
  Pw__Beat *beat;
  Pw__Beat **at;
  size_t n;
} bundle;

static void make_bundle(const pw_watch *w, audience to, int64_t now,
                        bundle *out) {
  *out = (bundle){.notice = PW__NOTICE__INIT};
  out->beat = pw_alloc(sizeof *out->beat * (size_t)(w->nnews + 1));
  out->at = pw_alloc(sizeof *out->at * (size_t)(w->nnews + 1));
  for (int i = 0; i < w->nnews; i++) {
    const news *one = &w->news[i];
    int64_t age = now - one->heard_at;
    if (!concerns(one, to))
      continue;
    Pw__Beat *beat = &out->beat[out->n];
    if (one->is_change || one->beat.leaving) /* may overtake the change */
      pwtable_pack(beat, &one->beat, one->gone, one->silent, age);
    else
      pwtable_pack_renewal(beat, &one->beat, age);
    out->at[out->n++] = beat;
  }
  pwtable_put(out->at, out->n, &out->notice);
}

static void free_bundle(bundle *b) {
  free(b->notice.table.data);
  free(b->at);
  free(b->beat);
}

/* Whether the configuration or the evacuated availability zones are others than it was
** told. */
static int is_news_to(const pw_watch *w, const watcher *to) {
  return to->told_site != pwdoc_version(w->doc) ||
         to->told_revision != w->evacuated.revision;
}

static void tell_news(pw_watch *w, watcher *to, const bundle *b, int64_t now) {
  Pw__Notice n = b->notice;
  if (b->n || is_news_to(w, to) || now - to->told_at >= notice_ms(w))
    tell(w, to, &n, now);
}

static void tell_all(pw_watch *w, int64_t now) {
  bundle b[AUDIENCES];
  for (int i = 0; i < AUDIENCES; i++)
    make_bundle(w, (audience)i, now, &b[i]);
  for (watcher *one = w->watchers; one; one = one->next)
    tell_news(w, one, &b[audience_of(one)], now);
  for (int i = 0; i < AUDIENCES; i++)
    free_bundle(&b[i]);
}

static int is_news(const pw_watch *w) {
  for (watcher *one = w->watchers; one; one = one->next)
    if (is_news_to(w, one))
      return 1;
  return 0;
}

/* The first change goes out at once; those that follow closely wait a little
** for each other. */
static int is_due(const pw_watch *w, int64_t now) {
  int64_t gather = GATHER_MS_A_WATCHER * (int64_t)w->nwatchers;
  if (now - w->renewed_at >= (gather > RENEW_MS ? gather : RENEW_MS))
    return 1;
  return (w->urgent_at || is_news(w)) &&
         now - w->renewed_at >= (gather > GATHER_MS ? gather : GATHER_MS);
}

void pwwatch_tick(pw_watch *w, int in_touch, int64_t now) {
  w->in_touch = in_touch;
  pwzones_read(&w->evacuated, w->resources);
  drop_lost(w, now);
  pwquar_tick(w->quarantine, now);
  pwcount_set(w->p->counters, PWC_QUARANTINED, pwquar_count(w->quarantine));
  watch_others(w, now);
  pwfleet_tick(w->targets, now, on_silent, w);
  pwhand_serve(w->hand, &w->bulk, now);
  tell_tables(w, now);
  if (!is_due(w, now))
    return;
  tell_all(w, now);
  w->nnews = 0;
  w->urgent_at = 0;
  w->renewed_at = now;
}
