/* pwmesh.c: which control instances exchange updates on targets. */
#include "pwmesh.h"

#include "pwbuf.h"

#include <stdlib.h>
#include <string.h>

#ifndef PW_MUTATION
#define PW_MUTATION 0
#endif
enum {
  MUT_MEMBERS_ONLY = 44,     /* members do not watch observers */
  MUT_MEMBERS_UNNOTICED = 75 /* a change of the members is no reason to tell */
};

void pwmesh_init(pw_mesh *m, const char *self) {
  *m = (pw_mesh){0};
  pw_copy(m->self, sizeof m->self, self);
}

void pwmesh_free(pw_mesh *m) {
  while (m->n)
    free(m->peer[--m->n]);
}

static pw_mesh_peer *peer_of(pw_mesh *m, const char *addr, int64_t now) {
  for (int i = 0; i < m->n; i++) {
    if (strcmp(m->peer[i]->addr, addr) != 0)
      continue;
    m->peer[i]->named_at = now;
    return m->peer[i];
  }
  if (m->n == PW_CONTROL_MAX)
    return NULL;
  pw_mesh_peer *p = pw_alloc(sizeof *p);
  pw_copy(p->addr, sizeof p->addr, addr);
  p->named_at = now;
  m->peer[m->n++] = p;
  return p;
}

static int is_named(const char *addr, char (*list)[PW_NAME_MAX], int n) {
  for (int i = 0; i < n; i++)
    if (!strcmp(list[i], addr))
      return 1;
  return 0;
}

/* Sets which peers are members; returns whether that changed for any. */
static int mark_members(pw_mesh *m, char (*addr)[PW_NAME_MAX], int n) {
  int has_changed = 0;
  for (int i = 0; i < m->n; i++) {
    int is_member = is_named(m->peer[i]->addr, addr, n);
    has_changed |= is_member != m->peer[i]->is_member;
    m->peer[i]->is_member = is_member;
  }
  return has_changed;
}

void pwmesh_group(pw_mesh *m, char (*addr)[PW_NAME_MAX], int n, int is_member,
                  int64_t now) {
  for (int i = 0; i < n; i++)
    if (strcmp(addr[i], m->self) != 0)
      peer_of(m, addr[i], now);
  if ((mark_members(m, addr, n) || m->is_member != is_member) &&
      PW_MUTATION != MUT_MEMBERS_UNNOTICED)
    m->members_revision++;
  m->is_member = is_member;
}

pw_mesh_peer *pwmesh_watched(pw_mesh *m, const char *addr, int is_for_all,
                             int64_t now) {
  if (!strcmp(addr, m->self))
    return NULL;
  pw_mesh_peer *p = peer_of(m, addr, now);
  if (p && is_for_all)
    p->watched_at = now;
  return p;
}

void pwmesh_tick(pw_mesh *m, int64_t now) {
  for (int i = 0; i < m->n;) {
    if (now - m->peer[i]->named_at < PWMESH_FORGET_MS) {
      i++;
      continue;
    }
    free(m->peer[i]);
    m->peer[i] = m->peer[--m->n];
  }
}

pw_mesh_watch pwmesh_watch_of(const pw_mesh *m, const pw_mesh_peer *p) {
  if (m->is_member && (p->is_member || PW_MUTATION != MUT_MEMBERS_ONLY))
    return PWMESH_TARGETS;
  return p->is_member ? PWMESH_MEMBERS : PWMESH_NONE;
}

uint64_t pwmesh_replicated_seq(const pw_mesh *m) {
  uint64_t most = 0;
  for (int i = 0; i < m->n; i++)
    if (m->peer[i]->holds > most)
      most = m->peer[i]->holds;
  return most;
}

int pwmesh_is_watched(const pw_mesh *m, int64_t now) {
  for (int i = 0; i < m->n; i++)
    if (m->peer[i]->watched_at &&
        now - m->peer[i]->watched_at < PWMESH_WATCH_TIMEOUT_MS)
      return 1;
  return 0;
}

int pwmesh_observers(const pw_mesh *m) {
  int n = 0;
  for (int i = 0; i < m->n; i++)
    n += !m->peer[i]->is_member;
  return n + !m->is_member;
}
