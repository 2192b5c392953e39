/* pwsite.h: the configuration of a gateway: its services, routes, workspaces and limits.
**
** One versioned document is parsed into these types and is immutable after that; users hold a
** reference. */
#ifndef PWSITE_H
#define PWSITE_H

#include "pwcode.h"

#include <stddef.h>
#include <stdint.h>

/* Whether a request that may have run may be repeated. */
typedef enum pw_site_kind {
  PWSITE_SAFE, /* a request may run again */
  PWSITE_ONCE  /* a request runs at most once per request id of the caller */
} pw_site_kind;

typedef struct pw_site_service {
  char *name;
  char *health_path;
  int64_t cold_ms;   /* how long a target is cold after its start; 0: never */
  double cold_per_s; /* requests a second that a cold target can serve */
  int max_conns; /* connections a target accepts, from all gateways together */
  int is_engine; /* a model engine; the fields below apply */
  int slots;     /* requests that a target runs at once */
  int64_t kv_tokens; /* capacity of a target's KV cache, tokens */
  int64_t pin_ms;    /* longest pin of a prompt in the cache; 0: no pins */
  double
      kv_copy_per_ms; /* tokens that a target copies from another in 1 ms; 0: unknown */
  int moves_kv; /* a target can import a prompt's KV cache from another */
  int64_t
      shortest_goal_ms; /* of its routes, to the first piece; 0: none has a goal */
  int tokens_per_event; /* tokens in one event of a stream */
} pw_site_service;

typedef struct pw_site_weighted {
  int service; /* index in services */
  double weight;
} pw_site_weighted;

#define PWSITE_WEIGHTED 8 /* weighted services of one route */

/* Hash of the text that something was parsed from, to find unchanged parts; all 0: not known. */
typedef struct pw_site_source {
  uint64_t high, low;
} pw_site_source;

typedef struct pw_site_route {
  pw_site_source source;
  char *name;
  char *host_path; /* host and path prefix, concatenated */
  pw_site_kind kind;
  int is_stream;
  int is_resumable;
  int is_public; /* callers need no key */
  int is_sticky; /* prompts share prefixes that targets cache */
  int priority;  /* 0 is the most urgent */
  int attempts;  /* targets that one request may be sent to */
  int64_t timeout_ms;

  /* Latency goals: an answer that is slower is worth less to its caller. */
  int64_t goal_ms;  /* time to the first chunk of an answer */
  int64_t pause_ms; /* time between pieces */
  pw_site_weighted weighted[PWSITE_WEIGHTED];
  int nweighted;
  double weight; /* sum of the weights in `weighted` */
} pw_site_route;

typedef struct pw_site_workspace {
  char *name;
  int priority;
} pw_site_workspace;

typedef struct pw_site_limits {
  int64_t header_bytes, body_bytes;
  int64_t header_timeout_ms, idle_timeout_ms;
} pw_site_limits;

/* The parsed parts of a document; input of pwsite_new. */
typedef struct pw_site_parts {
  uint64_t version;
  pw_site_limits limits;
  pw_site_source services_source;
  pw_site_service *service;
  int nservices;
  pw_site_route *route;
  int nroutes;
  int has_workspaces; /* the document lists its workspaces; the list may be empty */
  pw_site_workspace *workspace;
  int nworkspaces;
  char **key;         /* keys of callers */
  int *key_workspace; /* index of each key's workspace */
  int nkeys;
} pw_site_parts;

typedef struct pw_site pw_site;

/* Makes a configuration of the parts, which it owns from then on, also on failure. PW_E_SCHEMA with
** a reason in `why` when they are inconsistent. */
pw_code pwsite_new(pw_site_parts *parts, pw_site **out, char *why, size_t cap);
pw_site *pwsite_retain(pw_site *s);
void pwsite_release(pw_site *s);

/* Frees parts that were not passed to pwsite_new. */
void pwsite_free_parts(pw_site_parts *parts);

/* The hash of a text. */
pw_site_source pwsite_source(const char *text, size_t n);

/* Copies the route parsed from the text of this hash into *out; 0 when there is none. Its service
** indexes are those of `s`. */
int pwsite_copy_route(const pw_site *s, pw_site_source source,
                      pw_site_route *out);

/* How many routes of a document of so many bytes to parse in one step: few, so that streams are not
** delayed, but enough to bound the number of steps. The first document of a process is parsed in
** one step, because requests wait for it. */
int pwsite_routes_per_step(size_t bytes, int is_first);

/* Whether the services were parsed from the text of this hash. */
int pwsite_has_services(const pw_site *s, pw_site_source source);

uint64_t pwsite_version(const pw_site *s);
const pw_site_limits *pwsite_limits(const pw_site *s);

/* Whether a segment of a path is "." or "..", also when percent-encoded: a target may resolve it to a path that belongs to
** another route. A query is not looked at. */
int pwsite_has_dot_segment(const char *path, size_t npath);

/* The route of a host (a port is ignored) and a path: the longest prefix wins; NULL: none. */
const pw_site_route *pwsite_route(const pw_site *s, const char *host,
                                  size_t nhost, const char *path, size_t npath);

/* The workspace of a key; NULL: none. */
const pw_site_workspace *pwsite_workspace(const pw_site *s, const char *key,
                                          size_t nkey);
int pwsite_workspace_index(const pw_site *s, const pw_site_workspace *w);

/* Whether the document lists its workspaces, if only none. If it does not, callers need no key. */
int pwsite_has_workspaces(const pw_site *s);

const pw_site_service *pwsite_service(const pw_site *s, int i);
int pwsite_services(const pw_site *s);

/* Index of a service by name, or -1. */
int pwsite_service_index(const pw_site *s, const char *name);

/* Picks the service of one request by weight; `draw` is a random number in [0, 1). */
const pw_site_service *pwsite_draw_service(const pw_site *s,
                                           const pw_site_route *r, double draw);

/* The service of this name if requests of the route may go to it, else NULL. */
const pw_site_service *pwsite_route_service(const pw_site *s,
                                            const pw_site_route *r,
                                            const char *name);

#endif
