/* pwview.c: a read-only view of the configuration. */
#include "pwview.h"

#include "pwadmit.h"
#include "pwassign.h"
#include "pwbound.h"
#include "pwbuf.h"
#include "pwjson.h"

#include <jansson.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

/* A bearer key's hash. */
typedef struct key_row {
  char hash[2 * PWVIEW_HASH_BYTES + 1];
  const pw_workspace *workspace;
  UT_hash_handle hh;
} key_row;

/* A model, an adapter or a service; each kind uses only some of the fields. */
typedef struct named_row {
  char name[PW_NAME_MAX];
  char model[PW_NAME_MAX]; /* the model itself, or the adapter's */
  pw_service service;
  int has_rollout;
  pw_rollout rollout;
  UT_hash_handle hh;
} named_row;

typedef struct workspace_row {
  pw_workspace w;
  struct workspace_row *next;
} workspace_row;

struct pw_view {
  key_row *keys;
  named_row *models;
  named_row *adapters;
  named_row *services;
  workspace_row *workspaces;
  pw_policy policy;
};

void pwview_hash_key(const char *key, char out[2 * PWVIEW_HASH_BYTES + 1]) {
  unsigned char hash[PWVIEW_HASH_BYTES];
  crypto_generichash(hash, sizeof hash, (const unsigned char *)key, strlen(key),
                     NULL, 0);
  sodium_bin2hex(out, 2 * PWVIEW_HASH_BYTES + 1, hash, sizeof hash);
}

static void add_workspace(pw_view *v, const char *name, const json_t *spec) {
  workspace_row *row = pw_alloc(sizeof *row);
  pw_copy(row->w.name, sizeof row->w.name, name);
  row->w.weight = pwjson_number(spec, "weight", 1);
  row->w.priority = (int)pwjson_number(spec, "priority", 4);
  row->w.tokens_per_s = pwjson_number(spec, "tokens_per_s", 0);
  row->w.is_operator = json_is_true(json_object_get(spec, "operator"));
  row->next = v->workspaces;
  v->workspaces = row;
  size_t i;
  json_t *hash;
  json_array_foreach(json_object_get(spec, "key_hashes"), i, hash) {
    key_row *k = pw_alloc(sizeof *k);
    key_row *old;
    pw_copy(k->hash, sizeof k->hash, json_string_value(hash));
    k->workspace = &row->w;
    HASH_REPLACE_STR(v->keys, hash, k, old);
    free(old);
  }
}

static named_row *add_named(named_row **table, const char *name) {
  named_row *row = pw_alloc(sizeof *row);
  pw_copy(row->name, sizeof row->name, name);
  HASH_ADD_STR(*table, name, row);
  return row;
}

static void add_service(pw_view *v, const char *name, const json_t *spec) {
  named_row *row = add_named(&v->services, name);
  pw_copy(row->service.name, sizeof row->service.name, name);
  row->service.repeatable = json_is_true(json_object_get(spec, "repeatable"));
  row->service.timeout =
      (uint32_t)pwjson_number(spec, "timeout_ms", PW_DEADLINE_DEFAULT);
}

static void add_model(pw_view *v, const pw_res *r, const char *name) {
  named_row *row = add_named(&v->models, name);
  pw_copy(row->model, sizeof row->model, name);
  row->has_rollout = pwassign_read_rollout(r, name, &row->rollout);
}

static void add_adapter(pw_view *v, const char *name, const json_t *spec) {
  named_row *row = add_named(&v->adapters, name);
  const char *model = json_string_value(json_object_get(spec, "model"));
  pw_copy(row->model, sizeof row->model, model ? model : "");
}

void pwview_read_policy(const pw_res *r, pw_policy *out) {
  const pw_resource *one = pwres_get(r, "policy", "default");
  json_t *spec = one ? json_loads(one->spec, 0, NULL) : NULL;
  out->bound.bound = pwjson_number(spec, "bound", PWBOUND_BOUND);
  out->bound.margin = pwjson_number(spec, "bound_margin", PWBOUND_MARGIN);
  out->bound.floor = pwjson_number(spec, "floor_tokens", PWBOUND_FLOOR);
  out->retry_share = pwjson_number(spec, "retry_share", PW_RETRY_SHARE);
  out->min_prefix_tokens = pwjson_number(spec, "min_prefix_tokens", 64);
  out->reuse_worth = pwjson_number(spec, "reuse_worth", PWADMIT_REUSE);
  json_decref(spec);
}

pw_view *pwview_build(const pw_res *r) {
  pw_view *v = pw_alloc(sizeof *v);
  for (const pw_resource *one = pwres_first(r); one; one = one->next) {
    if (one->deleted)
      continue;
    json_t *spec = json_loads(one->spec, 0, NULL);
    if (!strcmp(one->kind, "workspace"))
      add_workspace(v, one->name, spec);
    else if (!strcmp(one->kind, "model"))
      add_model(v, r, one->name);
    else if (!strcmp(one->kind, "adapter"))
      add_adapter(v, one->name, spec);
    else if (!strcmp(one->kind, "service"))
      add_service(v, one->name, spec);
    json_decref(spec);
  }
  pwview_read_policy(r, &v->policy);
  return v;
}

static void free_named(named_row *table) {
  named_row *row, *tmp;
  HASH_ITER(hh, table, row, tmp) {
    HASH_DEL(table, row);
    free(row);
  }
}

void pwview_free(pw_view *v) {
  if (!v)
    return;
  key_row *k, *tmp;
  HASH_ITER(hh, v->keys, k, tmp) {
    HASH_DEL(v->keys, k);
    free(k);
  }
  free_named(v->models);
  free_named(v->adapters);
  free_named(v->services);
  while (v->workspaces) {
    workspace_row *row = v->workspaces;
    v->workspaces = row->next;
    free(row);
  }
  free(v);
}

/* The lookup goes by the key's hash, so its timing reveals nothing about the
** keys. The hashes are also compared in constant time. */
const pw_workspace *pwview_workspace(const pw_view *v, const char *key) {
  char hash[2 * PWVIEW_HASH_BYTES + 1];
  key_row *row;
  if (!v)
    return NULL;
  pwview_hash_key(key, hash);
  HASH_FIND_STR(v->keys, hash, row);
  if (!row || sodium_memcmp(row->hash, hash, sizeof hash) != 0)
    return NULL;
  return row->workspace;
}

static const named_row *find_named(const named_row *table, const char *name) {
  named_row *row;
  HASH_FIND_STR(table, name, row);
  return row;
}

const char *pwview_model(const pw_view *v, const char *name) {
  const named_row *row = find_named(v->models, name);
  if (!row)
    row = find_named(v->adapters, name);
  return row ? row->model : NULL;
}

int pwview_rollout(const pw_view *v, const char *model, pw_rollout *out) {
  const named_row *row = find_named(v->models, model);
  if (!row || !row->has_rollout)
    return 0;
  *out = row->rollout;
  return 1;
}

const pw_service *pwview_service(const pw_view *v, const char *name) {
  const named_row *row = find_named(v->services, name);
  return row ? &row->service : NULL;
}

const pw_policy *pwview_policy(const pw_view *v) {
  return &v->policy;
}
