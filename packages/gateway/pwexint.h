/* pwexint.h: state of one exchange, for pwexchange.c, pwexsend.c, pwexfail.c,
** pwexseen.c and pwevents.c alone. */
#ifndef PWEXINT_H
#define PWEXINT_H

#include "pwgate.h"
#include "pwsign.h"
#include "pwtrace.h"

#define PWEX_TRIED_MAX 8
#define PWEX_HELD_MAX (4 * 1024 * 1024) /* bytes of an answer that is held */
#define PWEX_EVENT_ID 64                /* longest id of an event */

/* While more than this part of those who ask get a place, hardly anyone comes back. */
#define PWEX_CALM_SHARE 0.99

/* When to come back, where nothing better is known, ms. */
#define PWEX_RETRY_NO_TARGET_MS 700
#define PWEX_RETRY_LEAST_MS 100

struct pw_exchange {
  pw_gate *g;
  pw_conn *client;
  pw_site *site; /* the configuration that it came under */
  const pw_site_route *route;
  const pw_site_service *service;
  const pw_site_workspace *workspace; /* or NULL */
  pw_gate_service *kept;              /* of its service */
  pw_ask ask;
  uint64_t sign; /* what it is, whichever id it has */
  int64_t arrived, deadline_at, timeout_at; /* ms */
  ev_timer timer;
  int64_t ends_at; /* when the timer ends, ms */
  int is_awaiting; /* a configuration; what follows from it is not known yet */
  pw_exchange *prev, *next; /* of those */

  pw_fleet_side side; /* the targets that it may go to */
  int urgency;        /* 0 first: its route's priority, or after all others */
  int is_last;        /* it goes after others of its urgency */
  int64_t
      known_after; /* its caller is known to have tried before by then, ms */

  /* where it is now */
  pw_target *t;      /* NULL: nowhere */
  pw_target *holder; /* another that has its prompt, not held; or NULL */
  pw_upconn *u;
  int is_sent; /* bytes of it have gone to t */
  int64_t sent_at;
  int64_t sent_lost; /* lost_ms of the loop by then */
  int64_t first_at;  /* when its first piece was passed on ... */
  int pieces;        /* ... and how many since */
  int64_t passed_at; /* when the newest bytes of its stream were passed on */
  int64_t longest_pause;

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

/* Notes the latency of a stage. */
void pwexi_observe(const pw_exchange *x, pw_stage stage, int64_t ms);

/* Lets go of the target. */
void pwexi_let_go(pw_exchange *x);

/* Ms for which its target has had it, by `at`, without what this process stood still. */
int64_t pwexi_at_target(const pw_exchange *x, int64_t at);

/* Ms until it must have ended. */
int64_t pwexi_time_left(const pw_exchange *x);

/* Ends: with a code, or by breaking off what has begun. */
void pwexi_refuse(pw_exchange *x, pw_code code, const char *why,
                  int64_t retry_ms);
void pwexi_break(pw_exchange *x, const char *why);

/* Ends as is true: breaks off what has begun, says that it may have run, or else
** refuses with a code that promises that it did not. */
void pwexi_give_up(pw_exchange *x, pw_code code, const char *why,
                   int64_t retry_ms);

/* Ends it when its time was over a while ago, as after the instance was suspended; gives whether it
** did. */
int pwexi_end_late(pw_exchange *x, int64_t now);

/* --- pwexsend.c --- */

/* Picks a target and sends it there, or ends it. */
void pwexi_place(pw_exchange *x);

/* Sends it to x->t; -1: no connection can be had. */
int pwexi_send(pw_exchange *x);

/* --- pwexseen.c --- */

/* The target answered with a failure of its own, or too late. */
void pwexi_seen_bad(const pw_exchange *x);

/* It answered well, by now. */
void pwexi_seen_good(const pw_exchange *x, int64_t now);

/* --- pwexfail.c --- */

/* The target ended while it had the request; or it went dark, which may be for the request's own
** length. */
void pwexi_note_ended(pw_exchange *x, int64_t now);
void pwexi_note_dark(pw_exchange *x, int64_t now);

/* The target answered with success: it did not end under the request. That another failed it by an
** answer of its own proves nothing: it may not have begun to run it. */
void pwexi_note_answered(pw_exchange *x, int64_t now);

/* Ends it when it is in quarantine; gives whether it did. */
int pwexi_end_quarantined(pw_exchange *x, int64_t now);

/* Lets go, and places it again. */
void pwexi_retry(pw_exchange *x, const char *why, int may_have_run);

/* Whether a request that may have run may go to another target: its route says
** so and the budget pays. */
int pwexi_may_repeat(pw_exchange *x, int64_t now);

/* A failure after which it may have run: another attempt, or the end. */
void pwexi_unknown(pw_exchange *x, const char *why);

/* The target proved that it did not run it: another attempt, or the end. */
void pwexi_not_run(pw_exchange *x);

/* --- pwevents.c --- */

/* Bytes of a stream: passes on the events that are whole. */
void pwexi_events(pw_exchange *x, const char *data, size_t n);

/* Passes bytes on, after the head. */
void pwexi_pass(pw_exchange *x, const char *data, size_t n);
void pwexi_begin_answer(pw_exchange *x);

#endif
