/* pwonce.c: the once-ledger: claims of keys and the answers to them. */
#include "pwonce.h"

#include "pwbuf.h"
#include "pwdedup.h"
#include "pwlimits.h"
#include "pwpb.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#define MS_PER_S 1000

#ifndef PW_MUTATION
#define PW_MUTATION 0
#endif
enum {
  MUT_FORGET_CROWDED = 15, /* claims are removed together with their answers */
  MUT_NEVER_FULL = 16      /* a full ledger grants claims all the same */
};
#define BODY_BITS 0x7fffffffU /* 31 bits of the digest, as in pwdedup */

/* A claim that is open, answered or given back. uthash keeps the order of
** insertion: open claims are in order of claiming, answered ones in order of
** their answers, so the oldest is the first. */
typedef struct claim {
  uint8_t id[PWDEDUP_KEY_BYTES]; /* hash of workspace and key */
  Pw__KeptClaim *kept;
  UT_hash_handle hh;
} claim;

struct pw_once {
  claim *open, *answered, *given_back;
  size_t answer_bytes;
  pw_dedup *past;
  uint64_t refuse_until; /* for unknown keys: wall clock, ms */
};

pw_once *pwonce_new(void) {
  pw_once *o = pw_alloc(sizeof *o);
  o->past = pwdedup_new();
  return o;
}

void pwonce_refuse_until(pw_once *o, uint64_t until) {
  o->refuse_until = until;
}

static size_t answer_size(const claim *c) {
  return c->kept->body.len + strlen(c->kept->content_type);
}

static void drop(claim **table, claim *c) {
  HASH_DEL(*table, c);
  pw__kept_claim__free_unpacked(c->kept, NULL);
  free(c);
}

static void drop_answered(pw_once *o, claim *c) {
  o->answer_bytes -= answer_size(c);
  drop(&o->answered, c);
}

static void clear(pw_once *o) {
  claim *c, *tmp;
  HASH_ITER(hh, o->given_back, c, tmp) {
    drop(&o->given_back, c);
  }
  HASH_ITER(hh, o->open, c, tmp) {
    drop(&o->open, c);
  }
  HASH_ITER(hh, o->answered, c, tmp) {
    drop_answered(o, c);
  }
}

void pwonce_free(pw_once *o) {
  if (!o)
    return;
  clear(o);
  pwdedup_free(o->past);
  free(o);
}

/* Hashes workspace and key, each with its terminating zero, so that no two
** pairs give the same bytes. */
static void hash_id(const char *workspace, const char *key,
                    uint8_t id[PWDEDUP_KEY_BYTES]) {
  crypto_generichash_state st;
  crypto_generichash_init(&st, NULL, 0, PWDEDUP_KEY_BYTES);
  crypto_generichash_update(&st, (const uint8_t *)workspace,
                            strlen(workspace) + 1);
  crypto_generichash_update(&st, (const uint8_t *)key, strlen(key) + 1);
  crypto_generichash_final(&st, id, PWDEDUP_KEY_BYTES);
}

/* Part of the digest, which is a hash already; enough to tell bodies apart. */
static uint32_t short_digest(const ProtobufCBinaryData *digest) {
  uint32_t h = 0;
  if (digest->len >= sizeof h)
    memcpy(&h, digest->data, sizeof h);
  return h & BODY_BITS;
}

static claim *find_in(claim *table, const uint8_t *id) {
  claim *c;
  HASH_FIND(hh, table, id, PWDEDUP_KEY_BYTES, c);
  return c;
}

/* Finds an open or answered claim. */
static claim *find(const pw_once *o, const uint8_t *id) {
  claim *c = find_in(o->open, id);
  return c ? c : find_in(o->answered, id);
}

static void add_given_back(pw_once *o, claim *c) {
  claim *before = find_in(o->given_back, c->id);
  if (before)
    drop(&o->given_back, before);
  HASH_ADD(hh, o->given_back, id, sizeof c->id, c);
  if (HASH_COUNT(o->given_back) > PW_ONCE_GIVEN_BACK)
    drop(&o->given_back, o->given_back);
}

static void add(pw_once *o, Pw__KeptClaim *kept) {
  claim *c = pw_alloc(sizeof *c);
  hash_id(kept->workspace, kept->key, c->id);
  c->kept = kept;
  if (kept->given_back) {
    add_given_back(o, c);
    return;
  }
  if (!kept->answered) {
    HASH_ADD(hh, o->open, id, sizeof c->id, c);
    return;
  }
  o->answer_bytes += answer_size(c);
  HASH_ADD(hh, o->answered, id, sizeof c->id, c);
}

static Pw__KeptClaim *new_kept(uint64_t wall, const Pw__Claim *in) {
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

static void answer_from_claim(const Pw__KeptClaim *k, const Pw__Claim *in,
                              Pw__Claimed *out) {
  if (!pw_same(k->digest.data, k->digest.len, in->digest.data, in->digest.len))
    out->code = PW_E_REUSED;
  else if (k->answered)
    copy_answer(out, k);
  else if (strcmp(k->owner, in->id) != 0)
    out->code = PW_E_RUNNING;
}

static void answer_from_past(const pw_dedup_entry *e, const Pw__Claim *in,
                             Pw__Claimed *out) {
  if (e->body != short_digest(&in->digest))
    out->code = PW_E_REUSED;
  else if (e->answered)
    out->answered = 1;
  else
    out->code = PW_E_RUNNING;
}

static int is_full(const pw_once *o) {
  if (PW_MUTATION == MUT_NEVER_FULL)
    return 0;
  return pwonce_count(o) >= PW_ONCE_MAX ||
         HASH_COUNT(o->open) >= PW_ONCE_OPEN_MAX;
}

Pw__Claimed *pwonce_claim(pw_once *o, uint64_t wall, const Pw__Claim *in) {
  uint8_t id[PWDEDUP_KEY_BYTES];
  pw_dedup_entry e;
  Pw__Claimed *out = pw_alloc(sizeof *out);
  pw__claimed__init(out);
  out->id = pw_dup(in->id);
  hash_id(in->workspace, in->key, id);
  const claim *c = find(o, id);
  claim *returned = find_in(o->given_back, id);
  if (c)
    answer_from_claim(c->kept, in, out);
  else if (returned && !strcmp(returned->kept->owner, in->id))
    out->code = PW_E_RUNNING;
  else if (pwdedup_find(o->past, id, &e))
    answer_from_past(&e, in, out);
  else if (wall < o->refuse_until)
    out->code = PW_E_LEDGER_LOST;
  else if (is_full(o))
    out->code = PW_E_LEDGER_FULL;
  else
    add(o, new_kept(wall, in));
  if (returned && find(o, id))
    drop(&o->given_back, returned);
  return out;
}

/* Remembers a claim that was given back. A late copy of the claim, over
** another link or through another leader, would otherwise be granted and
** leave the key claimed for good, although its caller was told that the
** request has not run. */
static void give_back(pw_once *o, const Pw__Record *in) {
  Pw__KeptClaim *k = pw_alloc(sizeof *k);
  pw__kept_claim__init(k);
  k->workspace = pw_dup(in->workspace);
  k->key = pw_dup(in->key);
  k->owner = pw_dup(in->id);
  k->given_back = 1;
  add(o, k);
}

void pwonce_record(pw_once *o, const Pw__Record *in) {
  uint8_t id[PWDEDUP_KEY_BYTES];
  hash_id(in->workspace, in->key, id);
  claim *c = find(o, id);
  if (c && (c->kept->answered || strcmp(c->kept->owner, in->id) != 0))
    return;
  if (c && in->not_run)
    drop(&o->open, c);
  if (in->not_run)
    give_back(o, in);
  if (!c || in->not_run)
    return;
  Pw__KeptClaim *k = c->kept;
  HASH_DEL(o->open, c);
  free(c);
  k->answered = 1;
  k->status = in->status;
  k->body.len = in->body.len;
  k->body.data = pw_memdup(in->body.data, in->body.len);
  k->content_type = pw_dup(in->content_type);
  add(o, k);
}

/* Adds the hash of a claim to the past ones; the caller drops the claim. */
static void add_past(pw_once *o, const claim *c) {
  pw_dedup_entry e = {.at = (uint32_t)(c->kept->wall / MS_PER_S),
                      .body = short_digest(&c->kept->digest),
                      .answered = c->kept->answered};
  memcpy(e.key, c->id, sizeof e.key);
  if (PW_MUTATION != MUT_FORGET_CROWDED && !pwdedup_find(o->past, e.key, NULL))
    pwdedup_add(o->past, &e);
}

/* Moves open claims to the past when their answer can no longer be recorded. */
static void expire_open(pw_once *o, uint64_t wall) {
  while (o->open && o->open->kept->wall + PW_ONCE_OPEN_MS < wall) {
    add_past(o, o->open);
    drop(&o->open, o->open);
  }
}

static int has_excess_answers(const pw_once *o) {
  return HASH_COUNT(o->answered) > PW_ONCE_ANSWERS ||
         o->answer_bytes > PW_ONCE_ANSWER_BYTES;
}

static void expire_answered(pw_once *o, uint64_t wall, uint64_t keep_ms) {
  while (o->answered) {
    claim *c = o->answered;
    int is_old = c->kept->wall + keep_ms < wall;
    if (!is_old && !has_excess_answers(o))
      return;
    if (!is_old)
      add_past(o, c);
    drop_answered(o, c);
  }
}

void pwonce_expire(pw_once *o, uint64_t wall, uint64_t keep_ms) {
  expire_open(o, wall);
  expire_answered(o, wall, keep_ms);
  if (wall > keep_ms)
    pwdedup_expire(o->past, (uint32_t)((wall - keep_ms) / MS_PER_S));
}

size_t pwonce_count(const pw_once *o) {
  return HASH_COUNT(o->open) + HASH_COUNT(o->answered) + pwonce_past_count(o);
}

size_t pwonce_past_count(const pw_once *o) {
  return pwdedup_count(o->past);
}

void pwonce_pack(const pw_once *o, Pw__State *out) {
  size_t n =
      HASH_COUNT(o->open) + HASH_COUNT(o->answered) + HASH_COUNT(o->given_back);
  out->claims = pw_alloc(sizeof(Pw__KeptClaim *) * (n + 1));
  out->n_claims = 0;
  for (const claim *c = o->given_back; c; c = c->hh.next)
    out->claims[out->n_claims++] = c->kept;
  for (const claim *c = o->open; c; c = c->hh.next)
    out->claims[out->n_claims++] = c->kept;
  for (const claim *c = o->answered; c; c = c->hh.next)
    out->claims[out->n_claims++] = c->kept;
  out->past.data = pwdedup_pack(o->past, &out->past.len);
}

pw_code pwonce_load(pw_once *o, const Pw__State *in) {
  if (pwdedup_load(o->past, in->past.data, in->past.len) != 0)
    return PW_E_CORRUPT;
  clear(o);
  for (size_t i = 0; i < in->n_claims; i++)
    add(o, PWPB_COPY(in->claims[i]));
  return PW_OK;
}
