/* http.c: HTTP calls for scenarios, one at a time or concurrently. */
#include "runner.h"

#include "pwbuf.h"
#include "pwclock.h"
#include "pwfetch.h"

#include <jansson.h>
#include <lauxlib.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <time.h>

#define HEADERS_MAX 24
#define STACK_BYTES (256 * 1024)

static const char *const answer_headers[] = {
    "Peatwell-Request", "Peatwell-Outcome",       "Peatwell-Code",
    "Peatwell-Target",  "Peatwell-Cached-Tokens", "Peatwell-Prompt-Tokens",
    "Retry-After",      "Content-Type",           "Location",
    "X-Request-Id",     "X-Replica-Seal"};
#define NANSWER_HEADERS                                                        \
  ((int)(sizeof answer_headers / sizeof answer_headers[0]))

typedef struct call {
  char *ca; /* trusted certificate, for https */
  char *url, *method, *path, *body;
  char *name[HEADERS_MAX], *value[HEADERS_MAX];
  int nheaders;
  int timeout;
  int stop_reading; /* ms without reading after the first block */
  int give_up;      /* bytes after which the caller disconnects; 0: never */
  pthread_t thread;
  /* results */
  int status;
  char *header[NANSWER_HEADERS];
  pw_buf out;
  pw_code code;
  int64_t began, first, ended;
  _Atomic int is_done;
} call;

static int on_head(void *arg, int status, const pw_fetch_head *h) {
  call *c = arg;
  c->status = status;
  for (int i = 0; i < NANSWER_HEADERS; i++)
    c->header[i] = pw_dup(pwfetch_answer_header(h, answer_headers[i]));
  return 0;
}

static int on_data(void *arg, const char *data, size_t n) {
  call *c = arg;
  pwbuf_add(&c->out, data, n);
  if (!c->first) {
    c->first = pwclock_ns();
    struct timespec ts = {c->stop_reading / 1000,
                          c->stop_reading % 1000 * 1000000L};
    nanosleep(&ts, NULL);
  }
  return c->give_up && c->out.len >= (size_t)c->give_up ? -1 : 0;
}

static void *run_call(void *arg) {
  call *c = arg;
  pw_fetch_header h[HEADERS_MAX];
  const char *host = NULL; /* a second Host header would be malformed */
  int n = 0;
  for (int i = 0; i < c->nheaders; i++)
    if (!strcasecmp(c->name[i], "Host"))
      host = c->value[i];
    else
      h[n++] = (pw_fetch_header){c->name[i], c->value[i]};
  pw_fetch f = {.url = c->url,
                .host = host,
                .ca = c->ca,
                .method = c->method,
                .path = c->path,
                .headers = h,
                .nheaders = n,
                .body = c->body,
                .body_len = c->body ? strlen(c->body) : 0,
                .timeout = c->timeout,
                .arg = c,
                .on_head = on_head,
                .on_data = on_data};
  int sent;
  c->began = pwclock_ns();
  c->code = pwfetch(&f, &sent);
  c->ended = pwclock_ns();
  atomic_store(&c->is_done, 1);
  return NULL;
}

static char *field(lua_State *L, const char *name, const char *fallback) {
  lua_getfield(L, 1, name);
  char *s = pw_dup(luaL_optstring(L, -1, fallback));
  lua_pop(L, 1);
  return s;
}

static int number(lua_State *L, const char *name, int fallback) {
  lua_getfield(L, 1, name);
  int n = (int)luaL_optinteger(L, -1, fallback);
  lua_pop(L, 1);
  return n;
}

static call *read_call(lua_State *L) {
  call *c = pw_alloc(sizeof *c);
  c->url = field(L, "url", NULL);
  c->ca = field(L, "ca", NULL);
  c->method = field(L, "method", "GET");
  c->path = field(L, "path", "/");
  c->body = field(L, "body", NULL);
  c->timeout = number(L, "timeout", 60);
  c->stop_reading = number(L, "stop_reading", 0);
  c->give_up = number(L, "give_up", 0);
  lua_getfield(L, 1, "headers");
  if (lua_istable(L, -1)) {
    lua_pushnil(L);
    while (lua_next(L, -2) && c->nheaders < HEADERS_MAX) {
      c->name[c->nheaders] = pw_dup(lua_tostring(L, -2));
      c->value[c->nheaders++] = pw_dup(lua_tostring(L, -1));
      lua_pop(L, 1);
    }
  }
  return c;
}

static void put_number(lua_State *L, const char *name, lua_Integer n) {
  lua_pushinteger(L, n);
  lua_setfield(L, -2, name);
}

/* Pushes {status, body, code, whole, headers by name, first_us, us}; whole: the answer is complete. */
static int push_result(lua_State *L, call *c) {
  lua_newtable(L);
  put_number(L, "status", c->status);
  put_number(L, "code", c->code);
  put_number(L, "us", (c->ended - c->began) / 1000);
  put_number(L, "first_us", c->first ? (c->first - c->began) / 1000 : 0);
  lua_pushboolean(L, c->code == PW_OK);
  lua_setfield(L, -2, "whole");
  lua_pushlstring(L, c->out.data ? c->out.data : "", c->out.len);
  lua_setfield(L, -2, "body");
  for (int i = 0; i < NANSWER_HEADERS; i++) {
    if (c->header[i]) {
      lua_pushstring(L, c->header[i]);
      lua_setfield(L, -2, answer_headers[i]);
    }
    free(c->header[i]);
  }
  for (int i = 0; i < c->nheaders; i++) {
    free(c->name[i]);
    free(c->value[i]);
  }
  free(c->url);
  free(c->ca);
  free(c->method);
  free(c->path);
  free(c->body);
  pwbuf_free(&c->out);
  free(c);
  return 1;
}

static int call_now(lua_State *L) {
  call *c = read_call(L);
  run_call(c);
  return push_result(L, c);
}

static int call_start(lua_State *L) {
  call *c = read_call(L);
  pthread_attr_t attr;
  pthread_attr_init(&attr);
  pthread_attr_setstacksize(&attr, STACK_BYTES);
  if (pthread_create(&c->thread, &attr, run_call, c) != 0)
    return luaL_error(L, "cannot start a thread for an HTTP call");
  pthread_attr_destroy(&attr);
  lua_pushlightuserdata(L, c);
  return 1;
}

/* Whether http_wait would return at once. */
static int call_done(lua_State *L) {
  call *c = lua_touserdata(L, 1);
  lua_pushboolean(L, atomic_load(&c->is_done));
  return 1;
}

static int call_wait(lua_State *L) {
  call *c = lua_touserdata(L, 1);
  pthread_join(c->thread, NULL);
  return push_result(L, c);
}

static void push_json(lua_State *L, const json_t *v) {
  const char *key;
  json_t *item;
  size_t i;
  switch (json_typeof(v)) {
  case JSON_OBJECT:
    lua_newtable(L);
    json_object_foreach((json_t *)v, key, item) {
      push_json(L, item);
      lua_setfield(L, -2, key);
    }
    break;
  case JSON_ARRAY:
    lua_newtable(L);
    json_array_foreach(v, i, item) {
      push_json(L, item);
      lua_rawseti(L, -2, (lua_Integer)i + 1);
    }
    break;
  case JSON_STRING:
    lua_pushstring(L, json_string_value(v));
    break;
  case JSON_INTEGER:
    lua_pushinteger(L, json_integer_value(v));
    break;
  case JSON_REAL:
    lua_pushnumber(L, json_real_value(v));
    break;
  case JSON_TRUE:
  case JSON_FALSE:
    lua_pushboolean(L, json_is_true(v));
    break;
  default:
    lua_pushnil(L);
    break;
  }
}

/* json(text) -> table, or nil when the text is no JSON */
static int read_json(lua_State *L) {
  size_t n;
  const char *text = luaL_checklstring(L, 1, &n);
  json_t *v = json_loadb(text, n, 0, NULL);
  if (!v)
    return 0;
  push_json(L, v);
  json_decref(v);
  return 1;
}

void runner_open_http(lua_State *L) {
  static const luaL_Reg calls[] = {
      {"http", call_now},       {"http_start", call_start},
      {"http_done", call_done}, {"http_wait", call_wait},
      {"json", read_json},      {NULL, NULL}};
  luaL_setfuncs(L, calls, 0);
}
