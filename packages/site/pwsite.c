/* pwsite.c: the configuration of a gateway: validation and lookups. */
#include "pwsite.h"

#include "pwbuf.h"

#include <assert.h>
#include <ctype.h>
#include <limits.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <uthash.h>
#include <xxhash.h>

/* Bytes of host and path used in a lookup: a longer path is cut, a longer host has no route. */
#define HOST_PATH_MAX 4096

/* Fewest routes parsed in one step, which takes under 0.4 ms. */
#define STEP_ROUTES_MIN 24

/* Approximate bound on the steps of one document, by the typical bytes of a route. */
#define STEPS_MAX 25
#define ROUTE_BYTES 300

typedef struct row {
  const char *text;
  int index;
  UT_hash_handle hh;
} row;

typedef struct source_row {
  pw_site_source source;
  int index;
  UT_hash_handle hh;
} source_row;

struct pw_site {
  int refs;
  pw_site_parts p;
  row *route_rows, *key_rows;              /* storage */
  row *routes_by_host_path, *keys_by_text; /* hashes */
  source_row *source_rows;
  source_row *routes_by_source;
};

void pwsite_free_parts(pw_site_parts *p) {
  for (int i = 0; i < p->nservices; i++) {
    free(p->service[i].name);
    free(p->service[i].health_path);
  }
  for (int i = 0; i < p->nroutes; i++) {
    free(p->route[i].name);
    free(p->route[i].host_path);
  }
  for (int i = 0; i < p->nworkspaces; i++)
    free(p->workspace[i].name);
  for (int i = 0; i < p->nkeys; i++)
    free(p->key[i]);
  free(p->service);
  free(p->route);
  free(p->workspace);
  free(p->key);
  free(p->key_workspace);
  *p = (pw_site_parts){0};
}

/* --- validation --- */

static const char *check_route(const pw_site_parts *p, const pw_site_route *r) {
  const char *slash = strchr(r->host_path, '/');
  if (!slash || slash == r->host_path)
    return "a host and a path prefix are required";
  if (r->host_path[strlen(r->host_path) - 1] != '/')
    return "the path prefix must end with a slash";
  if (r->timeout_ms <= 0)
    return "the timeout must be above 0";
  if (r->attempts < 1)
    return "attempts must be above 0";
  if (r->nweighted == 0)
    return "at least one service is required";
  if (!isfinite(r->weight) || r->weight <= 0)
    return "the weights must sum to more than 0";
  for (int i = 0; i < r->nweighted; i++)
    if (r->weighted[i].service < 0 || r->weighted[i].service >= p->nservices)
      return "it refers to an unknown service";
  for (int i = 0; i < r->nweighted; i++)
    if (!(r->weighted[i].weight >= 0))
      return "a weight is negative";
  return NULL;
}

static pw_code refuse(char *why, size_t cap, const char *what, const char *name,
                      const char *reason) {
  snprintf(why, cap, "%s \"%s\": %s", what, name, reason);
  return PW_E_SCHEMA;
}

static pw_code index_routes(pw_site *s, char *why, size_t cap) {
  s->route_rows = pw_alloc(sizeof(row) * (size_t)(s->p.nroutes + 1));
  for (int i = 0; i < s->p.nroutes; i++) {
    const pw_site_route *r = &s->p.route[i];
    const char *reason = check_route(&s->p, r);
    if (reason)
      return refuse(why, cap, "route", r->name, reason);
    row *old, *one = &s->route_rows[i];
    *one = (row){.text = r->host_path, .index = i};
    HASH_FIND_STR(s->routes_by_host_path, one->text, old);
    if (old)
      return refuse(why, cap, "route", r->name,
                    "another route has the same host and path prefix");
    HASH_ADD_KEYPTR(hh, s->routes_by_host_path, one->text, strlen(one->text),
                    one);
  }
  return PW_OK;
}

/* Routes parsed from the same text are equal; the first one is indexed. */
static void index_sources(pw_site *s) {
  s->source_rows = pw_alloc(sizeof(source_row) * (size_t)(s->p.nroutes + 1));
  for (int i = 0; i < s->p.nroutes; i++) {
    source_row *old, *one = &s->source_rows[i];
    *one = (source_row){.source = s->p.route[i].source, .index = i};
    if (!one->source.high && !one->source.low)
      continue;
    HASH_FIND(hh, s->routes_by_source, &one->source, sizeof one->source, old);
    if (!old)
      HASH_ADD(hh, s->routes_by_source, source, sizeof one->source, one);
  }
}

static pw_code index_keys(pw_site *s, char *why, size_t cap) {
  s->key_rows = pw_alloc(sizeof(row) * (size_t)(s->p.nkeys + 1));
  for (int i = 0; i < s->p.nkeys; i++) {
    const char *owner = s->p.workspace[s->p.key_workspace[i]].name;
    row *old, *one = &s->key_rows[i];
    *one = (row){.text = s->p.key[i], .index = s->p.key_workspace[i]};
    if (!one->text[0])
      return refuse(why, cap, "workspace", owner, "a key is empty");
    HASH_FIND_STR(s->keys_by_text, one->text, old);
    if (old && old->index != one->index)
      return refuse(why, cap, "workspace", owner,
                    "another workspace has the same key");
    if (!old)
      HASH_ADD_KEYPTR(hh, s->keys_by_text, one->text, strlen(one->text), one);
  }
  return PW_OK;
}

static pw_code check_names(const pw_site_parts *p, char *why, size_t cap) {
  for (int i = 0; i < p->nservices; i++)
    for (int j = 0; j < i; j++)
      if (!strcmp(p->service[i].name, p->service[j].name))
        return refuse(why, cap, "service", p->service[i].name,
                      "another service has the same name");
  for (int i = 0; i < p->nworkspaces; i++)
    for (int j = 0; j < i; j++)
      if (!strcmp(p->workspace[i].name, p->workspace[j].name))
        return refuse(why, cap, "workspace", p->workspace[i].name,
                      "another workspace has the same name");
  return PW_OK;
}

static pw_code check_limits(const pw_site_limits *l, char *why, size_t cap) {
  if (l->header_bytes > 0 && l->body_bytes >= 0 && l->header_timeout_ms > 0 &&
      l->idle_timeout_ms > 0)
    return PW_OK;
  return refuse(why, cap, "limits", "",
                "each must be above 0, the body limit at least 0");
}

static void free_site(pw_site *s) {
  HASH_CLEAR(hh, s->routes_by_host_path);
  HASH_CLEAR(hh, s->keys_by_text);
  HASH_CLEAR(hh, s->routes_by_source);
  free(s->source_rows);
  free(s->route_rows);
  free(s->key_rows);
  pwsite_free_parts(&s->p);
  free(s);
}

/* Finds the shortest goal of the routes of each service. */
static void find_goals(pw_site_parts *p) {
  for (int i = 0; i < p->nroutes; i++) {
    const pw_site_route *r = &p->route[i];
    for (int k = 0; k < r->nweighted && r->goal_ms > 0; k++) {
      pw_site_service *s = &p->service[r->weighted[k].service];
      if (s->shortest_goal_ms == 0 || r->goal_ms < s->shortest_goal_ms)
        s->shortest_goal_ms = r->goal_ms;
    }
  }
}

pw_code pwsite_new(pw_site_parts *parts, pw_site **out, char *why, size_t cap) {
  pw_site *s = pw_alloc(sizeof *s);
  s->refs = 1;
  s->p = *parts;
  *parts = (pw_site_parts){0};
  pw_code rc = PW_OK;
  if (s->p.version == 0)
    rc = refuse(why, cap, "version", "", "a number above 0 is required");
  if (rc == PW_OK)
    rc = check_names(&s->p, why, cap);
  if (rc == PW_OK)
    rc = check_limits(&s->p.limits, why, cap);
  if (rc == PW_OK)
    rc = index_routes(s, why, cap);
  if (rc == PW_OK)
    rc = index_keys(s, why, cap);
  if (rc != PW_OK) {
    free_site(s);
    return rc;
  }
  index_sources(s);
  find_goals(&s->p);
  *out = s;
  return PW_OK;
}

pw_site *pwsite_retain(pw_site *s) {
  s->refs++;
  return s;
}

void pwsite_release(pw_site *s) {
  if (s && --s->refs == 0)
    free_site(s);
}

/* --- reuse by the parser of the next document --- */

pw_site_source pwsite_source(const char *text, size_t n) {
  XXH128_hash_t hash = XXH3_128bits(text, n);
  return (pw_site_source){hash.high64, hash.low64};
}

int pwsite_copy_route(const pw_site *s, pw_site_source source,
                      pw_site_route *out) {
  source_row *found;
  HASH_FIND(hh, s->routes_by_source, &source, sizeof source, found);
  if (!found)
    return 0;
  *out = s->p.route[found->index];
  out->name = pw_dup(out->name);
  out->host_path = pw_dup(out->host_path);
  return 1;
}

int pwsite_has_services(const pw_site *s, pw_site_source source) {
  return s->p.services_source.high == source.high &&
         s->p.services_source.low == source.low;
}

int pwsite_routes_per_step(size_t bytes, int is_first) {
  size_t routes = bytes / ROUTE_BYTES / STEPS_MAX;
  if (is_first || routes > INT_MAX)
    return INT_MAX;
  return routes > STEP_ROUTES_MIN ? (int)routes : STEP_ROUTES_MIN;
}

/* --- lookups --- */

uint64_t pwsite_version(const pw_site *s) {
  return s->p.version;
}

const pw_site_limits *pwsite_limits(const pw_site *s) {
  return &s->p.limits;
}

/* Length of a dot at the beginning of a text, plain or percent-encoded; 0: there is none. */
static size_t dot_length(const char *p, const char *end) {
  static const char encoded[] = "%2e";
  if (p < end && *p == '.')
    return 1;
  size_t n = sizeof encoded - 1;
  return (size_t)(end - p) >= n && !strncasecmp(p, encoded, n) ? n : 0;
}

static int is_dot_segment(const char *p, const char *end) {
  int dots = 0;
  for (size_t n; (n = dot_length(p, end)) > 0; p += n)
    dots++;
  return p == end && (dots == 1 || dots == 2);
}

int pwsite_has_dot_segment(const char *path, size_t npath) {
  const char *end = path;
  while (end < path + npath && *end != '?' && *end != '#')
    end++;
  for (const char *from = path, *to; from <= end; from = to + 1) {
    to = memchr(from, '/', (size_t)(end - from));
    if (!to)
      to = end;
    if (is_dot_segment(from, to))
      return 1;
  }
  return 0;
}

static size_t host_length(const char *host, size_t n) {
  const char *colon = n ? memchr(host, ':', n) : NULL;
  return colon ? (size_t)(colon - host) : n;
}

const pw_site_route *pwsite_route(const pw_site *s, const char *host,
                                  size_t nhost, const char *path,
                                  size_t npath) {
  char host_path[HOST_PATH_MAX];
  const char *query = memchr(path, '?', npath);
  if (query)
    npath = (size_t)(query - path);
  nhost = host_length(host, nhost);
  if (nhost >= sizeof host_path)
    return NULL;
  for (size_t i = 0; i < nhost; i++)
    host_path[i] = (char)tolower((unsigned char)host[i]);
  if (npath > sizeof host_path - nhost) /* prefixes are shorter than that */
    npath = sizeof host_path - nhost;
  memcpy(host_path + nhost, path, npath);
  for (size_t n = nhost + npath; n > nhost; n--) {
    row *found;
    if (host_path[n - 1] != '/')
      continue;
    HASH_FIND(hh, s->routes_by_host_path, host_path, n, found);
    if (found)
      return &s->p.route[found->index];
  }
  return NULL;
}

const pw_site_workspace *pwsite_workspace(const pw_site *s, const char *key,
                                          size_t nkey) {
  row *found;
  HASH_FIND(hh, s->keys_by_text, key, nkey, found);
  return found ? &s->p.workspace[found->index] : NULL;
}

int pwsite_workspace_index(const pw_site *s, const pw_site_workspace *w) {
  return (int)(w - s->p.workspace);
}

int pwsite_has_workspaces(const pw_site *s) {
  return s->p.has_workspaces;
}

int pwsite_services(const pw_site *s) {
  return s->p.nservices;
}

const pw_site_service *pwsite_service(const pw_site *s, int i) {
  assert(i >= 0 && i < s->p.nservices);
  return &s->p.service[i];
}

int pwsite_service_index(const pw_site *s, const char *name) {
  for (int i = 0; i < s->p.nservices; i++)
    if (!strcmp(s->p.service[i].name, name))
      return i;
  return -1;
}

const pw_site_service *
pwsite_draw_service(const pw_site *s, const pw_site_route *r, double draw) {
  double at = draw * r->weight;
  int last = 0;
  for (int i = 0; i < r->nweighted; i++) {
    if (r->weighted[i].weight <= 0)
      continue;
    last = i;
    if (at < r->weighted[i].weight)
      break;
    at -= r->weighted[i].weight;
  }
  return pwsite_service(s, r->weighted[last].service);
}

const pw_site_service *pwsite_route_service(const pw_site *s,
                                            const pw_site_route *r,
                                            const char *name) {
  int index = pwsite_service_index(s, name);
  for (int i = 0; i < r->nweighted && index >= 0; i++)
    if (r->weighted[i].service == index && r->weighted[i].weight > 0)
      return pwsite_service(s, index);
  return NULL;
}
