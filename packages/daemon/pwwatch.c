/* pwwatch.c: those who watch a control instance. */
#include "pwwatch.h"

#include "pwbuf.h"
#include "pwcons.h"
#include "pwlimits.h"
#include "pwlog.h"

#include <stdlib.h>
#include <string.h>

/* A watcher that says nothing for so long is gone, ms. */
#define WATCHER_LOST_MS 3000

/* Heartbeats that change nothing are passed on together, ms. */
#define RENEW_MS 250

/* Watchers hear something at least so often, ms. */
#define NOTICE_MS 500

/* And the list of gateways again after so long, ms. */
#define LIST_MS 2000

#define NEWS_MAX 256 /* heartbeats that wait to be passed on */

typedef struct watcher {
  pw_peer peer;
  uint64_t incarnation;
  char gossip[PW_NAME_MAX];
  int64_t heard_at, told_at, listed_at;
  uint64_t told_site;
  struct watcher *next;
} watcher;

/* Another control instance, which this one watches. */
typedef struct other {
  char addr[PW_NAME_MAX];
  pw_peer peer;
  int64_t asked_at;
} other;

typedef struct news {
  pw_beat beat;
  int gone;
  int64_t heard_at;
} news;

struct pw_watch {
  pw_proc *p;
  pw_sock *listener, *dialler;
  const pw_doc *doc;
  pw_fleet *targets;
  watcher *watchers;
  other others[PWCONS_MEMBERS];
  int nothers;
  news news[NEWS_MAX];
  int nnews;
  int is_urgent; /* something has changed: it is told at once */
  int64_t renewed_at;
  int gateways_changed;
};

pw_watch *pwwatch_new(pw_proc *p, pw_sock *listener, pw_sock *dialler,
                      const pw_doc *doc) {
  pw_watch *w = pw_alloc(sizeof *w);
  w->p = p;
  w->listener = listener;
  w->dialler = dialler;
  w->doc = doc;
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
  pwfleet_free(w->targets);
  free(w);
}

/* --- messages to watchers --- */

typedef struct beats {
  Pw__Beat *beat;
  Pw__Beat **at;
  size_t n;
} beats;

static void pack_beat(Pw__Beat *out, const pw_beat *b, int gone, int64_t age) {
  pw__beat__init(out);
  out->target = (char *)b->id;
  out->service = (char *)b->service;
  out->address = (char *)b->address;
  out->availability_zone = (char *)b->zone;
  out->version = (char *)b->version;
  out->slots = (uint32_t)b->slots;
  out->leaving = b->leaving;
  out->gone = gone;
  out->cold = (uint32_t)(b->cold_ms > age ? b->cold_ms - age : 0);
  out->seq = b->seq;
  out->age = (uint32_t)(age > 0 ? age : 0);
}

static void new_beats(beats *b, size_t cap) {
  b->beat = pw_alloc(sizeof *b->beat * (cap + 1));
  b->at = pw_alloc(sizeof *b->at * (cap + 1));
  b->n = 0;
}

static void free_beats(beats *b) {
  free(b->beat);
  free(b->at);
}

static void add_beat(beats *b, const pw_beat *beat, int gone, int64_t age) {
  pack_beat(&b->beat[b->n], beat, gone, age);
  b->at[b->n] = &b->beat[b->n];
  b->n++;
}

/* A target as its last heartbeat told. Its strings are the target's. */
static pw_beat beat_of(const pw_target *t, int64_t now) {
  pw_beat b = {.slots = t->slots,
               .leaving = t->is_leaving,
               .cold_ms = t->cold_until > now ? t->cold_until - now : 0,
               .seq = t->seq};
  pw_copy(b.id, sizeof b.id, t->id);
  pw_copy(b.service, sizeof b.service, t->service);
  pw_copy(b.address, sizeof b.address, t->address);
  pw_copy(b.zone, sizeof b.zone, t->zone);
  return b;
}

static void add_lists(pw_watch *w, Pw__Notice *n, int with_gateways) {
  size_t count = 1;
  for (watcher *one = w->watchers; one; one = one->next)
    count++;
  n->control = pw_alloc(sizeof(char *) * (size_t)(w->nothers + 1));
  for (int i = 0; i < w->nothers; i++)
    n->control[n->n_control++] = w->others[i].addr;
  n->control[n->n_control++] = w->p->set->control_wire;
  if (!with_gateways)
    return;
  n->gateways = pw_alloc(sizeof(char *) * count);
  for (watcher *one = w->watchers; one; one = one->next)
    if (one->gossip[0])
      n->gateways[n->n_gateways++] = one->gossip;
}

static void tell(pw_watch *w, watcher *to, const beats *b, int full,
                 int in_touch, int64_t now) {
  Pw__Notice n = PW__NOTICE__INIT;
  n.site = pwdoc_version(w->doc);
  n.in_touch = in_touch;
  n.full = full;
  n.beats = b->at;
  n.n_beats = b->n;
  int lists = full || w->gateways_changed || now - to->listed_at >= LIST_MS;
  if (lists) {
    add_lists(w, &n, to->gossip[0] != 0);
    to->listed_at = now;
  }
  Pw__Envelope e = PW_ENVELOPE(NOTICE, notice, &n);
  pwwire_send(w->listener, &to->peer, &e);
  free(n.control);
  free(n.gateways);
  to->told_at = now;
  to->told_site = n.site;
}

static void tell_all_targets(pw_watch *w, watcher *to, int64_t now) {
  beats b;
  size_t n = 0;
  for (pw_target *t = pwfleet_first(w->targets); t; t = t->hh.next)
    n++;
  pw_beat *all = pw_alloc(sizeof *all * (n + 1));
  new_beats(&b, n);
  for (pw_target *t = pwfleet_first(w->targets); t; t = t->hh.next) {
    pw_beat *one = &all[b.n];
    *one = beat_of(t, now);
    add_beat(&b, one, t->is_gone, now - t->heard_at);
  }
  tell(w, to, &b, 1, 0, now);
  free_beats(&b);
  free(all);
}

static void send_document(pw_watch *w, const pw_peer *to, uint64_t have) {
  Pw__Document d;
  pwdoc_pack(w->doc, have, &d);
  Pw__Envelope e = PW_ENVELOPE(DOCUMENT, document, &d);
  pwwire_send(w->listener, to, &e);
  free(d.data.data);
}

/* --- news --- */

static void note_news(pw_watch *w, const pw_beat *b, int gone, int urgent,
                      int64_t heard_at) {
  if (w->nnews == NEWS_MAX) { /* a later heartbeat says the same again */
    pwlog(LOG_WARNING, "news-full", "target=%s", b->id);
    return;
  }
  w->news[w->nnews++] = (news){*b, gone, heard_at};
  w->is_urgent |= urgent;
}

static void log_change(const pw_beat *b, pw_fleet_news what) {
  static const char *const name[] = {[PWFLEET_JOINED] = "target-joined",
                                     [PWFLEET_LEAVING] = "target-leaving",
                                     [PWFLEET_GONE] = "target-gone"};
  if (what >= PWFLEET_JOINED)
    pwlog(LOG_NOTICE, name[what], "target=%s service=%s address=%s", b->id,
          b->service, b->address);
}

void pwwatch_beat(pw_watch *w, const pw_beat *b, int gone, int64_t now) {
  pw_fleet_news what = pwfleet_beat(w->targets, b, gone, now);
  log_change(b, what);
  if (what != PWFLEET_OLD)
    note_news(w, b, gone, what != PWFLEET_RENEWED, now);
}

/* Another control instance tells: what is new here is passed on. */
static void on_notice(pw_watch *w, const Pw__Notice *n, int64_t now) {
  for (size_t i = 0; i < n->n_beats; i++) {
    pw_beat b;
    pwwatch_unpack(n->beats[i], &b);
    int64_t heard_at = now - n->beats[i]->age;
    pw_fleet_news what =
        pwfleet_beat(w->targets, &b, n->beats[i]->gone, heard_at);
    if (what >= PWFLEET_JOINED)
      note_news(w, &b, n->beats[i]->gone, 1, heard_at);
  }
}

void pwwatch_unpack(const Pw__Beat *in, pw_beat *out) {
  *out = (pw_beat){.slots = (int)in->slots,
                   .leaving = in->leaving,
                   .cold_ms = in->cold,
                   .seq = in->seq};
  pw_copy(out->id, sizeof out->id, in->target);
  pw_copy(out->service, sizeof out->service, in->service);
  pw_copy(out->address, sizeof out->address, in->address);
  pw_copy(out->zone, sizeof out->zone, in->availability_zone);
  pw_copy(out->version, sizeof out->version, in->version);
}

/* --- watchers --- */

static watcher *watcher_of(pw_watch *w, const pw_peer *from,
                           uint64_t incarnation) {
  for (watcher *one = w->watchers; one; one = one->next)
    if (pwwire_same(&one->peer, from) && one->incarnation == incarnation)
      return one;
  return NULL;
}

static void on_watch(pw_watch *w, const pw_peer *from, const Pw__Envelope *e,
                     int64_t now) {
  const Pw__Watch *m = e->watch;
  watcher *one = watcher_of(w, from, e->incarnation);
  int is_new = !one;
  if (is_new) {
    one = pw_alloc(sizeof *one);
    one->peer = *from;
    one->incarnation = e->incarnation;
    one->next = w->watchers;
    w->watchers = one;
    pw_copy(one->gossip, sizeof one->gossip, m->gossip);
    w->gateways_changed |= one->gossip[0] != 0;
  }
  one->heard_at = now;
  if (is_new)
    tell_all_targets(w, one, now);
  if (m->want && pwdoc_version(w->doc) > m->site)
    send_document(w, from, m->site);
}

void pwwatch_message(pw_watch *w, const pw_peer *from, const Pw__Envelope *e,
                     int64_t now) {
  if (e->body_case == PW__ENVELOPE__BODY_WATCH)
    on_watch(w, from, e, now);
  else if (e->body_case == PW__ENVELOPE__BODY_NOTICE)
    on_notice(w, e->notice, now);
}

static void drop_lost(pw_watch *w, int64_t now) {
  for (watcher **at = &w->watchers; *at;) {
    watcher *one = *at;
    if (now - one->heard_at < WATCHER_LOST_MS) {
      at = &one->next;
      continue;
    }
    *at = one->next;
    w->gateways_changed |= one->gossip[0] != 0;
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

static void watch_others(pw_watch *w, int64_t now) {
  for (int i = 0; i < w->nothers; i++) {
    other *o = &w->others[i];
    if (now - o->asked_at < NOTICE_MS)
      continue;
    o->asked_at = now;
    Pw__Watch m = PW__WATCH__INIT;
    Pw__Envelope e = PW_ENVELOPE(WATCH, watch, &m);
    pwwire_send(w->dialler, &o->peer, &e);
  }
}

/* --- time --- */

static void tell_news(pw_watch *w, int in_touch, int64_t now) {
  beats b;
  new_beats(&b, NEWS_MAX);
  for (int i = 0; i < w->nnews; i++)
    add_beat(&b, &w->news[i].beat, w->news[i].gone, now - w->news[i].heard_at);
  int all = b.n > 0 || w->gateways_changed;
  for (watcher *one = w->watchers; one; one = one->next)
    if (all || one->told_site != pwdoc_version(w->doc) ||
        now - one->told_at >= NOTICE_MS)
      tell(w, one, &b, 0, in_touch, now);
  free_beats(&b);
  w->nnews = 0;
  w->is_urgent = 0;
  w->gateways_changed = 0;
  w->renewed_at = now;
}

static int site_is_news(const pw_watch *w) {
  for (watcher *one = w->watchers; one; one = one->next)
    if (one->told_site != pwdoc_version(w->doc))
      return 1;
  return 0;
}

void pwwatch_tick(pw_watch *w, int in_touch, int64_t now) {
  drop_lost(w, now);
  watch_others(w, now);
  pwfleet_tick(w->targets, now);
  if (w->is_urgent || w->gateways_changed || site_is_news(w) ||
      now - w->renewed_at >= RENEW_MS)
    tell_news(w, in_touch, now);
}
