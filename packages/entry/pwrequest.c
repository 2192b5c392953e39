/* pwrequest.c: parses a caller's HTTP request into a call. */
#include "pwrequest.h"

#include "pwbuf.h"
#include "pwfingerprint.h"
#include "pwjson.h"
#include "pwplace.h"

#include <ctype.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <xxhash.h>

#define CHAT_PATH "/v1/chat/completions"
#define SERVICE_PATH "/v1/services/"
#define BYTES_PER_TOKEN 4  /* estimate; the engine reports the true count */
#define OUTPUT_DEFAULT 256 /* tokens, for a request without max_tokens */
#define OUTPUT_MAX 1000000
#define PRIORITY_MAX 9

static int is_token(const char *s, size_t max) {
  size_t n = strlen(s);
  if (n == 0 || n > max)
    return 0;
  for (size_t i = 0; i < n; i++)
    if (!isgraph((unsigned char)s[i]))
      return 0;
  return 1;
}

static pw_code read_number(pw_http *h, const char *name, long max, long *out,
                           char *message, size_t cap) {
  const char *v = pwserve_header(h, name);
  char *end;
  if (!v)
    return PW_OK;
  long n = strtol(v, &end, 10);
  if (!v[0] || *end || n < 0 || n > max) {
    snprintf(message, cap, "%s: must be an integer from 0 to %ld", name, max);
    return PW_E_HEADER;
  }
  *out = n;
  return PW_OK;
}

static pw_code read_chat(pw_http *h, pw_call *c, char *message, size_t cap) {
  const char *chat = pwserve_header(h, "Peatwell-Chat");
  if (!chat)
    return PW_OK;
  if (!is_token(chat, PW_KEY_MAX)) {
    snprintf(message, cap,
             "Peatwell-Chat: must be 1 to %d visible ASCII characters",
             PW_KEY_MAX);
    return PW_E_HEADER;
  }
  snprintf(c->chat, sizeof c->chat, "%s/%s", c->workspace.name, chat);
  return PW_OK;
}

static pw_code read_repeat_headers(pw_http *h, pw_call *c, char *message,
                                   size_t cap) {
  const char *repeat = pwserve_header(h, "Peatwell-Repeat");
  const char *key = pwserve_header(h, "Idempotency-Key");
  if (key && !is_token(key, PW_KEY_MAX)) {
    snprintf(message, cap,
             "Idempotency-Key: must be 1 to %d visible ASCII characters",
             PW_KEY_MAX);
    return PW_E_HEADER;
  }
  if (!repeat)
    return PW_OK;
  if (strcasecmp(repeat, "never") != 0) {
    snprintf(message, cap, "Peatwell-Repeat: only the value never is allowed");
    return PW_E_HEADER;
  }
  if (!key)
    return PW_E_IDEMPOTENCY;
  c->never = 1;
  pw_copy(c->once_key, sizeof c->once_key, key);
  return PW_OK;
}

static pw_code read_headers(pw_http *h, pw_call *c, char *message, size_t cap) {
  long priority = c->workspace.priority;
  long deadline = PW_DEADLINE_DEFAULT;
  pw_code rc = read_chat(h, c, message, cap);
  if (rc == PW_OK)
    rc = read_repeat_headers(h, c, message, cap);
  if (rc == PW_OK)
    rc = read_number(h, "Peatwell-Priority", PRIORITY_MAX, &priority, message,
                     cap);
  if (rc == PW_OK)
    rc = read_number(h, "Peatwell-Deadline-Ms", PW_DEADLINE_MAX, &deadline,
                     message, cap);
  c->priority = (int)priority;
  c->deadline_ms = (uint32_t)deadline;
  return rc;
}

/* Checks the messages and notes whether one is an earlier answer. Returns an
** error text or NULL. */
static const char *read_messages(const json_t *messages, pw_call *c) {
  size_t i;
  json_t *m;
  if (!json_is_array(messages) || json_array_size(messages) == 0)
    return "messages: must be a non-empty array";
  json_array_foreach(messages, i, m) {
    const char *role = json_string_value(json_object_get(m, "role"));
    if (!role || !json_object_get(m, "content"))
      return "messages: each message must have a role and a content";
    if (!strcmp(role, "assistant"))
      c->returning = 1;
  }
  return NULL;
}

/* Names a message of a workspace's prompts by its role and content. */
static uint64_t part_of(const pw_call *c, const json_t *message) {
  char *text = json_dumps(message, JSON_COMPACT | JSON_SORT_KEYS);
  uint64_t id = text ? XXH3_64bits(text, strlen(text)) : 0;
  free(text);
  return pwparts_key(c->workspace.name, id);
}

/* Adds the messages that the prompt may share with others: all but the last, which is new. */
static void add_parts(const json_t *messages, pw_call *c) {
  size_t n = json_array_size(messages);
  for (size_t i = 0; i + 1 < n && c->parts.n < PWPARTS_MAX; i++)
    c->parts.key[c->parts.n++] = part_of(c, json_array_get(messages, i));
}

/* Chooses the pool of the model version that serves the chat. */
static int choose_pool(const pw_view *view, const char *name, pw_call *c) {
  const char *model = pwview_model(view, name);
  pw_rollout r;
  if (!model)
    return 0;
  pw_copy(c->model, sizeof c->model, model);
  if (!pwview_rollout(view, model, &r)) {
    pwassign_pool_name(c->pool, model, "");
    return 1;
  }
  const char *chat = c->chat[0] ? c->chat : c->request;
  int fresh = pwrollout_takes(r.share, pwplace_key(model, chat));
  pwassign_pool_name(c->pool, model, fresh ? r.to : r.from);
  if (r.state != PW_ROLLOUT_DONE)
    pwassign_pool_name(c->other_pool, model, fresh ? r.from : r.to);
  return 1;
}

static pw_code read_chat_fields(const json_t *doc, const pw_view *view,
                                pw_call *c, const char **why) {
  const char *model = json_string_value(json_object_get(doc, "model"));
  const json_t *stream = json_object_get(doc, "stream");
  const json_t *max = json_object_get(doc, "max_tokens");
  *why = NULL;
  if (!json_is_object(doc))
    *why = "request body: must be a JSON object";
  else if (!model)
    *why = "model: must be a string";
  else if (stream && !json_is_boolean(stream))
    *why = "stream: must be true or false";
  else if (max && (!json_is_integer(max) || json_integer_value(max) < 1 ||
                   json_integer_value(max) > OUTPUT_MAX))
    *why = "max_tokens: must be an integer from 1 to 1000000";
  else
    *why = read_messages(json_object_get(doc, "messages"), c);
  if (*why)
    return PW_E_BODY;
  if (!choose_pool(view, model, c))
    return PW_E_MODEL;
  add_parts(json_object_get(doc, "messages"), c);
  c->stream = json_is_true(stream);
  c->output_tokens = max ? (uint32_t)json_integer_value(max) : OUTPUT_DEFAULT;
  return PW_OK;
}

/* Whether the JSON text is nested no deeper than PW_JSON_DEPTH. */
static int depth_ok(const char *s, size_t n) {
  int depth = 0;
  int in_string = 0;
  for (size_t i = 0; i < n; i++) {
    if (in_string) {
      if (s[i] == '\\')
        i++;
      else if (s[i] == '"')
        in_string = 0;
    } else if (s[i] == '"') {
      in_string = 1;
    } else if (s[i] == '[' || s[i] == '{') {
      if (++depth > PW_JSON_DEPTH)
        return 0;
    } else if (s[i] == ']' || s[i] == '}') {
      depth--;
    }
  }
  return 1;
}

static pw_code read_completion(const pw_view *view, pw_call *c, char *message,
                               size_t cap) {
  json_error_t e;
  if (!depth_ok(c->body, c->body_len)) {
    snprintf(message, cap, "request body: JSON nested deeper than %d levels",
             PW_JSON_DEPTH);
    return PW_E_BODY;
  }
  json_t *doc = pwjson_read(c->body, c->body_len, 0, &e);
  if (!doc) {
    snprintf(message, cap,
             "request body: invalid JSON at line %d column %d: %.100s", e.line,
             e.column, e.text);
    return PW_E_BODY;
  }
  const char *why;
  pw_code rc = read_chat_fields(doc, view, c, &why);
  if (why)
    snprintf(message, cap, "%s", why);
  json_decref(doc);
  c->prompt_tokens = (uint32_t)(c->body_len / BYTES_PER_TOKEN) + 1;
  c->repeatable = 1;
  return rc;
}

/* Adds a header to those forwarded to a service: all but the host, the key and those of peatwell itself. */
static void forward_header(void *arg, const char *name, const char *value) {
  if (!strcasecmp(name, "Host") || !strcasecmp(name, "Authorization") ||
      !strncasecmp(name, "Peatwell-", 9))
    return;
  pw_call *c = arg;
  Pw__Header *h = pw_alloc(sizeof *h);
  pw__header__init(h);
  h->name = pw_dup(name);
  h->value = pw_dup(value);
  Pw__Header **grown = pw_alloc(sizeof *grown * (c->nheaders + 1));
  if (c->nheaders)
    memcpy(grown, c->headers, sizeof *grown * c->nheaders);
  free(c->headers);
  c->headers = grown;
  c->headers[c->nheaders++] = h;
}

/* GET and HEAD requests may be retried; others only if the service is declared
** repeatable. */
static pw_code read_service(pw_http *h, const pw_view *view, pw_call *c) {
  const char *name = c->path + strlen(SERVICE_PATH);
  size_t n = strcspn(name, "/");
  char service[PW_NAME_MAX];
  if (n == 0 || n >= sizeof service)
    return PW_E_MODEL;
  memcpy(service, name, n);
  service[n] = 0;
  const pw_service *s = pwview_service(view, service);
  if (!s)
    return PW_E_MODEL;
  pw_copy(c->model, sizeof c->model, service);
  pw_copy(c->pool, sizeof c->pool, service);
  char *rest = pw_dup(name[n] ? name + n : "/");
  free(c->path);
  c->path = rest;
  c->is_service = 1;
  int safe = !strcmp(c->method, "GET") || !strcmp(c->method, "HEAD");
  c->repeatable = !c->never && (safe || s->repeatable);
  if (c->deadline_ms > s->timeout)
    c->deadline_ms = s->timeout;
  c->prompt_tokens = 1;
  c->output_tokens = 1;
  pwserve_headers(h, forward_header, c);
  return PW_OK;
}

static void add_digest(pw_call *c) {
  crypto_generichash_state st;
  crypto_generichash_init(&st, NULL, 0, sizeof c->digest);
  crypto_generichash_update(&st, (const unsigned char *)c->method,
                            strlen(c->method) + 1);
  crypto_generichash_update(&st, (const unsigned char *)c->path,
                            strlen(c->path) + 1);
  crypto_generichash_update(&st, (const unsigned char *)c->body, c->body_len);
  crypto_generichash_final(&st, c->digest, sizeof c->digest);
}

static void add_fingerprint(pw_call *c) {
  c->fingerprint = pwfingerprint_of(c->workspace.name, c->method,
                                    (pw_span){c->path, strlen(c->path)},
                                    (pw_span){c->body, c->body_len});
}

pw_code pwrequest_read(pw_http *h, const pw_view *view, pw_call *c,
                       char *message, size_t cap) {
  const pw_workspace *w = pwview_workspace(view, pwproc_bearer(h));
  if (!w)
    return PW_E_KEY;
  c->workspace = *w;
  c->method = pw_dup(pwserve_method(h));
  c->path = pw_dup(pwserve_path(h));
  const char *body = pwserve_body(h, &c->body_len);
  c->body = pw_memdup(body, c->body_len);
  unsigned char bytes[16];
  randombytes_buf(bytes, sizeof bytes);
  sodium_bin2hex(c->request, sizeof c->request, bytes, sizeof bytes);
  pw_code rc = read_headers(h, c, message, cap);
  if (rc != PW_OK)
    return rc;
  add_digest(c);
  add_fingerprint(c);
  if (!strncmp(c->path, SERVICE_PATH, strlen(SERVICE_PATH)))
    return read_service(h, view, c);
  if (strcmp(c->path, CHAT_PATH) != 0 || strcmp(c->method, "POST") != 0)
    return PW_E_PATH;
  return read_completion(view, c, message, cap);
}
