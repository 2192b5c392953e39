/* pwfl.h: an entry's requests in flight, internal declarations. Only the files
** that define pwflight_* and pwfl_* functions include it. */
#ifndef PWFL_H
#define PWFL_H

#include "pwbuf.h"
#include "pwflight.h"
#include "pwquarantine.h"
#include "pwquota.h"

#include <uthash.h>

/* A request fails this many ms before its deadline, so that the error reaches
** the caller in time. With less time left no attempt is sent. */
#define PWFL_MARGIN_MS 20
#define PWFL_URL 96 /* size of an engine's URL */

typedef enum pw_flight_state {
  F_CLAIMING,  /* the once-ledger has not yet granted the key's claim */
  F_OPENING,   /* waits for the link to the target's agent; no Run was sent */
  F_PAUSING,   /* waits before the stream is resumed */
  F_REASKING,  /* waits before agents that did not know the pool are retried */
  F_SENT,      /* the Run was sent, no Head has arrived */
  F_ANSWERING, /* the Head has arrived, the answer is being received */
  F_RECORDING  /* the once-ledger has not yet confirmed the record */
} pw_flight_state;

/* One request in flight. Times are ms of the monotonic clock. */
typedef struct pw_flight {
  char attempt[PW_NAME_MAX]; /* id of the current attempt, key of the table */
  pw_call *call;
  const char *pool; /* the call's pool or other_pool, whichever is in use */
  pw_flight_state state;
  pw_route_walk walk;   /* targets tried so far */
  uint64_t target;      /* id of the attempt's target, 0: none */
  uint64_t incarnation; /* incarnation of the agent that the Run was sent to */
  int need_prefix;      /* the agent refuses if it lacks the cached prefix */
  int may_queue;        /* the agent may queue the attempt */
  int attempts, hops, resumes, reasks;
  int failed; /* an attempt failed since the list of targets tried was cleared */
  int maybe_started; /* attempts sent that no Refuse has proved not started */
  int got_head;      /* the caller's answer has begun */
  int64_t deadline;
  int64_t since;             /* when the state was entered */
  int64_t sent_at;           /* last message to the once-ledger */
  int64_t caller_checked_at; /* last check of the caller's connection */
  uint64_t received;         /* answer bytes received */
  uint64_t credited;         /* answer bytes credited to the agent */
  pw_code last_code;         /* code of the last refusal */
  uint32_t retry_after;      /* shortest wait in a refusal, ms; 0: none */
  uint32_t refused_wait, refused_worth; /* of the last refusal, ms */
  uint32_t kv_tokens;       /* cached tokens that another engine may copy */
  char kv_url[PWFL_URL];    /* URL of the busy target that has it cached */
  char origin[PW_NAME_MAX]; /* first attempt of a resumed stream, or "" */
  int not_run; /* F_RECORDING: the claim is released, as nothing was run */
  int status;
  pw_buf record;       /* answer for the once-ledger */
  int record_overflow; /* the answer exceeds PW_ONCE_RECORD_MAX and is not recorded */
  UT_hash_handle hh;
} pw_flight;

struct pw_flights {
  pw_proc *p;
  pw_sock *sock;
  pw_targets *targets;
  pw_sub *sub;
  pw_treereport *treereport;
  pw_flight *all;
  pw_retry_budget budget;
  pw_quotas *quotas;
  pw_quarantine *quarantine; /* requests that crash their targets */
  pw_parts *parts;           /* parts of prompts that do */
};

/* Removes and frees a request whose caller needs nothing more from it. */
void pwfl_drop(pw_flights *fs, pw_flight *f);

/* Gives the request a new random attempt id and files it in the table under this
** id. */
void pwfl_new_attempt_id(pw_flights *fs, pw_flight *f);

/* The target of the current attempt, or NULL. */
pw_target *pwfl_target_of(pw_flights *fs, const pw_flight *f);

/* Name of the current attempt's target, or "". */
const char *pwfl_target_name(pw_flights *fs, const pw_flight *f);

/* Sends a message to a target's agent unless there is no link to it. */
void pwfl_send_to(pw_flights *fs, const pw_target *t, Pw__Envelope *e);

/* Sends the agent a Cancel of the current attempt. */
void pwfl_send_cancel(pw_flights *fs, const pw_flight *f);

/* Removes the current attempt from its target's count of attempts in flight. */
void pwfl_release(pw_flights *fs, pw_flight *f);

/* Ends a request. One with a claim is kept until the once-ledger has recorded
** the answer (complete) or released the claim (not_run). */
void pwfl_settle(pw_flights *fs, pw_flight *f, int complete, int not_run,
                 int64_t now);

/* Fails the request with a code. The outcome is not-run only when it is proved
** that no attempt was started. */
void pwfl_fail(pw_flights *fs, pw_flight *f, pw_code code, int64_t now);

/* Ends a request whose answer is complete. */
void pwfl_finish(pw_flights *fs, pw_flight *f, int64_t now);

/* Picks the next target: one of the call's own version, else one of the other version during a rollout,
** else one where an attempt has failed before. NULL: no target is left. */
pw_target *pwfl_pick(pw_flights *fs, pw_flight *f, const pw_policy *policy,
                     int64_t now);

/* Switches to the model's other version during a rollout, since the current version has no target left
** or may be faulty. 0 when there is no other version, it is in use already, or the last refusal was for
** load. */
int pwfl_switch_version(pw_flight *f);

/* Picks the next target and sends the attempt there, or fails the request. */
void pwfl_place(pw_flights *fs, pw_flight *f, const pw_policy *policy,
                int64_t now);

/* Retries targets whose agents did not know the pool yet. */
void pwfl_reask(pw_flights *fs, pw_flight *f, const pw_policy *policy,
                int64_t now);

/* Pause before the next pwfl_reask, ms. */
int64_t pwfl_reask_ms(const pw_flight *f);

/* Continues at the next target after an attempt that provably was not started. */
void pwfl_hop(pw_flights *fs, pw_flight *f, pw_code code,
              const pw_policy *policy, int64_t now);

/* Sends the Run over a link that is up. */
void pwfl_send_run(pw_flights *fs, pw_flight *f, pw_target *t, int64_t now);

/* Handles an attempt that broke off: resumes it, retries it, or fails the
** request. */
void pwfl_broken(pw_flights *fs, pw_flight *f, pw_code code,
                 const pw_policy *policy, int64_t now);

/* Notes that a target answered the request with success, so it does not crash
** targets. */
void pwfl_note_answered(pw_flights *fs, const pw_flight *f, int64_t now);

/* Notes that the target or its agent crashed while it ran the request. */
void pwfl_note_crash(pw_flights *fs, const pw_flight *f, int64_t now);

/* Updates the gauge of refused parts of prompts, and logs which have begun or ceased to be refused. */
void pwfl_log_parts(pw_flights *fs, int64_t now);

/* Fails the request if it, or a part of its prompt, is in quarantine. Returns whether it was. */
int pwfl_refuse_quarantined(pw_flights *fs, pw_flight *f, int64_t now);

/* Sends the resuming attempt after the pause of F_PAUSING. */
void pwfl_end_pause(pw_flights *fs, pw_flight *f, int64_t now);

/* Sends the agent the offset up to which the caller has read. */
void pwfl_send_credit(pw_flights *fs, pw_flight *f, uint64_t offset);

/* Breaks off every attempt at a target whose link was lost or whose agent was
** restarted. */
void pwfl_break_all(pw_flights *fs, const pw_target *t, pw_code code,
                    const pw_policy *policy, int64_t now);

/* Claims the idempotency key in the once-ledger. */
void pwfl_send_claim(pw_flights *fs, pw_flight *f, int64_t now);

/* Records the answer in the once-ledger, or releases the claim. */
void pwfl_send_record(pw_flights *fs, pw_flight *f, int64_t now);

#endif
