/* pwapi.c: API calls of a control instance: reading requests, waiting,
** answering. */
#include "pwapi.h"

#include "pwbuf.h"
#include "pwjson.h"
#include "pwview.h"

#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ROOT "/v1/resources"
#define PUTS_MAX 10000
#define ROLLOUT_ROOT "/v1/rollouts/"
#define OVER_S_MAX 86400.0
#define MS_PER_S 1000

/* --- reading --- */

static int is_operator(const char *operators, const char *key) {
  char hash[2 * PWVIEW_HASH_BYTES + 1];
  if (!operators)
    return 1;
  if (!key[0])
    return 0;
  pwview_hash_key(key, hash);
  int found = 0;
  for (const char *line = operators; *line;) {
    size_t n = strcspn(line, "\n");
    if (n >= sizeof hash - 1)
      found |= sodium_memcmp(line, hash, sizeof hash - 1) == 0;
    line += n + (line[n] != 0);
  }
  return found;
}

static Pw__Put *new_put(const char *kind, const char *name) {
  Pw__Put *p = pw_alloc(sizeof *p);
  pw__put__init(p);
  p->kind = pw_dup(kind);
  p->name = pw_dup(name);
  p->spec = pw_dup("");
  return p;
}

/* Reads {spec, version} into a put. Without a version the put applies to any
** version of the resource. */
static const char *read_put(const json_t *doc, Pw__Put *p) {
  const json_t *spec = json_object_get(doc, "spec");
  const json_t *version = json_object_get(doc, "version");
  p->remove = json_is_true(json_object_get(doc, "delete"));
  if (!p->remove && !json_is_object(spec))
    return "spec: a JSON object is needed";
  if (version && (!json_is_integer(version) || json_integer_value(version) < 0))
    return "version: a whole number of 0 or more is needed";
  p->any_version = version == NULL;
  p->version = version ? (uint64_t)json_integer_value(version) : 0;
  if (!p->remove) {
    free(p->spec);
    p->spec = json_dumps(spec, JSON_COMPACT | JSON_SORT_KEYS);
  }
  return NULL;
}

static void add_put(Pw__Change *ch, Pw__Put *p) {
  Pw__Put **grown = pw_alloc(sizeof *grown * (ch->n_puts + 1));
  if (ch->n_puts)
    memcpy(grown, ch->puts, sizeof *grown * ch->n_puts);
  free(ch->puts);
  ch->puts = grown;
  ch->puts[ch->n_puts++] = p;
}

static const char *read_many(const json_t *doc, Pw__Change *ch) {
  size_t i;
  json_t *item;
  const json_t *list = json_object_get(doc, "resources");
  if (!json_is_array(list) || json_array_size(list) == 0 ||
      json_array_size(list) > PUTS_MAX)
    return "resources: a list of 1 to 10000 items is needed";
  json_array_foreach(list, i, item) {
    const char *kind = json_string_value(json_object_get(item, "kind"));
    const char *name = json_string_value(json_object_get(item, "name"));
    if (!kind || !name)
      return "resources: each needs a kind and a name";
    Pw__Put *p = new_put(kind, name);
    add_put(ch, p);
    const char *why = read_put(item, p);
    if (why)
      return why;
  }
  return NULL;
}

static Pw__Change *new_change(pw_http *h) {
  Pw__Change *ch = pw_alloc(sizeof *ch);
  pw__change__init(ch);
  const char *key = pwserve_header(h, "Idempotency-Key");
  ch->resend = pw_dup(key ? key : "");
  size_t n;
  const char *body = pwserve_body(h, &n);
  crypto_generichash_state st;
  ch->digest.len = 32;
  ch->digest.data = pw_alloc(32);
  crypto_generichash_init(&st, NULL, 0, 32);
  const char *parts[] = {pwserve_method(h), pwserve_path(h)};
  for (int i = 0; i < 2; i++)
    crypto_generichash_update(&st, (const unsigned char *)parts[i],
                              strlen(parts[i]) + 1);
  crypto_generichash_update(&st, (const unsigned char *)body, n);
  crypto_generichash_final(&st, ch->digest.data, 32);
  return ch;
}

Pw__Change *pwapi_single_put(const char *kind, const char *name,
                             const char *spec) {
  Pw__Change *ch = pw_alloc(sizeof *ch);
  pw__change__init(ch);
  ch->resend = pw_dup("");
  Pw__Put *p = new_put(kind, name);
  p->any_version = 1;
  p->remove = !spec;
  if (spec) {
    free(p->spec);
    p->spec = pw_dup(spec);
  }
  add_put(ch, p);
  return ch;
}

static pw_code check_kinds(const Pw__Change *ch, char *message, size_t cap) {
  for (size_t i = 0; i < ch->n_puts; i++) {
    if (!pwres_is_leader_only(ch->puts[i]->kind))
      continue;
    snprintf(message, cap, "kind: %s is written only by the control leader",
             ch->puts[i]->kind);
    return PW_E_DENIED;
  }
  return PW_OK;
}

static pw_code read_change(pw_http *h, pw_api_call *c, char *message,
                           size_t cap) {
  size_t n;
  const char *body = pwserve_body(h, &n);
  const char *why = NULL;
  json_error_t e = {0};
  json_t *doc = n ? pwjson_read(body, n, 0, &e) : NULL;
  c->change = new_change(h);
  if (!strcmp(pwserve_method(h), "DELETE")) {
    Pw__Put *p = new_put(c->kind, c->name);
    const char *version = pwserve_query(h, "version");
    p->remove = 1;
    p->any_version = version == NULL;
    p->version = version ? strtoull(version, NULL, 10) : 0;
    add_put(c->change, p);
  } else if (!json_is_object(doc)) {
    snprintf(message, cap, "line %d column %d: %.100s", e.line, e.column,
             e.text[0] ? e.text : "a JSON object is needed");
    json_decref(doc);
    return PW_E_BODY;
  } else if (c->kind[0]) {
    Pw__Put *p = new_put(c->kind, c->name);
    add_put(c->change, p);
    why = read_put(doc, p);
  } else {
    why = read_many(doc, c->change);
  }
  json_decref(doc);
  if (!why)
    return check_kinds(c->change, message, cap);
  snprintf(message, cap, "%s", why);
  return PW_E_BODY;
}

/* Splits the path after ROOT into kind and name. */
static pw_code read_path(const char *path, pw_api_call *c) {
  const char *rest = path + strlen(ROOT);
  if (!rest[0])
    return PW_OK;
  const char *slash = rest[0] == '/' ? strchr(rest + 1, '/') : NULL;
  if (!slash || !slash[1] || strchr(slash + 1, '/'))
    return PW_E_PATH;
  size_t kind = (size_t)(slash - rest - 1);
  if (kind >= sizeof c->kind || strlen(slash + 1) >= sizeof c->name)
    return PW_E_PATH;
  memcpy(c->kind, rest + 1, kind);
  pw_copy(c->name, sizeof c->name, slash + 1);
  return pwres_is_kind(c->kind) ? PW_OK : PW_E_PATH;
}

/* Reads {version, over_s}. */
static const char *read_order(const json_t *doc, pw_rollout_order *out) {
  const char *version = json_string_value(json_object_get(doc, "version"));
  double over_s = json_number_value(json_object_get(doc, "over_s"));
  if (!version || !version[0] || strlen(version) >= PW_NAME_MAX)
    return "version: a text of 1 to 63 bytes is needed";
  if (!(over_s > 0 && over_s <= OVER_S_MAX))
    return "over_s: a number above 0 and up to 86400 is needed";
  pw_copy(out->version, sizeof out->version, version);
  out->over_ms = (int64_t)(over_s * MS_PER_S) + 1;
  return NULL;
}

/* Reads a request whose path has a service name after ROLLOUT_ROOT. */
static pw_code read_rollout(pw_http *h, pw_api_call *c, char *message,
                            size_t cap) {
  const char *service = pwserve_path(h) + strlen(ROLLOUT_ROOT);
  const char *method = pwserve_method(h);
  size_t n;
  const char *body = pwserve_body(h, &n);
  if (!service[0] || strlen(service) >= PW_NAME_MAX || strchr(service, '/'))
    return PW_E_PATH;
  pw_copy(c->order.service, sizeof c->order.service, service);
  c->op = strcmp(method, "GET") ? PW_API_ROLLOUT : PW_API_ROLLOUT_READ;
  if (c->op == PW_API_ROLLOUT_READ)
    return PW_OK;
  if (strcmp(method, "PUT") != 0)
    return PW_E_PATH;
  json_error_t e;
  json_t *doc = pwjson_read(body, n, 0, &e);
  const char *why = json_is_object(doc) ? read_order(doc, &c->order)
                                        : "a JSON object is needed";
  json_decref(doc);
  if (!why)
    return PW_OK;
  snprintf(message, cap, "%s", why);
  return PW_E_BODY;
}

static pw_code read_call(pw_http *h, pw_api_call *c, char *message,
                         size_t cap) {
  const char *path = pwserve_path(h);
  const char *method = pwserve_method(h);
  if (!strncmp(path, ROLLOUT_ROOT, strlen(ROLLOUT_ROOT)))
    return read_rollout(h, c, message, cap);
  if (!strcmp(path, "/v1/status")) {
    c->op = PW_API_STATUS;
    return PW_OK;
  }
  if (strncmp(path, ROOT, strlen(ROOT)) != 0 || read_path(path, c) != PW_OK)
    return PW_E_PATH;
  if (!strcmp(method, "GET")) {
    const char *since = pwserve_query(h, "since");
    c->op = c->kind[0] ? PW_API_GET : PW_API_LIST;
    c->has_since = since != NULL;
    c->since = since ? strtoull(since, NULL, 10) : 0;
    return PW_OK;
  }
  c->op = PW_API_CHANGE;
  int one = c->kind[0] != 0;
  if ((one && (!strcmp(method, "PUT") || !strcmp(method, "DELETE"))) ||
      (!one && !strcmp(method, "POST")))
    return read_change(h, c, message, cap);
  return PW_E_PATH;
}

void pwapi_free(pw_api_call *c) {
  if (c->change)
    pw__change__free_unpacked(c->change, NULL);
  json_decref(c->answer);
  pwbuf_free(&c->document);
  pwbuf_free(&c->text);
  pthread_mutex_destroy(&c->lock);
  free(c);
}

pw_api_call *pwapi_new(pw_api_op op) {
  pw_api_call *c = pw_alloc(sizeof *c);
  pthread_mutex_init(&c->lock, NULL);
  c->started = pwclock_ns();
  c->refs = 2;
  c->op = op;
  return c;
}

pw_code pwapi_read(pw_http *h, const char *operators, pw_api_call **out,
                   char *message, size_t cap) {
  if (!is_operator(operators, pwproc_bearer(h)))
    return PW_E_KEY;
  pw_api_call *c = pwapi_new(PW_API_GET);
  pw_code rc = read_call(h, c, message, cap);
  if (rc != PW_OK) {
    pwapi_free(c);
    return rc;
  }
  *out = c;
  return PW_OK;
}

/* --- waiting and answering --- */

static void release(pw_api_call *c) {
  pthread_mutex_lock(&c->lock);
  int left = --c->refs;
  pthread_mutex_unlock(&c->lock);
  if (left == 0)
    pwapi_free(c);
}

void pwapi_begin(pw_api_call *c, pw_http *h, pw_mail *mail) {
  pwserve_set(h, c);
  pthread_mutex_lock(&c->lock);
  c->h = h;
  pwserve_wait(h);
  pthread_mutex_unlock(&c->lock);
  pwmail_post(mail, &c->item);
}

void pwapi_post_detached(pw_api_call *c, pw_mail *mail) {
  c->refs = 1;
  pwmail_post_nowake(mail, &c->item);
}

void pwapi_respond(pw_api_call *c) {
  pthread_mutex_lock(&c->lock);
  pw_http *h = c->h;
  if (c->leader[0])
    pwserve_add_header(h, "Peatwell-Leader", c->leader);
  if (c->location[0]) {
    pwserve_add_header(h, "Location", c->location);
    pwserve_reply(h, c->status, "application/json", "{}", 2);
  } else if (c->text.data) {
    pwserve_reply(h, c->status, "application/json", c->text.data, c->text.len);
  } else if (c->code == PW_OK) {
    pwproc_json(h, c->status, json_incref(c->answer));
  } else if (c->answer) {
    char number[16];
    snprintf(number, sizeof number, "%d", (int)c->code);
    pwserve_add_header(h, "Peatwell-Code", number);
    pwserve_add_header(h, "Peatwell-Outcome", c->outcome);
    pwproc_json(h, pwcode_http(c->code), json_incref(c->answer));
  } else {
    pwproc_refuse(h, c->code, c->message, c->outcome, 0);
  }
  pthread_mutex_unlock(&c->lock);
}

void pwapi_request_done(pw_api_call *c) {
  pthread_mutex_lock(&c->lock);
  c->h = NULL;
  pthread_mutex_unlock(&c->lock);
  release(c);
}

static void wake(pw_api_call *c) {
  pthread_mutex_lock(&c->lock);
  c->answered = 1;
  if (c->h)
    pwserve_wake(c->h);
  pthread_mutex_unlock(&c->lock);
  release(c);
}

void pwapi_answer(pw_api_call *c, int status, json_t *value) {
  c->status = status;
  c->answer = value;
  wake(c);
}

void pwapi_answer_text(pw_api_call *c, const char *text, size_t n) {
  c->status = 200;
  pwbuf_add(&c->text, text, n);
  wake(c);
}

#define HTTP_TEMPORARY_REDIRECT 307

void pwapi_redirect(pw_api_call *c, const char *http, const char *path) {
  c->status = HTTP_TEMPORARY_REDIRECT;
  snprintf(c->location, sizeof c->location, "http://%s%s", http, path);
  wake(c);
}

void pwapi_fail(pw_api_call *c, pw_code code, const char *message,
                const char *outcome, json_t *more) {
  c->code = code;
  pw_copy(c->message, sizeof c->message, message);
  pw_copy(c->outcome, sizeof c->outcome, outcome);
  if (more) {
    const char *text = message[0] ? message : pwcode_text(code);
    json_object_set_new(more, "error",
                        json_pack("{s:i,s:s,s:s}", "code", (int)code, "name",
                                  pwcode_name(code), "message", text));
    c->answer = more;
  }
  wake(c);
}

/* --- JSON --- */

static json_t *resource_json(const char *kind, const char *name,
                             uint64_t version, uint64_t revision, int deleted,
                             const char *spec) {
  json_t *o =
      json_pack("{s:s,s:s,s:I,s:I}", "kind", kind, "name", name, "version",
                (json_int_t)version, "revision", (json_int_t)revision);
  if (deleted)
    json_object_set_new(o, "deleted", json_true());
  else
    json_object_set_new(o, "spec", json_loads(spec, 0, NULL));
  return o;
}

json_t *pwapi_resource_json(const pw_resource *one) {
  return resource_json(one->kind, one->name, one->version, one->revision,
                       one->deleted, one->spec);
}

json_t *pwapi_packed_json(const Pw__Resource *one) {
  return resource_json(one->kind, one->name, one->version, one->revision,
                       one->deleted, one->spec);
}
