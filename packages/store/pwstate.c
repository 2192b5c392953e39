/* pwstate.c: applies commands to the replicated state. */
#include "pwstate.h"

#include "pwbuf.h"
#include "pwjson.h"
#include "pwlimits.h"
#include "pwpb.h"
#include "pwschema.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

/* Version 2 added past claims, version 3 the configuration document. */
#define STATE_VERSION 3
#define REASON_BYTES 256
#define MS_PER_S 1000

#ifndef PW_MUTATION
#define PW_MUTATION 0
#endif
enum {
  MUT_NO_RESEND_IN_SNAPSHOT = 11, /* a snapshot omits the kept outcomes */
  MUT_NO_VERSION_CHECK = 12 /* two changes of the same version both succeed */
};

/* The outcome of a change that may be sent again. uthash keeps the order of
** insertion. */
typedef struct outcome_row {
  Pw__KeptOutcome *k;
  UT_hash_handle hh;
} outcome_row;

struct pw_state {
  pw_res *res;
  pw_once *once;
  pw_doc *doc;
  pw_served served;
  outcome_row *outcomes;
  uint64_t keep_ms; /* retention of claims, by the policy at keep_revision */
  uint64_t keep_revision;
};

pw_state *pwstate_new(void) {
  pw_state *s = pw_alloc(sizeof *s);
  s->res = pwres_new();
  s->once = pwonce_new();
  s->doc = pwdoc_new();
  s->keep_ms = PW_ONCE_KEEP_MS;
  return s;
}

static void drop_outcome(pw_state *s, outcome_row *k) {
  HASH_DEL(s->outcomes, k);
  pw__kept_outcome__free_unpacked(k->k, NULL);
  free(k);
}

static void clear_outcomes(pw_state *s) {
  outcome_row *k, *tmp;
  HASH_ITER(hh, s->outcomes, k, tmp) {
    drop_outcome(s, k);
  }
}

void pwstate_free(pw_state *s) {
  if (!s)
    return;
  clear_outcomes(s);
  pwres_free(s->res);
  pwonce_free(s->once);
  pwdoc_free(s->doc);
  pwserved_free(&s->served);
  free(s);
}

const pw_res *pwstate_resources(const pw_state *s) {
  return s->res;
}

const pw_once *pwstate_once(const pw_state *s) {
  return s->once;
}

const pw_doc *pwstate_document(const pw_state *s) {
  return s->doc;
}

const pw_served *pwstate_served(const pw_state *s) {
  return &s->served;
}

static void keep_outcome(pw_state *s, Pw__KeptOutcome *k) {
  outcome_row *row = pw_alloc(sizeof *row);
  row->k = k;
  HASH_ADD_KEYPTR(hh, s->outcomes, k->key, strlen(k->key), row);
  if (HASH_COUNT(s->outcomes) > PW_RESEND_MAX)
    drop_outcome(s, s->outcomes);
}

static Pw__Outcome *new_outcome(pw_code code, const char *reason) {
  Pw__Outcome *o = pw_alloc(sizeof *o);
  pw__outcome__init(o);
  o->code = code;
  o->message = pw_dup(reason);
  return o;
}

static void add_resource(Pw__Outcome *o, const pw_resource *one) {
  Pw__Resource **grown = pw_alloc(sizeof *grown * (o->n_resources + 1));
  if (o->n_resources)
    memcpy(grown, o->resources, sizeof *grown * o->n_resources);
  free(o->resources);
  o->resources = grown;
  o->resources[o->n_resources++] = pwres_pack(one);
}

/* Checks the version that a put names: that of the resource, or 0 when there is
** none or it was deleted. */
static pw_code check_version(const pw_state *s, const Pw__Put *put) {
  const pw_resource *one = pwres_get(s->res, put->kind, put->name);
  if (put->remove && !one)
    return PW_E_NOT_FOUND;
  if (put->any_version || PW_MUTATION == MUT_NO_VERSION_CHECK)
    return PW_OK;
  return put->version == (one ? one->version : 0) ? PW_OK : PW_E_CONFLICT;
}

static pw_code check_put(const pw_state *s, const Pw__Put *put, char *reason) {
  pw_code rc = check_version(s, put);
  if (rc == PW_E_CONFLICT)
    pw_copy(
        reason, REASON_BYTES,
        "the resource has another version than the change names; the current "
        "resource is shown");
  if (rc == PW_E_NOT_FOUND)
    pw_copy(reason, REASON_BYTES, "no such resource");
  if (rc != PW_OK || put->remove)
    return rc;
  return pwschema_check(put->kind, put->name, put->spec, reason, REASON_BYTES);
}

static void write_put(pw_state *s, const Pw__Put *put, uint64_t revision) {
  const pw_resource *old = pwres_find(s->res, put->kind, put->name);
  uint64_t version = (old ? old->version : 0) + 1;
  pwres_put(s->res, put->kind, put->name, version, revision, put->remove,
            put->spec);
}

/* Checks references after all puts of a change were written, so that resources
** of one change may refer to each other in any order. */
static pw_code check_references(const pw_state *s, const Pw__Change *ch,
                                char *reason) {
  for (size_t i = 0; i < ch->n_puts; i++) {
    const Pw__Put *p = ch->puts[i];
    if (p->remove &&
        pwschema_is_referenced(s->res, p->kind, p->name, reason, REASON_BYTES))
      return PW_E_REFERENCE;
    if (p->remove)
      continue;
    pw_code rc =
        pwschema_references(s->res, p->kind, p->spec, reason, REASON_BYTES);
    if (rc != PW_OK)
      return rc;
  }
  return PW_OK;
}

/* A resource as it was before a change. */
typedef struct old_resource {
  uint64_t version, revision;
  int existed, deleted;
  char *spec;
} old_resource;

static old_resource save_resource(const pw_state *s, const Pw__Put *p) {
  const pw_resource *one = pwres_find(s->res, p->kind, p->name);
  if (!one)
    return (old_resource){0};
  return (old_resource){one->version, one->revision, 1, one->deleted,
                        pw_dup(one->spec)};
}

/* Writes all puts, checks the references, and restores the old resources when a
** reference is missing. Restored resources get the new revision, because
** revisions only rise; a delta that repeats a resource does no harm. */
static pw_code write_all(pw_state *s, const Pw__Change *ch, char *reason) {
  uint64_t revision = pwres_revision(s->res) + 1;
  old_resource *old = pw_alloc(sizeof *old * (ch->n_puts + 1));
  for (size_t i = 0; i < ch->n_puts; i++) {
    old[i] = save_resource(s, ch->puts[i]);
    write_put(s, ch->puts[i], revision);
  }
  pw_code rc = check_references(s, ch, reason);
  for (size_t i = ch->n_puts; rc != PW_OK && i-- > 0;) {
    const Pw__Put *p = ch->puts[i];
    int gone = !old[i].existed || old[i].deleted;
    pwres_put(s->res, p->kind, p->name, old[i].version, revision, gone,
              old[i].spec ? old[i].spec : "");
  }
  for (size_t i = 0; i < ch->n_puts; i++)
    free(old[i].spec);
  free(old);
  return rc;
}

static Pw__Outcome *apply_change(pw_state *s, const Pw__Change *ch) {
  char reason[REASON_BYTES] = "";
  for (size_t i = 0; i < ch->n_puts; i++) {
    const Pw__Put *p = ch->puts[i];
    pw_code rc = check_put(s, p, reason);
    if (rc == PW_OK)
      continue;
    Pw__Outcome *o = new_outcome(rc, reason);
    const pw_resource *one = pwres_get(s->res, p->kind, p->name);
    if (one)
      add_resource(o, one);
    o->revision = pwres_revision(s->res);
    return o;
  }
  pw_code rc = write_all(s, ch, reason);
  Pw__Outcome *o = new_outcome(rc, reason);
  o->revision = pwres_revision(s->res);
  for (size_t i = 0; rc == PW_OK && i < ch->n_puts; i++)
    add_resource(o, pwres_find(s->res, ch->puts[i]->kind, ch->puts[i]->name));
  return o;
}

static Pw__Outcome *apply_resend(pw_state *s, const Pw__Change *ch) {
  if (!ch->resend[0])
    return apply_change(s, ch);
  outcome_row *row;
  HASH_FIND_STR(s->outcomes, ch->resend, row);
  if (row) {
    const ProtobufCBinaryData *d = &row->k->digest;
    if (pw_same(d->data, d->len, ch->digest.data, ch->digest.len))
      return PWPB_COPY(row->k->outcome);
    return new_outcome(PW_E_REUSED, pwcode_text(PW_E_REUSED));
  }
  Pw__Outcome *o = apply_change(s, ch);
  Pw__KeptOutcome *k = pw_alloc(sizeof *k);
  pw__kept_outcome__init(k);
  k->key = pw_dup(ch->resend);
  k->digest.len = ch->digest.len;
  k->digest.data = pw_memdup(ch->digest.data, ch->digest.len);
  k->outcome = PWPB_COPY(o);
  keep_outcome(s, k);
  return o;
}

/* Returns a time that a policy sets in seconds, converted to ms. */
static uint64_t policy_ms(const pw_state *s, const char *policy,
                          const char *field, uint64_t otherwise) {
  const pw_resource *one = pwres_get(s->res, "policy", policy);
  json_t *spec = one ? json_loads(one->spec, 0, NULL) : NULL;
  double ms = pwjson_number(spec, field, (double)otherwise / MS_PER_S);
  json_decref(spec);
  return (uint64_t)(ms * MS_PER_S);
}

/* Retention time of claims. Also sets until when unknown keys are refused.
** Reads the policies only when the resources have changed since the last
** call. */
static uint64_t claim_keep_ms(pw_state *s) {
  if (s->keep_revision == pwres_revision(s->res))
    return s->keep_ms;
  s->keep_ms = policy_ms(s, "default", "once_keep_s", PW_ONCE_KEEP_MS);
  pwonce_refuse_until(s->once,
                      policy_ms(s, PWSTATE_ONCE_HOLD, "once_from_s", 0));
  s->keep_revision = pwres_revision(s->res);
  return s->keep_ms;
}

/* Applies a document that is newer and is a delta against the newest version.
** Deltas against older versions are refused: an instance that started from a
** snapshot does not have these, and all instances must decide alike. */
static Pw__Outcome *apply_publish(pw_state *s, const Pw__Document *d) {
  int is_newer = d->version > pwdoc_version(s->doc);
  pw_code rc = PW_OK;
  if (is_newer && d->since && d->since != pwdoc_version(s->doc))
    rc = PW_E_STALE;
  else
    rc = pwdoc_apply(s->doc, d);
  return new_outcome(rc, rc == PW_OK ? "" : pwcode_text(rc));
}

void pwstate_apply(pw_state *s, const Pw__Command *cmd, Pw__Outcome **outcome,
                   Pw__Claimed **claimed) {
  *outcome = NULL;
  *claimed = NULL;
  switch (cmd->body_case) {
  case PW__COMMAND__BODY_CHANGE:
    *outcome = apply_resend(s, cmd->change);
    break;
  case PW__COMMAND__BODY_CLAIM:
    pwonce_expire(s->once, cmd->wall, claim_keep_ms(s));
    *claimed = pwonce_claim(s->once, cmd->wall, cmd->claim);
    break;
  case PW__COMMAND__BODY_RECORD:
    pwonce_record(s->once, cmd->record);
    break;
  case PW__COMMAND__BODY_PUBLISH:
    *outcome = apply_publish(s, cmd->publish);
    break;
  case PW__COMMAND__BODY_SERVED:
    pwserved_apply(&s->served, cmd->served);
    break;
  default:
    break;
  }
}

static void pack_resources(const pw_state *s, Pw__State *out) {
  size_t n = 0;
  for (const pw_resource *one = pwres_first(s->res); one; one = one->next)
    n++;
  out->resources = pw_alloc(sizeof *out->resources * (n + 1));
  for (const pw_resource *one = pwres_first(s->res); one; one = one->next)
    out->resources[out->n_resources++] = pwres_pack(one);
}

static void pack_outcomes(const pw_state *s, Pw__State *out) {
  size_t n = HASH_COUNT(s->outcomes);
  out->outcomes = pw_alloc(sizeof *out->outcomes * (n + 1));
  if (PW_MUTATION == MUT_NO_RESEND_IN_SNAPSHOT)
    return;
  for (const outcome_row *k = s->outcomes; k; k = k->hh.next)
    out->outcomes[out->n_outcomes++] = k->k;
}

uint8_t *pwstate_save(const pw_state *s, size_t *n) {
  Pw__State out = PW__STATE__INIT;
  out.version = STATE_VERSION;
  out.revision = pwres_revision(s->res);
  out.floor = pwres_floor(s->res);
  pack_resources(s, &out);
  pack_outcomes(s, &out);
  pwonce_pack(s->once, &out);
  if (pwdoc_version(s->doc))
    out.document = (Pw__Document *)pwdoc_packed(s->doc, 0); /* not owned */
  out.served = s->served.list;                              /* not owned */
  out.n_served = s->served.n;
  out.served_number = s->served.number;
  *n = pw__state__get_packed_size(&out);
  uint8_t *bytes = pw_alloc(*n);
  pw__state__pack(&out, bytes);
  for (size_t i = 0; i < out.n_resources; i++)
    pw__resource__free_unpacked(out.resources[i], NULL);
  free(out.resources);
  free(out.claims); /* only the list: the claims belong to the ledger */
  free(out.outcomes);
  free(out.past.data);
  return bytes;
}

pw_code pwstate_load(pw_state *s, const uint8_t *data, size_t n) {
  Pw__State *in = pw__state__unpack(NULL, n, data);
  if (!in)
    return PW_E_CORRUPT;
  if (in->version > STATE_VERSION) {
    pw__state__free_unpacked(in, NULL);
    return PW_E_VERSION;
  }
  pwres_clear(s->res, in->floor);
  for (size_t i = 0; i < in->n_resources; i++) {
    const Pw__Resource *r = in->resources[i];
    pwres_put(s->res, r->kind, r->name, r->version, r->revision, r->deleted,
              r->spec);
  }
  pwres_advance(s->res, in->revision);
  clear_outcomes(s);
  for (size_t i = 0; i < in->n_outcomes; i++)
    if (in->outcomes[i]->outcome)
      keep_outcome(s, PWPB_COPY(in->outcomes[i]));
  s->keep_revision = 0;
  s->keep_ms = PW_ONCE_KEEP_MS;
  pwserved_replace(&s->served, in->served, in->n_served, in->served_number);
  pwdoc_clear(s->doc);
  pw_code rc = pwonce_load(s->once, in);
  if (rc == PW_OK && in->document)
    rc = pwdoc_apply(s->doc, in->document);
  pw__state__free_unpacked(in, NULL);
  return rc;
}
