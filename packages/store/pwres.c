/* pwres.c: a set of resources with revisions: a hash table by KIND/NAME, and a
** list in order of revision. */
#include "pwres.h"

#include "pwbuf.h"
#include "pwlimits.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#define ID_MAX (2 * PW_NAME_MAX + 2)

typedef struct row {
  pw_resource r;
  UT_hash_handle hh;
} row;

struct pw_res {
  row *by_id;
  pw_resource *first, *last;
  uint64_t revision;
  uint64_t floor;
  int tombstones;
};

static const char *const kinds[] = {
#define PW_KIND_NAME(name) name,
    PW_KINDS(PW_KIND_NAME)
#undef PW_KIND_NAME
};

int pwres_is_kind(const char *kind) {
  for (size_t i = 0; i < sizeof kinds / sizeof kinds[0]; i++)
    if (!strcmp(kinds[i], kind))
      return 1;
  return 0;
}

int pwres_is_leader_only(const char *kind) {
  return !strcmp(kind, "rollout") || !strcmp(kind, "assignment") ||
         !strcmp(kind, PW_KIND_SERVICE_ROLLOUT);
}

pw_res *pwres_new(void) {
  return pw_alloc(sizeof(pw_res));
}

static void unlink_resource(pw_res *r, pw_resource *one) {
  if (one->prev)
    one->prev->next = one->next;
  else
    r->first = one->next;
  if (one->next)
    one->next->prev = one->prev;
  else
    r->last = one->prev;
  one->prev = NULL;
  one->next = NULL;
}

static void link_last(pw_res *r, pw_resource *one) {
  one->prev = r->last;
  if (r->last)
    r->last->next = one;
  else
    r->first = one;
  r->last = one;
}

static void drop(pw_res *r, row *s) {
  unlink_resource(r, &s->r);
  HASH_DEL(r->by_id, s);
  r->tombstones -= s->r.deleted;
  free(s->r.id);
  free(s->r.kind);
  free(s->r.name);
  free(s->r.spec);
  free(s);
}

void pwres_clear(pw_res *r, uint64_t floor) {
  row *s, *tmp;
  HASH_ITER(hh, r->by_id, s, tmp) {
    drop(r, s);
  }
  r->revision = floor;
  r->floor = floor;
}

void pwres_free(pw_res *r) {
  if (!r)
    return;
  pwres_clear(r, 0);
  free(r);
}

uint64_t pwres_revision(const pw_res *r) {
  return r->revision;
}

uint64_t pwres_floor(const pw_res *r) {
  return r->floor;
}

static row *find(const pw_res *r, const char *kind, const char *name) {
  char id[ID_MAX];
  row *s;
  snprintf(id, sizeof id, "%s/%s", kind, name);
  HASH_FIND_STR(r->by_id, id, s);
  return s;
}

const pw_resource *pwres_find(const pw_res *r, const char *kind,
                              const char *name) {
  const row *s = find(r, kind, name);
  return s ? &s->r : NULL;
}

const pw_resource *pwres_get(const pw_res *r, const char *kind,
                             const char *name) {
  const pw_resource *one = pwres_find(r, kind, name);
  return one && !one->deleted ? one : NULL;
}

const pw_resource *pwres_first(const pw_res *r) {
  return r->first;
}

int pwres_is_live(const pw_resource *one, const char *kind) {
  return !one->deleted && !strcmp(one->kind, kind);
}

const pw_resource *pwres_after(const pw_res *r, uint64_t since) {
  const pw_resource *at = NULL;
  for (const pw_resource *one = r->last; one && one->revision > since;
       one = one->prev)
    at = one;
  return at;
}

/* Drops the oldest tombstones past PW_TOMBSTONE_MAX. The floor rises with them:
** deltas from before it would miss the deletion. */
static void trim_tombstones(pw_res *r) {
  pw_resource *one = r->first;
  while (one && r->tombstones > PW_TOMBSTONE_MAX) {
    pw_resource *next = one->next;
    if (one->deleted) {
      r->floor = one->revision;
      drop(r, (row *)one);
    }
    one = next;
  }
}

static row *add(pw_res *r, const char *kind, const char *name) {
  row *s = pw_alloc(sizeof *s);
  char id[ID_MAX];
  snprintf(id, sizeof id, "%s/%s", kind, name);
  s->r.id = pw_dup(id);
  s->r.kind = pw_dup(kind);
  s->r.name = pw_dup(name);
  HASH_ADD_KEYPTR(hh, r->by_id, s->r.id, strlen(s->r.id), s);
  return s;
}

void pwres_put(pw_res *r, const char *kind, const char *name, uint64_t version,
               uint64_t revision, int deleted, const char *spec) {
  row *s = find(r, kind, name);
  if (s)
    unlink_resource(r, &s->r);
  else
    s = add(r, kind, name);
  r->tombstones += !!deleted - s->r.deleted;
  s->r.deleted = !!deleted;
  s->r.version = version;
  s->r.revision = revision;
  char *copy = pw_dup(deleted ? "" : spec);
  free(s->r.spec);
  s->r.spec = copy;
  link_last(r, &s->r);
  pwres_advance(r, revision);
  trim_tombstones(r);
}

void pwres_advance(pw_res *r, uint64_t revision) {
  if (revision > r->revision)
    r->revision = revision;
}

/* Drops the resources that a full list does not contain: they were deleted. */
static void drop_unlisted(pw_res *r, Pw__Resource **list, size_t n) {
  pw_res *listed = pwres_new();
  for (size_t i = 0; i < n; i++)
    add(listed, list[i]->kind, list[i]->name);
  row *s, *tmp;
  HASH_ITER(hh, r->by_id, s, tmp) {
    if (!find(listed, s->r.kind, s->r.name))
      drop(r, s);
  }
  row *t, *tmp2;
  HASH_ITER(hh, listed->by_id, t, tmp2) {
    HASH_DEL(listed->by_id, t);
    free(t->r.id);
    free(t->r.kind);
    free(t->r.name);
    free(t);
  }
  free(listed);
}

int pwres_merge(pw_res *r, int full, uint64_t since, uint64_t revision,
                Pw__Resource **list, size_t n) {
  if (revision <= r->revision && !(full && r->revision == 0))
    return 0;
  if (!full && since > r->revision)
    return -1;
  if (full) {
    drop_unlisted(r, list, n);
    r->floor = revision;
  }
  for (size_t i = 0; i < n; i++) {
    const Pw__Resource *in = list[i];
    const row *have = find(r, in->kind, in->name);
    if (have && have->r.revision >= in->revision)
      continue;
    pwres_put(r, in->kind, in->name, in->version, in->revision, in->deleted,
              in->spec);
  }
  pwres_advance(r, revision);
  return 1;
}

Pw__Resource *pwres_pack(const pw_resource *one) {
  Pw__Resource *p = pw_alloc(sizeof *p);
  pw__resource__init(p);
  p->kind = pw_dup(one->kind);
  p->name = pw_dup(one->name);
  p->version = one->version;
  p->revision = one->revision;
  p->deleted = one->deleted;
  p->spec = pw_dup(one->spec);
  return p;
}
