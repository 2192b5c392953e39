/* pwschema.c: checks of resources against one table of the fields of each
** kind. */
#include "pwschema.h"

#include "pwlimits.h"

#include <ctype.h>
#include <jansson.h>
#include <stdio.h>
#include <string.h>

typedef enum field_type {
  F_STRING,
  F_NUMBER,
  F_BOOL,
  F_NAMES, /* list of strings */
  F_OBJECT,
  F_STEPS /* rising list of percentages */
} field_type;

typedef struct field_row {
  const char *kind;
  const char *field;
  field_type type;
  int required;
  double min, max;    /* limits of an F_NUMBER */
  const char *refers; /* kind of resource that the value names, or NULL */
} field_row;

#define UNLIMITED 1e15 /* larger than any sensible value */

static const field_row rows[] = {
    {"model", "context_tokens", F_NUMBER, 0, 1, UNLIMITED, NULL},
    {"model", "size_bytes", F_NUMBER, 0, 0, UNLIMITED, NULL},
    {"model", "replicas", F_NUMBER, 0, 0, 100000, NULL},
    {"model", "version", F_STRING, 0, 0, 0, "version"},
    {"adapter", "model", F_STRING, 1, 0, 0, "model"},
    {"adapter", "size_bytes", F_NUMBER, 0, 0, UNLIMITED, NULL},
    {"version", "model", F_STRING, 1, 0, 0, "model"},
    {"version", "size_bytes", F_NUMBER, 0, 0, UNLIMITED, NULL},
    {"version", "steps", F_STEPS, 0, 0, 100, NULL},
    {"version", "max_error_share", F_NUMBER, 0, 0, 1, NULL},
    {"version", "step_s", F_NUMBER, 0, 0, 86400, NULL},
    {"version", "min_requests", F_NUMBER, 0, 0, UNLIMITED, NULL},
    {"workspace", "key_hashes", F_NAMES, 0, 0, 0, NULL},
    {"workspace", "weight", F_NUMBER, 0, 1, 1000, NULL},
    {"workspace", "priority", F_NUMBER, 0, 0, 9, NULL},
    {"workspace", "tokens_per_s", F_NUMBER, 0, 0, UNLIMITED, NULL},
    {"workspace", "models", F_NAMES, 0, 0, 0, "model"},
    {"workspace", "operator", F_BOOL, 0, 0, 0, NULL},
    {"target", "agent", F_STRING, 1, 0, 0, NULL},
    {"target", "models", F_NAMES, 0, 0, 0, "model"},
    {"target", "services", F_NAMES, 0, 0, 0, "service"},
    {"target", "weight", F_NUMBER, 0, 1, 100, NULL},
    {"target", "availability_zone", F_STRING, 0, 0, 0, NULL},
    {"target", "region", F_STRING, 0, 0, 0, NULL},
    {"target", "drain", F_BOOL, 0, 0, 0, NULL},
    {"target", "checks_orders", F_BOOL, 0, 0, 0, NULL},
    {"target", "role", F_STRING, 0, 0, 0, NULL},
    {"service", "repeatable", F_BOOL, 0, 0, 0, NULL},
    {"service", "timeout_ms", F_NUMBER, 0, 1, PW_DEADLINE_MAX, NULL},
    {"policy", "bound", F_NUMBER, 0, 1.01, 100, NULL},
    {"policy", "bound_margin", F_NUMBER, 0, 0, 1, NULL},
    {"policy", "floor_tokens", F_NUMBER, 0, 1, UNLIMITED, NULL},
    {"policy", "pointer_keep_ms", F_NUMBER, 0, 0, UNLIMITED, NULL},
    {"policy", "retry_share", F_NUMBER, 0, 0, 1, NULL},
    {"policy", "min_prefix_tokens", F_NUMBER, 0, 0, UNLIMITED, NULL},
    {"policy", "reuse_worth", F_NUMBER, 0, 0, 1000, NULL},
    {"policy", "load_bytes_per_s", F_NUMBER, 0, 0, UNLIMITED, NULL},
    {"policy", "weights_bytes_per_s", F_NUMBER, 0, 0, UNLIMITED, NULL},
    {"policy", "loads_at_once", F_NUMBER, 0, 1, 10000, NULL},
    {"policy", "once_from_s", F_NUMBER, 0, 0, UNLIMITED, NULL},
    {"policy", "once_keep_s", F_NUMBER, 0, 60, 7 * 86400, NULL},
    {PW_KIND_EVACUATION, "why", F_STRING, 0, 0, 0, NULL},
    {PW_KIND_SERVICE_ROLLOUT, "version", F_STRING, 1, 0, 0, NULL},
    {PW_KIND_SERVICE_ROLLOUT, "over_ms", F_NUMBER, 1, 1, 86400000, NULL},
    {PW_KIND_SERVICE_ROLLOUT, "share", F_NUMBER, 1, 0, 1000, NULL},
    {PW_KIND_SERVICE_ROLLOUT, "state", F_STRING, 1, 0, 0, NULL},
    {PW_KIND_SERVICE_ROLLOUT, "begun", F_NUMBER, 1, 0, UNLIMITED, NULL},
    {PW_KIND_SERVICE_ROLLOUT, "elapsed_ms", F_NUMBER, 1, 0, UNLIMITED, NULL},
    {PW_KIND_SERVICE_ROLLOUT, "written", F_NUMBER, 1, 0, UNLIMITED, NULL},
    {"rollout", "from", F_STRING, 1, 0, 0, NULL},
    {"rollout", "to", F_STRING, 1, 0, 0, NULL},
    {"rollout", "step", F_NUMBER, 1, 0, 100, NULL},
    {"rollout", "share", F_NUMBER, 1, 0, 100, NULL},
    {"rollout", "state", F_STRING, 1, 0, 0, NULL},
    {"rollout", "why", F_STRING, 0, 0, 0, NULL},
    {"rollout", "asked", F_NUMBER, 1, 0, UNLIMITED, NULL},
    {"assignment", "term", F_NUMBER, 1, 0, UNLIMITED, NULL},
    {"assignment", "role", F_STRING, 0, 0, 0, NULL},
    {"assignment", "models", F_OBJECT, 1, 0, 0, NULL},
};

#define ROW_COUNT (sizeof rows / sizeof rows[0])

static const field_row *find_row(const char *kind, const char *field) {
  for (size_t i = 0; i < ROW_COUNT; i++)
    if (!strcmp(rows[i].kind, kind) && !strcmp(rows[i].field, field))
      return &rows[i];
  return NULL;
}

static int is_name(const char *s) {
  size_t n = strlen(s);
  if (n == 0 || n >= PW_NAME_MAX)
    return 0;
  for (size_t i = 0; i < n; i++)
    if (!isalnum((unsigned char)s[i]) && !strchr("-_.", s[i]))
      return 0;
  return 1;
}

static const char *check_names(const json_t *v) {
  size_t i;
  json_t *item;
  if (!json_is_array(v))
    return "a list of strings is required";
  json_array_foreach(v, i, item) {
    if (!json_is_string(item))
      return "a list of strings is required";
  }
  return NULL;
}

static const char *check_steps(const json_t *v) {
  size_t i;
  json_t *item;
  double last = 0;
  if (!json_is_array(v))
    return "a rising list of percentages up to 100 is required";
  json_array_foreach(v, i, item) {
    double step = json_number_value(item);
    if (!json_is_number(item) || step <= last || step > 100)
      return "a rising list of percentages up to 100 is required";
    last = step;
  }
  return NULL;
}

static const char *check_value(const field_row *r, const json_t *v, char *buf,
                               size_t cap) {
  switch (r->type) {
  case F_STRING:
    return json_is_string(v) ? NULL : "a string is required";
  case F_BOOL:
    return json_is_boolean(v) ? NULL : "true or false is required";
  case F_NAMES:
    return check_names(v);
  case F_STEPS:
    return check_steps(v);
  case F_OBJECT:
    return json_is_object(v) ? NULL : "an object is required";
  case F_NUMBER:
    break;
  }
  double x = json_number_value(v);
  if (json_is_number(v) && x >= r->min && x <= r->max)
    return NULL;
  snprintf(buf, cap, "a number from %g to %g is required", r->min, r->max);
  return buf;
}

static pw_code check_fields(const char *kind, json_t *spec, char *reason,
                            size_t cap) {
  const char *field;
  json_t *value;
  char buf[96];
  json_object_foreach(spec, field, value) {
    const field_row *r = find_row(kind, field);
    if (!r) {
      snprintf(reason, cap, "spec.%.64s: unknown field", field);
      return PW_E_SCHEMA;
    }
    const char *why = check_value(r, value, buf, sizeof buf);
    if (why) {
      snprintf(reason, cap, "spec.%s: %s", field, why);
      return PW_E_SCHEMA;
    }
  }
  for (size_t i = 0; i < ROW_COUNT; i++) {
    if (strcmp(rows[i].kind, kind) != 0 || !rows[i].required)
      continue;
    if (!json_object_get(spec, rows[i].field)) {
      snprintf(reason, cap, "spec.%s: required field is missing",
               rows[i].field);
      return PW_E_SCHEMA;
    }
  }
  return PW_OK;
}

pw_code pwschema_check(const char *kind, const char *name, const char *spec,
                       char *reason, size_t cap) {
  if (!pwres_is_kind(kind)) {
    snprintf(reason, cap, "kind: unknown kind of resource");
    return PW_E_SCHEMA;
  }
  if (!is_name(name)) {
    snprintf(reason, cap,
             "name: must be 1 to %d letters, digits, '-', '_' or '.'",
             PW_NAME_MAX - 1);
    return PW_E_SCHEMA;
  }
  json_error_t e;
  json_t *doc = json_loads(spec, JSON_REJECT_DUPLICATES, &e);
  if (!json_is_object(doc)) {
    snprintf(reason, cap, "spec: not a JSON object: %s", e.text);
    json_decref(doc);
    return PW_E_SCHEMA;
  }
  pw_code rc = check_fields(kind, doc, reason, cap);
  json_decref(doc);
  return rc;
}

static pw_code check_reference(const pw_res *r, const field_row *row,
                               const json_t *v, char *reason, size_t cap) {
  const char *name = json_string_value(v);
  if (!name || pwres_get(r, row->refers, name))
    return PW_OK;
  snprintf(reason, cap, "spec.%s: no %s named %.64s", row->field, row->refers,
           name);
  return PW_E_REFERENCE;
}

pw_code pwschema_references(const pw_res *r, const char *kind, const char *spec,
                            char *reason, size_t cap) {
  json_t *doc = json_loads(spec, 0, NULL);
  pw_code rc = PW_OK;
  for (size_t i = 0; i < ROW_COUNT && rc == PW_OK; i++) {
    const field_row *row = &rows[i];
    const json_t *v = json_object_get(doc, row->field);
    if (!v || !row->refers || strcmp(row->kind, kind) != 0)
      continue;
    if (!json_is_array(v)) {
      rc = check_reference(r, row, v, reason, cap);
      continue;
    }
    for (size_t j = 0; j < json_array_size(v) && rc == PW_OK; j++)
      rc = check_reference(r, row, json_array_get(v, j), reason, cap);
  }
  json_decref(doc);
  return rc;
}

static int value_names(const json_t *v, const char *name) {
  if (json_is_string(v))
    return !strcmp(json_string_value(v), name);
  for (size_t i = 0; i < json_array_size(v); i++) {
    const char *s = json_string_value(json_array_get(v, i));
    if (s && !strcmp(s, name))
      return 1;
  }
  return 0;
}

static int refers_to(const pw_resource *one, const char *kind,
                     const char *name) {
  int found = 0;
  json_t *doc = json_loads(one->spec, 0, NULL);
  for (size_t i = 0; i < ROW_COUNT && !found; i++) {
    const field_row *row = &rows[i];
    if (row->refers && !strcmp(row->refers, kind) &&
        !strcmp(row->kind, one->kind))
      found = value_names(json_object_get(doc, row->field), name);
  }
  json_decref(doc);
  return found;
}

int pwschema_is_referenced(const pw_res *r, const char *kind, const char *name,
                           char *reason, size_t cap) {
  for (const pw_resource *one = pwres_first(r); one; one = one->next) {
    if (one->deleted || !refers_to(one, kind, name))
      continue;
    snprintf(reason, cap, "%s still refers to it", one->id);
    return 1;
  }
  return 0;
}
