/* pwserve.h: an HTTP server whose handlers may answer from other threads. */
#ifndef PWSERVE_H
#define PWSERVE_H

#include "pwbuf.h"

#include <stdint.h>
#include <sys/types.h>

typedef struct pw_server pw_server;
typedef struct pw_http pw_http; /* one request on a connection */

typedef struct pw_serve_setup {
  const char *addr; /* "IP:PORT" */
  int threads;
  size_t max_body;
  int max_connections;
  int idle_timeout;         /* s */
  struct pw_memory *memory; /* account of the connections; NULL: none */
  int is_reserved; /* few connections with small requests, which are served when memory is short, too */
  const char *tls_cert; /* PEM file, or "" */
  const char *tls_key;
  void *arg;

  /* A complete request has arrived. The handler answers with pwserve_reply or pwserve_stream, or
  ** suspends the request with pwserve_wait and is called again, with `again` set, after
  ** pwserve_wake. */
  void (*handle)(void *arg, pw_http *h, int again);

  /* The request has ended: answered, or its caller disconnected (`is_complete` is 0). Called once
  ** if the handler set a state with pwserve_set. */
  void (*done)(void *arg, void *request, int is_complete);
} pw_serve_setup;

/* Starts the server's threads; NULL with a reason in err. */
pw_server *pwserve_start(const pw_serve_setup *setup, pw_buf *err);

/* Reloads certificate and key for new connections; open ones keep the old ones. Returns 0, or -1
** with a reason in `err` and the old keys still in use. */
int pwserve_reload_keys(pw_server *s, pw_buf *err);

/* Stops listening; requests in progress continue. */
void pwserve_quiesce(pw_server *s);

/* Number of requests in progress. */
int pwserve_active(const pw_server *s);

void pwserve_stop(pw_server *s);

/* Parts of the request. Strings are valid as long as the request. */
const char *pwserve_method(const pw_http *h);
const char *pwserve_path(const pw_http *h);
const char *pwserve_query(pw_http *h, const char *name);  /* or NULL */
const char *pwserve_header(pw_http *h, const char *name); /* or NULL */
const char *pwserve_body(const pw_http *h, size_t *n);

/* Calls f for each header of the request that does not concern this connection only. */
void pwserve_headers(pw_http *h,
                     void (*f)(void *arg, const char *name, const char *value),
                     void *arg);

/* The handler's own state of this request. */
void pwserve_set(pw_http *h, void *request);
void *pwserve_get(const pw_http *h);

/* Adds a header to the answer, before it is sent. */
void pwserve_add_header(pw_http *h, const char *name, const char *value);

/* Answers with a complete body, which is copied. */
void pwserve_reply(pw_http *h, int status, const char *type, const void *body,
                   size_t n);

/* Reads the next bytes of a streamed answer into buf. Returns their number; 0: none yet, after it
** has called pwserve_wait; -1: the end; -2: failed, and the connection is reset. */
typedef ssize_t (*pw_stream_read)(void *arg, pw_http *h, char *buf, size_t max);
void pwserve_stream(pw_http *h, int status, const char *type,
                    pw_stream_read read, void *arg);

/* Suspends the request until pwserve_wake, which any thread may call, once for each wait. The
** caller needs a lock of its own so that the wake does not come before the wait. */
void pwserve_wait(pw_http *h);
void pwserve_wake(pw_http *h);

/* Whether the caller is known to have disconnected. */
int pwserve_is_gone(pw_http *h);

#endif
