/* pwexint.h: state of one exchange, for pwexchange.c and pwevents.c alone. */
#ifndef PWEXINT_H
#define PWEXINT_H

#include "pwgate.h"
#include "pwtrace.h"

#define PWEX_TRIED_MAX 8
#define PWEX_HELD_MAX (4 * 1024 * 1024) /* bytes of an answer that is held */
#define PWEX_EVENT_ID 64                /* longest id of an event */

struct pw_exchange {
  pw_gate *g;
  pw_client *client;
  pw_site *site; /* the configuration that it came under */
  const pw_site_route *route;
  const pw_site_service *service;
  const pw_site_workspace *workspace; /* or NULL */
  pw_ask ask;
  int64_t arrived, deadline_at, timeout_at; /* ms */
  ev_timer timer;

  /* where it is now */
  pw_target *t;      /* NULL: nowhere */
  pw_target *holder; /* another that has its prompt, not held; or NULL */
  pw_upconn *u;
  int is_sent; /* bytes of it have gone to t */
  int64_t sent_at;

  /* where it has been */
  pw_target *tried[PWEX_TRIED_MAX];
  int ntried;
  int runs;     /* targets that may have run it */
  int hops;     /* targets that proved they did not */
  int connects; /* connections that did not come up */
  int may_have_run;
  int is_fresh_only; /* sent again to the same target, over a new connection */

  /* its answer */
  pw_told told;
  int status;
  int is_events;   /* a stream of events that is passed on */
  int is_too_long; /* to be held */
  int has_begun;   /* the caller has its head */
  int is_paused;   /* the caller does not keep up */
  pw_buf lines;    /* headers for the caller */
  pw_buf held;     /* the answer, or the beginning of an event */
  char last_event[PWEX_EVENT_ID];
  size_t nlast_event;
};

/* A line about this request. */
void pwexi_note(const pw_exchange *x, pw_trace_kind kind, const char *event,
                const char *fmt, ...) __attribute__((format(printf, 4, 5)));

/* Lets go of the target. */
void pwexi_let_go(pw_exchange *x);

/* Sends it to a target, or ends it. */
void pwexi_place(pw_exchange *x);

/* Lets go, and places it again. */
void pwexi_retry(pw_exchange *x, const char *why, int may_have_run);

/* A failure after which it may have run: another attempt, or the end. */
void pwexi_unknown(pw_exchange *x, const char *why);

/* Ends: with a code, or by breaking off what has begun. */
void pwexi_refuse(pw_exchange *x, pw_code code, const char *why,
                  int64_t retry_ms);
void pwexi_break(pw_exchange *x, const char *why);

/* --- pwevents.c --- */

/* Bytes of a stream: passes on the events that are whole. */
void pwexi_events(pw_exchange *x, const char *data, size_t n);

/* Passes bytes on, after the head. */
void pwexi_pass(pw_exchange *x, const char *data, size_t n);
void pwexi_begin_answer(pw_exchange *x);

#endif
