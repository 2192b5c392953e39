/* pwpeers.c: this instance's links to other control instances. */
#include "pwpeers.h"

#include "pwbuf.h"
#include "pwlog.h"

#include <stdlib.h>
#include <string.h>

#define WATCH_MS 500 /* others are told so often that this one is there */

/* Of whom something is missing is asked for everything; once more when that has not come
** so long after, ms. */
#define ASK_ALL_MS 2000

typedef struct link {
  char addr[PW_NAME_MAX];
  pw_peer peer;
  int must_ask_all;
  int64_t asked_all_at;
  struct link *next;
} link;

struct pw_peers {
  pw_proc *p;
  pw_sock *dialler;
  link *links;
  pw_mesh mesh;
  int is_full; /* no more of them may be known: a line was written */
};

pw_peers *pwpeers_new(pw_proc *p, pw_sock *dialler) {
  pw_peers *o = pw_alloc(sizeof *o);
  o->p = p;
  o->dialler = dialler;
  pwmesh_init(&o->mesh, p->set->control_wire);
  return o;
}

void pwpeers_free(pw_peers *o) {
  if (!o)
    return;
  while (o->links) {
    link *one = o->links;
    o->links = one->next;
    free(one);
  }
  pwmesh_free(&o->mesh);
  free(o);
}

pw_mesh *pwpeers_mesh(pw_peers *o) {
  return &o->mesh;
}

static link *link_of(pw_peers *o, const char *addr) {
  for (link *one = o->links; one; one = one->next)
    if (!strcmp(one->addr, addr))
      return one;
  link *one = pw_alloc(sizeof *one);
  pw_copy(one->addr, sizeof one->addr, addr);
  pwwire_dial(o->dialler, addr, &one->peer);
  one->next = o->links;
  o->links = one;
  return one;
}

static link *link_from(const pw_peers *o, const pw_peer *from) {
  for (link *one = o->links; one; one = one->next)
    if (pwwire_same(&one->peer, from))
      return one;
  return NULL;
}

static pw_mesh_peer *peer_at(pw_peers *o, const char *addr) {
  for (int i = 0; i < o->mesh.n; i++)
    if (!strcmp(o->mesh.peer[i]->addr, addr))
      return o->mesh.peer[i];
  return NULL;
}

static void send_watch(pw_peers *o, pw_mesh_peer *p, int is_for_all,
                       int64_t now) {
  Pw__Watch m = PW__WATCH__INIT;
  m.primary = is_for_all;
  m.control = o->p->set->control_wire;
  m.holds = pwtelling_has(&p->told);
  m.holds_of = p->told.life;
  Pw__Envelope e = PW_ENVELOPE(WATCH, watch, &m);
  pwwire_send(o->dialler, &link_of(o, p->addr)->peer, &e);
  p->asked_at = now;
}

static void note_full(pw_peers *o, const char *addr) {
  if (!o->is_full)
    pwlog(LOG_ERR, "too-many-control-instances", "code=%d most=%d left_out=%s",
          (int)PW_E_TOO_MANY, PW_CONTROL_MAX, addr);
  o->is_full = 1;
}

void pwpeers_watched(pw_peers *o, const Pw__Watch *m, int64_t now) {
  if (!m->control[0])
    return;
  pw_mesh_peer *p = pwmesh_watched(&o->mesh, m->control, m->primary, now);
  if (!p && strcmp(m->control, o->mesh.self) != 0)
    note_full(o, m->control);
  if (p && m->holds_of == pwwire_incarnation(o->p->wire))
    p->holds = m->holds;
}

void pwpeers_told(pw_peers *o, const pw_peer *from, const Pw__Envelope *e,
                  int64_t now) {
  link *one = link_from(o, from);
  pw_mesh_peer *p = one ? peer_at(o, one->addr) : NULL;
  const Pw__Notice *n = e->notice;
  if (!p || pwmesh_watch_of(&o->mesh, p) != PWMESH_FOR_ALL)
    return;
  int was_whole = p->told.is_whole;
  pwtelling_take(&p->told, e->incarnation, n->number,
                 n->n_beats || n->table_size, n->full);
  if (was_whole && !p->told.is_whole) {
    pwcount_add(o->p->counters, PWC_TELLINGS_LOST, 1);
    pwlog(LOG_NOTICE, "telling-lost", "control=%s number=%llu", p->addr,
          (unsigned long long)n->number);
  }
  if (n->confirm && p->told.is_whole)
    send_watch(o, p, 1, now);
}

void pwpeers_ask_all(pw_peers *o, const pw_peer *from) {
  link *one = link_from(o, from);
  if (one)
    one->must_ask_all = 1;
}

/* Who begins to watch for all is told all: one that does so already ends that first. */
static void ask_missing(pw_peers *o, pw_mesh_peer *p, int64_t now) {
  link *one = link_of(o, p->addr);
  int is_missing = one->must_ask_all || !p->told.is_whole;
  if (!is_missing || now - one->asked_all_at < ASK_ALL_MS)
    return;
  one->asked_all_at = now;
  one->must_ask_all = 0;
  send_watch(o, p, 0, now);
  send_watch(o, p, 1, now);
}

void pwpeers_tick(pw_peers *o, int64_t now) {
  pwmesh_tick(&o->mesh, now);
  for (int i = 0; i < o->mesh.n; i++) {
    pw_mesh_peer *p = o->mesh.peer[i];
    pw_mesh_watch how = pwmesh_watch_of(&o->mesh, p);
    /* Not held up by what is sent meanwhile: a target that leaves is confirmed at each heartbeat. */
    if (how == PWMESH_FOR_ALL)
      ask_missing(o, p, now);
    if (how != PWMESH_NOT && now - p->asked_at >= WATCH_MS)
      send_watch(o, p, how == PWMESH_FOR_ALL, now);
  }
}
