/* pwonce.c: the once-ledger, in order of claiming. */
#include "pwonce.h"

#include "pwbuf.h"
#include "pwlimits.h"
#include "pwpb.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#define ID_MAX (PW_NAME_MAX + PW_KEY_MAX + 2)

/* uthash keeps the order in which claims were added. */
typedef struct claim {
  char id[ID_MAX]; /* "WORKSPACE KEY"; a workspace name has no space */
  Pw__KeptClaim *kept;
  UT_hash_handle hh;
} claim;

struct pw_once {
  claim *all;
};

pw_once *pwonce_new(void) {
  return pw_alloc(sizeof(pw_once));
}

static void drop(pw_once *o, claim *c) {
  HASH_DEL(o->all, c);
  pw__kept_claim__free_unpacked(c->kept, NULL);
  free(c);
}

void pwonce_free(pw_once *o) {
  if (!o)
    return;
  claim *c, *tmp;
  HASH_ITER(hh, o->all, c, tmp) {
    drop(o, c);
  }
  free(o);
}

static claim *find(const pw_once *o, const char *workspace, const char *key) {
  char id[ID_MAX];
  claim *c;
  snprintf(id, sizeof id, "%s %s", workspace, key);
  HASH_FIND_STR(o->all, id, c);
  return c;
}

static void add(pw_once *o, Pw__KeptClaim *kept) {
  claim *c = pw_alloc(sizeof *c);
  snprintf(c->id, sizeof c->id, "%s %s", kept->workspace, kept->key);
  c->kept = kept;
  HASH_ADD_STR(o->all, id, c);
}

static Pw__KeptClaim *keep(uint64_t wall, const Pw__Claim *in) {
  Pw__KeptClaim *k = pw_alloc(sizeof *k);
  pw__kept_claim__init(k);
  k->workspace = pw_dup(in->workspace);
  k->key = pw_dup(in->key);
  k->owner = pw_dup(in->id);
  k->wall = wall;
  k->digest.len = in->digest.len;
  k->digest.data = pw_memdup(in->digest.data, in->digest.len);
  return k;
}

static void copy_answer(Pw__Claimed *out, const Pw__KeptClaim *k) {
  out->answered = 1;
  out->status = k->status;
  out->body.len = k->body.len;
  out->body.data = pw_memdup(k->body.data, k->body.len);
  out->content_type = pw_dup(k->content_type);
}

Pw__Claimed *pwonce_claim(pw_once *o, uint64_t wall, const Pw__Claim *in) {
  Pw__Claimed *out = pw_alloc(sizeof *out);
  pw__claimed__init(out);
  out->id = pw_dup(in->id);
  const claim *c = find(o, in->workspace, in->key);
  if (!c) {
    add(o, keep(wall, in));
    return out;
  }
  const Pw__KeptClaim *k = c->kept;
  if (!pw_same(k->digest.data, k->digest.len, in->digest.data, in->digest.len))
    out->code = PW_E_REUSED;
  else if (k->answered)
    copy_answer(out, k);
  else if (strcmp(k->owner, in->id) != 0)
    out->code = PW_E_RUNNING;
  return out;
}

void pwonce_record(pw_once *o, const Pw__Record *in) {
  claim *c = find(o, in->workspace, in->key);
  if (!c || c->kept->answered || strcmp(c->kept->owner, in->id) != 0)
    return;
  if (in->not_run) {
    drop(o, c);
    return;
  }
  Pw__KeptClaim *k = c->kept;
  k->answered = 1;
  k->status = in->status;
  k->body.len = in->body.len;
  k->body.data = pw_memdup(in->body.data, in->body.len);
  k->content_type = pw_dup(in->content_type);
}

void pwonce_expire(pw_once *o, uint64_t wall) {
  claim *c, *tmp;
  HASH_ITER(hh, o->all, c, tmp) {
    int old = c->kept->wall + PW_ONCE_KEEP_MS < wall;
    int over = HASH_COUNT(o->all) > PW_ONCE_MAX && c->kept->answered;
    if (old || over)
      drop(o, c);
    else if (HASH_COUNT(o->all) <= PW_ONCE_MAX)
      break;
  }
}

size_t pwonce_count(const pw_once *o) {
  return HASH_COUNT(o->all);
}

Pw__KeptClaim **pwonce_pack(const pw_once *o, size_t *n) {
  size_t count = HASH_COUNT(o->all);
  Pw__KeptClaim **list = pw_alloc(sizeof *list * (count + 1));
  *n = 0;
  for (const claim *c = o->all; c; c = c->hh.next)
    list[(*n)++] = PWPB_COPY(c->kept);
  return list;
}

void pwonce_load(pw_once *o, Pw__KeptClaim **list, size_t n) {
  claim *c, *tmp;
  HASH_ITER(hh, o->all, c, tmp) {
    drop(o, c);
  }
  for (size_t i = 0; i < n; i++)
    add(o, PWPB_COPY(list[i]));
}
