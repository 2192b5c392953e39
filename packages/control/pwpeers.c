/* pwpeers.c: links of this instance to other control instances. */
#include "pwpeers.h"

#include "pwbuf.h"
#include "pwlog.h"

#include <stdlib.h>
#include <string.h>

#define WATCH_MS 500 /* interval of Watch messages to other control instances */

/* An instance whose updates are missing here is asked for all targets, and
** asked again if they have not arrived within this time, ms. */
#define REQUEST_ALL_MS 2000

typedef struct link {
  char addr[PW_NAME_MAX];
  pw_peer peer;
  int must_request_all;
  int64_t requested_all_at;
  struct link *next;
} link;

struct pw_peers {
  pw_proc *p;
  pw_sock *dialler;
  link *links;
  pw_mesh mesh;
  int is_limit_logged; /* the log has that too many instances are known */
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
    if (pwwire_same_peer(&one->peer, from))
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
  m.holds = pwsequence_complete_to(&p->received);
  m.holds_of = p->received.incarnation;
  Pw__Envelope e = PW_ENVELOPE(WATCH, watch, &m);
  pwwire_send(o->dialler, &link_of(o, p->addr)->peer, &e);
  p->asked_at = now;
}

static void log_limit(pw_peers *o, const char *addr) {
  if (!o->is_limit_logged)
    pwlog(LOG_ERR, "too-many-control-instances", "code=%d most=%d left_out=%s",
          (int)PW_E_TOO_MANY, PW_CONTROL_MAX, addr);
  o->is_limit_logged = 1;
}

void pwpeers_on_watch(pw_peers *o, const Pw__Watch *m, int64_t now) {
  if (!m->control[0])
    return;
  pw_mesh_peer *p = pwmesh_watched(&o->mesh, m->control, m->primary, now);
  if (!p && strcmp(m->control, o->mesh.self) != 0)
    log_limit(o, m->control);
  if (p && m->holds_of == pwwire_incarnation(o->p->wire))
    p->holds = m->holds;
}

void pwpeers_on_notice(pw_peers *o, const pw_peer *from, const Pw__Envelope *e,
                       int64_t now) {
  link *one = link_from(o, from);
  pw_mesh_peer *p = one ? peer_at(o, one->addr) : NULL;
  const Pw__Notice *n = e->notice;
  if (!p || pwmesh_watch_of(&o->mesh, p) != PWMESH_TARGETS)
    return;
  int was_complete = p->received.is_complete;
  pwsequence_receive(&p->received, e->incarnation, n->number,
                     n->n_beats || n->table_size, n->full);
  if (was_complete && !p->received.is_complete) {
    pwcount_add(o->p->counters, PWC_UPDATES_LOST, 1);
    pwlog(LOG_NOTICE, "telling-lost", "control=%s number=%llu", p->addr,
          (unsigned long long)n->number);
  }
  if (n->confirm && p->received.is_complete)
    send_watch(o, p, 1, now);
}

void pwpeers_request_all(pw_peers *o, const pw_peer *from) {
  link *one = link_from(o, from);
  if (one)
    one->must_request_all = 1;
}

/* A watcher that begins to watch for all targets is sent the table of all of
** them. An instance that watches for all targets already stops with the first
** message and begins again with the second. */
static void request_missing(pw_peers *o, pw_mesh_peer *p, int64_t now) {
  link *one = link_of(o, p->addr);
  int is_missing = one->must_request_all || !p->received.is_complete;
  if (!is_missing || now - one->requested_all_at < REQUEST_ALL_MS)
    return;
  one->requested_all_at = now;
  one->must_request_all = 0;
  send_watch(o, p, 0, now);
  send_watch(o, p, 1, now);
}

void pwpeers_tick(pw_peers *o, int64_t now) {
  pwmesh_tick(&o->mesh, now);
  for (int i = 0; i < o->mesh.n; i++) {
    pw_mesh_peer *p = o->mesh.peer[i];
    pw_mesh_watch watch = pwmesh_watch_of(&o->mesh, p);
    /* The request for missing updates has a timer of its own: each heartbeat
    ** of a target that leaves is confirmed with a Watch, and a shared timer
    ** would put the request off each time. */
    if (watch == PWMESH_TARGETS)
      request_missing(o, p, now);
    if (watch != PWMESH_NONE && now - p->asked_at >= WATCH_MS)
      send_watch(o, p, watch == PWMESH_TARGETS, now);
  }
}
