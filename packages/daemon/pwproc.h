/* pwproc.h: state and HTTP answers common to all roles of a process. */
#ifndef PWPROC_H
#define PWPROC_H

#include "pwclock.h"
#include "pwcount.h"
#include "pwdialect.h"
#include "pwevent.h"
#include "pwmemory.h"
#include "pwserve.h"
#include "pwset.h"
#include "pwwire.h"

#include <stdatomic.h>

/* The state of one role. */
typedef struct pw_proc {
  const pw_settings *set;
  pw_counters *counters;
  pw_events *events;
  pw_hlc hlc;
  pw_wire *wire;
  pw_memory *memory; /* account of the process, shared by its roles */
  const char *role;
  const pw_dialect *dialect; /* of the platform's messages; NULL: none */
  atomic_int stopping;       /* 1: finish requests in flight; 2: stop at once */
  atomic_int renew;          /* 1: the certificates must be reloaded */
  atomic_int ready;
} pw_proc;

/* Creates counters, events, clock and wire. Reasons of failures go to err. */
pw_code pwproc_init(pw_proc *p, const pw_settings *set, const char *role,
                    pw_buf *err);
void pwproc_free(pw_proc *p);

/* Answers requests for /health/live, /health/ready, /metrics and /v1/events.
** Returns 0 without an answer when the path is another. */
int pwproc_handle(pw_proc *p, pw_http *h);

/* Serves the paths of pwproc_handle at the address instance.metrics until
** pwserve_stop. *out is NULL when no address is set. Returns 0, or -1 with a
** reason in err. */
int pwproc_serve_metrics(pw_proc *p, pw_server **out, pw_buf *err);

/* Answers with a code's HTTP status and JSON error body. `outcome` is
** "not-run", "unknown" or "done". A `retry_ms` other than 0 sets
** Retry-After. */
void pwproc_refuse(pw_http *h, pw_code code, const char *message,
                   const char *outcome, uint32_t retry_ms);

/* Answers with a JSON value and releases the caller's reference to it. */
void pwproc_json(pw_http *h, int status, json_t *value);

/* Returns the bearer key of a request, or "". */
const char *pwproc_bearer(pw_http *h);

/* Sets whether the role is ready, and logs each change. */
void pwproc_set_ready(pw_proc *p, int ready);

#endif
