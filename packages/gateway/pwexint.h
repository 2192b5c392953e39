/* pwexint.h: state of one exchange, private to pwexchange.c, pwexadmit.c, pwexsend.c, pwexfail.c,
** pwexcrash.c, pwexrecord.c, pwexprefix.c, pwexresume.c, pwexconfirm.c, pwexbody.c, pwevents.c, pwextime.c,
** pwexlog.c and pwinflight.c. */
#ifndef PWEXINT_H
#define PWEXINT_H

#include "pwfingerprint.h"
#include "pwgate.h"
#include "pwlinkstreams.h"
#include "pwsse.h"
#include "pwtrace.h"

#define PWEX_TRIED_MAX 8 /* most targets that one request is sent to */
#define PWEX_EVENT_ID 64 /* longest event id, in bytes */

/* Slots are not short while more than this share of requests gets one: hardly any caller has to
** retry then. */
#define PWEX_AMPLE_SHARE 0.99

/* Default retry delays sent to callers, ms. */
#define PWEX_RETRY_NO_TARGET_MS 700
#define PWEX_RETRY_LEAST_MS 100

struct pw_exchange {
  pw_gate *g;
  pw_conn *caller;
  pw_site *site; /* the configuration under which the request was admitted */
  const pw_site_route *route;
  const pw_site_service *service;
  const pw_site_workspace *workspace; /* or NULL */
  pw_gate_service *service_state;
  pw_request_info request_info;
  uint64_t fingerprint; /* hash of the request's content, without its id */
  int64_t arrived, deadline_at, timeout_at; /* ms */
  ev_timer timer;
  int64_t timer_at; /* when the timer expires, ms */
  /* The request waits for a configuration; route, service and the fields that depend
  ** on them are not set yet. */
  int is_awaiting;
  int awaits_prefix; /* another request's prefill of its prefix is in progress */
  int has_awaited_prefix; /* it does so at most once */
  pw_exchange *prev,
      *next; /* in the list of requests that wait for something */

  /* The version that began the stream, after its first event or when its caller resumed it, as in pw_target.version_hash;
  ** 0: any. The request goes to no other. */
  uint64_t version;
  uint64_t stream;      /* names the stream in pworigins; 0: it has no name */
  int64_t announced_at; /* when its version was last announced, ms */
  int is_told_control;  /* control instances have been told, too */
  int awaits_origin;    /* other instances are queried for its version */
  /* The query for the recorded versions that it awaits; 0: none. */
  uint64_t served_query;
  /* When gateways and when control instances were last queried, ms. */
  int64_t queried_at, control_queried_at;
  /* Hashes of those queried, gateways first; 0: has answered. */
  uint64_t queried[PWLINK_QUERIED_MAX];
  int nqueried;

  pw_fleet_side side;   /* the version of the service to which it may be sent */
  int urgency;          /* 0 is the most urgent */
  int is_deprioritized; /* admitted after others of the same urgency */
  /* A retry of the caller after at least this delay is recognised as one, ms. */
  int64_t retry_known_ms;

  /* current attempt */
  pw_target *t; /* NULL: none */
  /* Another target that has the prompt cached, or NULL. No reference is held. */
  pw_target *holder;
  pw_upconn *u;
  pw_prefill_work work; /* of t before the first chunk; {0} from then on */
  pw_target *source;    /* the target from which t copies a prefix, or NULL */
  int is_sent;          /* bytes of the request have been sent to t */
  int has_chunk;        /* a chunk of t's answer has come */
  int64_t sent_at;
  int64_t
      unanswered_at; /* when the attempt became overdue without a byte of an answer, ms; 0: not */
  int64_t sent_stalled_ms;    /* the event loop's total stall time at sent_at */
  int64_t first_forwarded_at; /* time of the first chunk of the answer */
  int nchunks;                /* chunks of the answer that were forwarded */
  int64_t forwarded_at;       /* time of the last chunk */
  int64_t longest_pause;
  int is_late; /* its first chunk or a later one came after the route's goal */

  /* past attempts */
  pw_target *tried[PWEX_TRIED_MAX];
  int ntried;
  int runs; /* targets that may have run the request */
  int hops; /* targets that proved that they did not run the request */
  int connect_failures; /* attempts whose connection could not be made */
  int may_have_run;
  int needs_new_conn; /* the request is sent again to the same target, over a new connection */

  /* answer */
  pw_answer_info answer_info;
  int status;
  int is_event_stream;      /* forwarded event by event */
  int ends_with_connection; /* the answer has neither a length nor chunks */
  pw_sse events;            /* where the answer of the current target is */
  int has_length;           /* the length of its body is known */
  int passes_through;       /* a plain answer that is forwarded as it comes */
  int has_begun;            /* the caller has been sent the head */
  int is_paused;            /* the caller reads too slowly */
  pw_buf headers;           /* for the caller */
  pw_buf buffered;          /* the answer, or the beginning of an event */
  char last_event[PWEX_EVENT_ID];
  size_t nlast_event;
  pw_tcp *
      confirming; /* a connection that shows whether the target still runs; NULL: none */
  int64_t confirming_since; /* ms */
  ev_timer confirm_hold;    /* runs while that connection is established */
  int confirm_attempts;
  int is_after_id; /* the last event forwarded has the id last_event */
};

/* --- pwextime.c --- */

/* Ms for which the current target has had the request at time `at`, not counting the time for which
** this process was stalled. */
int64_t pwexi_target_ms(const pw_exchange *x, int64_t at);

/* Ms until the caller's deadline or the route's time-out, whichever is first. */
int64_t pwexi_time_left(const pw_exchange *x);

/* Sets the timer of the exchange to expire after `ms`. */
void pwexi_set_timer(pw_exchange *x, int64_t ms);

/* Records the latency of a stage. */
void pwexi_observe(const pw_exchange *x, pw_stage stage, int64_t ms);

/* --- pwexlog.c --- */

/* Logs an event of this request. */
void pwexi_log(const pw_exchange *x, pw_trace_kind kind, const char *event,
               const char *fmt, ...) __attribute__((format(printf, 4, 5)));

/* --- pwexbody.c --- */

/* Bytes that may be buffered of the answer, or of one event of it. */
size_t pwexi_answer_room(const pw_exchange *x);

/* Ends an attempt in the middle of its answer, which cannot be used: the target has failed. */
void pwexi_end_bad_attempt(pw_exchange *x, const char *why);

/* Ends an attempt whose answer does not fit. */
void pwexi_end_too_large(pw_exchange *x);

/* Pauses the target while its caller has not read what was forwarded. */
void pwexi_pause_if_unread(pw_exchange *x);

/* --- pwexchange.c --- */

/* Releases the current target. */
void pwexi_release(pw_exchange *x);

/* Ends the exchange: pwexi_refuse answers with an error code, pwexi_abort resets the caller's connection, for
** an answer that cannot be completed any more. */
void pwexi_refuse(pw_exchange *x, pw_code code, const char *why,
                  int64_t retry_ms);
void pwexi_abort(pw_exchange *x, const char *why);

/* Ends a failed exchange: aborts an answer that has begun, reports an unknown outcome if the request may
** have run, and else refuses the request with `code`, which promises that it did not run. */
void pwexi_fail(pw_exchange *x, pw_code code, const char *why,
                int64_t retry_ms);

/* Ends an exchange whose timer should have fired a while ago, as after the instance was suspended. Returns
** whether the exchange was ended. */
int pwexi_end_late(pw_exchange *x, int64_t now);

/* --- pwexchange.c, events of the connection to the target --- */

void pwexi_on_sent(void *exchange);
int pwexi_is_stale(void *exchange, const pw_h1 *m, pw_answer_info *info);
void pwexi_on_head(void *exchange, const pw_h1 *m, const pw_answer_info *info);
void pwexi_on_body(void *exchange, const char *data, size_t n);
void pwexi_on_complete(void *exchange);

/* Handles an answer whose message is complete: forwards the rest of it, retries the request or ends it. */
void pwexi_end_answer(pw_exchange *x, int64_t now);

/* Handles an answer that was cut although its message looks complete: the request is retried, or fails. */
void pwexi_end_cut_answer(pw_exchange *x, int64_t now);

/* --- pwexadmit.c --- */

/* Finds the request's route, workspace and service and its limits in time; then starts it, waits for what it resumes,
** or refuses it. */
void pwexi_admit(pw_exchange *x);

/* Counts the request at its service and dispatches it. */
void pwexi_start(pw_exchange *x);

/* --- pwexconfirm.c --- */

/* Finds out whether the target of an answer that ended with its connection still runs. Returns 0 if that cannot be
** found out; else the answer was ended, or will be. */
int pwexi_confirm_end(pw_exchange *x, int64_t now);

/* Ends an answer whose target has neither accepted nor refused a connection for a while. Returns whether it was
** ended. */
int pwexi_end_confirmation(pw_exchange *x, int64_t now);

void pwexi_cancel_confirmation(pw_exchange *x);

/* --- pwexprefix.c --- */

/* Describes the prompt of the request, and by when its first chunk is to come; what depends on the other gateways is
** left to the caller. */
pw_fleet_prompt pwexi_prompt(const pw_exchange *x, int is_first_attempt,
                             int64_t now);

/* Id of the deepest part that the prompt shares with others; 0: none. */
uint64_t pwexi_prompt_key(const pw_request_info *info);

/* Queues the request if a target is computing the prefix that it shares with an earlier one. Returns whether
** it waits. */
int pwexi_await_prefix(pw_exchange *x, int64_t now);

/* Removes the request from the queue; nothing if it is not there. */
void pwexi_leave_prefix_queue(pw_exchange *x);

/* Ends the wait for a prefix and dispatches the request. */
void pwexi_end_prefix_wait(pw_exchange *x);

/* Counts what its target has to do before the first chunk, and announces the prefix that it computes. */
void pwexi_begin_prefill(pw_exchange *x, const pw_fleet_picked *picked,
                         int64_t now);

/* The request counts no more among what its target has to do before a first chunk. */
void pwexi_end_prefill(pw_exchange *x);

/* Records that the target has the prompt cached, after a successful answer or the first chunk of one, and dispatches
** the requests that wait for its prefix. */
void pwexi_note_cached(pw_exchange *x, int64_t now);

/* Learns from the first chunk of an answer, at `now`: the time per token of prefill, and what the target has cached. */
void pwexi_note_first_chunk(pw_exchange *x, int64_t now);

/* --- pwexresume.c --- */

/* Handles a request that resumes a stream: it continues at the version that began it, once that is known. Returns
** whether it is one; it was then dispatched or ended, or waits. */
int pwexi_resume_stream(pw_exchange *x);

/* Removes the request from those that wait for the version of their stream; nothing if it is not there. */
void pwexi_leave_origin_queue(pw_exchange *x);

/* Refuses a request whose stream has a version that no gateway has named in time. */
void pwexi_end_origin_wait(pw_exchange *x);

/* Records which version makes the first event of a stream, and announces it to other gateways. */
void pwexi_note_begun(pw_exchange *x, int64_t now);

/* Announces it again after a while, so that the record is kept while the stream runs. */
void pwexi_reannounce(pw_exchange *x, int64_t now);

/* --- pwexsend.c --- */

/* Refuses a request because no target of the version that began its stream serves the route. */
void pwexi_refuse_version_gone(pw_exchange *x);

/* Picks a target and sends the request there, or ends it. */
void pwexi_dispatch(pw_exchange *x);

/* Sends the request to x->t; -1: no connection can be made. */
int pwexi_send(pw_exchange *x);

/* Whether a header of a request or an answer concerns one connection only, so that it is not forwarded. */
int pwexi_is_hop_by_hop(const pw_exchange *x, const pw_h1 *m,
                        const pw_h1_header *h);

/* --- pwexrecord.c --- */

/* Counts a failure of the target, or an answer that came too late, against the version of the target. */
void pwexi_record_bad(const pw_exchange *x);

/* Counts a successful answer, complete at `now`, for the version of its target; a slow one against it. */
void pwexi_record_good(const pw_exchange *x, int64_t now);

/* --- pwexcrash.c --- */

/* The target crashed while it had the request. */
void pwexi_note_crashed(pw_exchange *x, int64_t now);

/* The target became unresponsive while it had the request, which may also be because the request takes
** long. */
void pwexi_note_unresponsive(pw_exchange *x, int64_t now);

/* The target answered with success, so it did not crash while running the request. An error answer
** proves nothing: that target may not have begun to run it. */
void pwexi_note_answered(pw_exchange *x, int64_t now);

/* Ends the exchange if its request, or a part of its prompt, is in quarantine. Returns whether it was ended. */
int pwexi_end_quarantined(pw_exchange *x, int64_t now);

/* --- pwexfail.c --- */

/* The connection to the target failed. */
void pwexi_on_failed(void *exchange, pw_tcp_end how, int unused);

/* Releases the target and dispatches the request again. */
void pwexi_retry(pw_exchange *x, const char *why, int may_have_run);

/* Whether a request that may have run may go to another target: its route allows it and the retry budget
** has a retry left, which is spent. */
int pwexi_may_repeat(pw_exchange *x, int64_t now);

/* Whether the request may probe a target that is suspected of leaving requests unanswered: its route
** allows another attempt if this one is not answered, and enough of its time is left once it is overdue. */
int pwexi_may_probe(const pw_exchange *x);

/* Records that an answer has begun: learns the usual time to the first byte, and withdraws the record of an
** unanswered request. */
void pwexi_note_first_byte(pw_exchange *x, int64_t now);

/* A failure after which the request may have run: retries it, or ends it. */
void pwexi_fail_unknown(pw_exchange *x, const char *why);

/* The target proved that it did not run the request: retries it, or ends it. */
void pwexi_handle_not_run(pw_exchange *x);

/* --- pwevents.c --- */

/* Takes bytes of a stream and forwards the events that are complete. */
void pwexi_forward_events(pw_exchange *x, const char *data, size_t n);

/* Whether a stream whose message has ended was broken off: inside an event, or before its first one where only the
** end of the connection told of its end, which a crash of the target brings about as well. */
int pwexi_is_broken_off(const pw_exchange *x);

/* Forwards bytes to the caller, after the head. */
void pwexi_forward(pw_exchange *x, const char *data, size_t n);

/* Sends the head of the answer to the caller. */
void pwexi_begin_answer(pw_exchange *x);

#endif
