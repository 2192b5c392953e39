/* pwreport.c: load reports between the entries of a region. */
#include "pwreport.h"

#include "pwbudget.h"
#include "pwbuf.h"
#include "pwlog.h"
#include "pwpartsmsg.h"
#include "pwsuspects.h"

#include <stdlib.h>
#include <string.h>

#define ROW_BYTES 70       /* approximate size of one load in a message */
#define HEAD_BYTES 80      /* approximate size of the rest of a message */
#define BYTES_PER_S 4000.0 /* budget for reports to all peers */
#define REFRESH_MS 5000    /* an unchanged load is resent after this time */
#define ROWS_MAX 256       /* loads in one message */
#define SUSPECTS_MS 100    /* between messages on suspects, as at gateways */
#define OWN_MS 15000 /* an agent is ours this long after its last report */

/* A target whose agent reports to this entry. */
typedef struct own_target {
  uint64_t id;
  int64_t at; /* newest report */
} own_target;

struct pw_reports {
  pw_proc *p;
  pw_sock *sock;
  pw_targets *targets;
  pw_peer peer[PW_LIST_MAX];
  int npeers;
  pw_bucket bucket;
  int64_t sent;             /* last message with loads */
  int64_t suspects_sent_at; /* last message with suspects */
  own_target *own_targets;
  int nown;
  int cap;
};

pw_reports *pwreport_new(pw_proc *p, pw_sock *dialler, pw_targets *targets) {
  pw_reports *r = pw_alloc(sizeof *r);
  r->p = p;
  r->sock = dialler;
  r->targets = targets;
  for (int i = 0; i < p->set->entry_peers.n; i++)
    if (pwwire_dial(dialler, p->set->entry_peers.item[i],
                    &r->peer[r->npeers]) == 0)
      r->npeers++;
  pwbucket_init(&r->bucket, BYTES_PER_S, 2 * BYTES_PER_S, pwclock_ms());
  return r;
}

void pwreport_free(pw_reports *r) {
  if (!r)
    return;
  free(r->own_targets);
  free(r);
}

static void note_own_target(pw_reports *r, uint64_t id, int64_t now) {
  for (int i = 0; i < r->nown; i++)
    if (r->own_targets[i].id == id) {
      r->own_targets[i].at = now;
      return;
    }
  if (r->nown == r->cap) {
    r->cap = r->cap ? r->cap * 2 : 32;
    own_target *grown = realloc(r->own_targets, sizeof *grown * (size_t)r->cap);
    if (!grown)
      abort();
    r->own_targets = grown;
  }
  r->own_targets[r->nown++] = (own_target){id, now};
}

void pwreport_child(pw_reports *r, const Pw__Load *load, int64_t at,
                    int64_t now) {
  const pw_target *t = pwtargets_by_name(r->targets, load->target);
  if (!t)
    return;
  note_own_target(r, t->id, now);
  pwtargets_report(r->targets, load, at - (int64_t)load->age, now);
}

void pwreport_peer(pw_reports *r, const Pw__Envelope *e, int64_t at,
                   int64_t now) {
  for (size_t i = 0; i < e->loads->n_loads; i++) {
    const Pw__Load *load = e->loads->loads[i];
    pwtargets_report(r->targets, load, at - (int64_t)load->age, now);
  }
}

static void fill_row(Pw__Load *l, const pw_target *t, int64_t now) {
  pw__load__init(l);
  l->target = (char *)t->name;
  l->tokens = (uint64_t)t->report.tokens;
  l->rate = (uint64_t)t->report.rate;
  l->queued = t->queued;
  l->leaving = t->leaving;
  l->clock = pwtargets_clock(t, now);
  l->incarnation = t->incarnation;
  l->age = (uint32_t)(now - t->report.at);
  l->retry_after = t->retry_after;
  if (t->hold_off_until > t->report.at)
    l->held_off = (uint64_t)(t->hold_off_until - t->report.at);
  l->turned_away = pwreject_is_recent(&t->rejects, t->report.at);
}

static int is_due(const pw_target *t, int64_t now) {
  if (t->incarnation == 0)
    return 0;
  return t->changed || now - t->reported_at > REFRESH_MS;
}

/* Collects the loads of own targets that are due for a report. */
static int collect_due_loads(pw_reports *r, Pw__Load *rows, Pw__Load **list,
                             int64_t now) {
  int n = 0;
  for (int i = 0; i < r->nown && n < ROWS_MAX; i++) {
    pw_target *t = pwtargets_by_id(r->targets, r->own_targets[i].id);
    if (!t || now - r->own_targets[i].at > OWN_MS || !is_due(t, now))
      continue;
    fill_row(&rows[n], t, now);
    list[n] = &rows[n];
    t->changed = 0;
    t->reported_at = now;
    n++;
  }
  return n;
}

void pwreport_suspects(pw_reports *r, pw_quarantine *q, pw_parts *parts,
                       int64_t now) {
  pw_suspects due;
  pw_partsmsg due_parts;
  if (!r->npeers || now - r->suspects_sent_at < SUSPECTS_MS)
    return;
  Pw__Loads loads = PW__LOADS__INIT;
  loads.n_suspects = pwsuspects_due(&due, q, now);
  loads.suspects = due.list;
  loads.n_crashing_parts = pwpartsmsg_due(&due_parts, parts, now);
  loads.crashing_parts = due_parts.list;
  if (!loads.n_suspects && !loads.n_crashing_parts)
    return;
  r->suspects_sent_at = now;
  for (int i = 0; i < r->npeers; i++) {
    Pw__Envelope e = PW_ENVELOPE(LOADS, loads, &loads);
    pwwire_send(r->sock, &r->peer[i], &e);
  }
}

void pwreport_tick(pw_reports *r, int64_t now) {
  if (!r->npeers || now - r->sent < r->p->set->entry_report)
    return;
  double cost = (double)r->npeers * (HEAD_BYTES + ROW_BYTES * r->nown);
  if (cost > BYTES_PER_S)
    cost = BYTES_PER_S;
  if (pwbucket_wait(&r->bucket, cost, now) > 0)
    return;
  Pw__Load *rows = pw_alloc(sizeof *rows * ROWS_MAX);
  Pw__Load **list = pw_alloc(sizeof *list * ROWS_MAX);
  int n = collect_due_loads(r, rows, list, now);
  r->sent = now;
  if (n) {
    Pw__Loads loads = PW__LOADS__INIT;
    loads.loads = list;
    loads.n_loads = (size_t)n;
    loads.clock = now;
    for (int i = 0; i < r->npeers; i++) {
      Pw__Envelope e = PW_ENVELOPE(LOADS, loads, &loads);
      pwwire_send(r->sock, &r->peer[i], &e);
    }
    pwbucket_charge(&r->bucket,
                    (double)r->npeers * (HEAD_BYTES + ROW_BYTES * n), now);
  }
  free(rows);
  free(list);
}
