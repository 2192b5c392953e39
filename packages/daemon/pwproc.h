/* pwproc.h: what every role of a process shares. */
#ifndef PWPROC_H
#define PWPROC_H

#include "pwclock.h"
#include "pwcount.h"
#include "pwdialect.h"
#include "pwevent.h"
#include "pwserve.h"
#include "pwset.h"
#include "pwwire.h"

#include <stdatomic.h>

typedef struct pw_proc {
  const pw_settings *set;
  pw_counters *counters;
  pw_events *events;
  pw_hlc hlc;
  pw_wire *wire;
  const char *role;
  const pw_dialect *dialect; /* how the platform speaks; NULL: no platform */
  atomic_int stopping;       /* 1: finish what is in progress; 2: hurry */
  atomic_int renew;          /* certificates are to be read anew */
  atomic_int ready;
} pw_proc;

/* Prepares the shared parts; reasons go to err. */
pw_code pwproc_init(pw_proc *p, const pw_settings *set, const char *role,
                    pw_buf *err);
void pwproc_free(pw_proc *p);

/* Answers /health/live, /health/ready, /metrics and /v1/events; 0 when the
** path is none of these. */
int pwproc_handle(pw_proc *p, pw_http *h);

/* Serves the same at instance.metrics, if that is set, until pwserve_stop; *out is
** NULL when it is not. 0, or -1 with a reason in err. */
int pwproc_serve_metrics(pw_proc *p, pw_server **out, pw_buf *err);

/* Answers with a code's JSON error body. outcome is "not-run", "unknown" or
** "done"; retry_ms, when not 0, becomes Retry-After. */
void pwproc_refuse(pw_http *h, pw_code code, const char *message,
                   const char *outcome, uint32_t retry_ms);

/* Answers 200 with a JSON value, whose reference it takes over. */
void pwproc_json(pw_http *h, int status, json_t *value);

/* The bearer key of a request, or "". */
const char *pwproc_bearer(pw_http *h);

/* Notes a change of being ready; logs it once. */
void pwproc_set_ready(pw_proc *p, int ready);

#endif
