/* pwfl.h: requests in flight, for pwflight.c, pwattempt.c, pwanswer.c and
** pwclaim.c alone. */
#ifndef PWFL_H
#define PWFL_H

#include "pwbuf.h"
#include "pwflight.h"
#include "pwquarantine.h"
#include "pwquota.h"

#include <uthash.h>

/* An answer is out this long before the deadline, not at it; with less time
** than this left nothing is sent any more. */
#define PWFL_MARGIN_MS 20
#define PWFL_URL 96

typedef enum pw_flight_state {
  F_CLAIMING, /* waits for the once-ledger */
  F_OPENING,  /* waits for a cold link; nothing was sent */
  F_PAUSING,  /* before a stream is resumed */
  F_REASKING, /* targets that serve its pool were not told of it yet */
  F_SENT,     /* a Run is out, no Head yet */
  F_ANSWERING,
  F_RECORDING /* answered; the ledger has yet to take the answer */
} pw_flight_state;

typedef struct pw_flight {
  char attempt[PW_NAME_MAX]; /* key of the table */
  pw_call *call;
  const char *pool; /* of the call: the pool, or the other one */
  pw_flight_state state;
  pw_route_walk walk;
  uint64_t target;      /* id */
  uint64_t incarnation; /* of the agent the Run went to */
  int need_prefix;
  int may_queue;
  int attempts, hops, resumes, reasks;
  int failed;   /* an attempt broke since the targets tried were cleared */
  int unproven; /* attempts sent that no Refuse has proved not started */
  int got_head; /* the caller's answer has begun */
  int64_t deadline;
  int64_t since;     /* the state began */
  int64_t sent_at;   /* the last message to the ledger */
  int64_t checked;   /* the caller's connection */
  uint64_t received; /* answer bytes */
  uint64_t credited;
  pw_code last_code; /* of the last refusal */
  uint32_t retry_after;
  uint32_t told_wait, told_worth; /* ms, of the last refusal */
  uint32_t kv_tokens; /* prefix that a full target has, for another engine */
  char kv_url[PWFL_URL];
  char origin[PW_NAME_MAX]; /* attempt whose stream is resumed */
  int not_run;              /* F_RECORDING: give the claim back */
  int status;
  pw_buf kept; /* answer to be recorded */
  int kept_over;
  UT_hash_handle hh;
} pw_flight;

struct pw_flights {
  pw_proc *p;
  pw_sock *sock;
  pw_targets *targets;
  pw_sub *sub;
  pw_news *news;
  pw_flight *all;
  pw_retry_budget budget;
  double share;
  pw_quotas *quotas;
  pw_quarantine *quarantine; /* requests under which targets ended */
};

/* Forgets a flight; its caller has its answer. */
void pwfl_drop(pw_flights *fs, pw_flight *f);

/* Gives a flight a new attempt id. */
void pwfl_rename_attempt(pw_flights *fs, pw_flight *f);

/* The target it is with, or NULL. */
pw_target *pwfl_target_of(pw_flights *fs, const pw_flight *f);

/* That target's name, or "". */
const char *pwfl_target_name(pw_flights *fs, const pw_flight *f);

/* Sends to an agent, if its link is there. */
void pwfl_send_to(pw_flights *fs, const pw_target *t, Pw__Envelope *e);

/* Tells the agent that the attempt is not wanted. */
void pwfl_send_cancel(pw_flights *fs, const pw_flight *f);

/* The attempt is over for its target. */
void pwfl_release(pw_flights *fs, pw_flight *f);

/* Ends a flight: with the ledger if it holds a claim. */
void pwfl_settle(pw_flights *fs, pw_flight *f, int whole, int not_run,
                 int64_t now);

/* Tells the caller the code; not-run only with a proof. */
void pwfl_fail(pw_flights *fs, pw_flight *f, pw_code code, int64_t now);

/* The answer is whole. */
void pwfl_finish(pw_flights *fs, pw_flight *f, int64_t now);

/* The next target: of the call's own version, of the other one while two share the chats, and where
** an attempt has failed when no other is left. NULL: nobody is left. */
pw_target *pwfl_pick(pw_flights *fs, pw_flight *f, const pw_policy *policy,
                     int64_t now);

/* Goes on with the other version, while two share the chats: nobody serves this one any more, or it may
** be bad. 0 when there is none, or it was taken. */
int pwfl_leave_version(pw_flight *f);

/* Picks the next target and goes there, or fails. */
void pwfl_place(pw_flights *fs, pw_flight *f, const pw_policy *policy,
                int64_t now);

/* Asks targets anew that were not told of its pool when they were asked. */
void pwfl_reask(pw_flights *fs, pw_flight *f, const pw_policy *policy,
                int64_t now);

/* How long it waits before that, ms. */
int64_t pwfl_reask_ms(const pw_flight *f);

/* The attempt is known not to have started: to the next target. */
void pwfl_hop(pw_flights *fs, pw_flight *f, pw_code code,
              const pw_policy *policy, int64_t now);

/* Sends the Run; the link is up. */
void pwfl_send_run(pw_flights *fs, pw_flight *f, pw_target *t, int64_t now);

/* The attempt broke: resumes, retries, or fails. */
void pwfl_broken(pw_flights *fs, pw_flight *f, pw_code code,
                 const pw_policy *policy, int64_t now);

/* It was answered with success: its request ends no targets. */
void pwfl_note_answered(pw_flights *fs, const pw_flight *f, int64_t now);

/* Its target ended while it had the request, or its agent did. */
void pwfl_note_ended(pw_flights *fs, const pw_flight *f, int64_t now);

/* Ends it when it is in quarantine; gives whether it did. */
int pwfl_end_quarantined(pw_flights *fs, pw_flight *f, int64_t now);

/* Resumes after its pause. */
void pwfl_end_pause(pw_flights *fs, pw_flight *f, int64_t now);

/* Tells the agent how far the caller has read. */
void pwfl_send_credit(pw_flights *fs, pw_flight *f, uint64_t offset);

/* Every attempt on a target broke at once. */
void pwfl_break_all(pw_flights *fs, const pw_target *t, pw_code code,
                    const pw_policy *policy, int64_t now);

/* Claims the key in the ledger. */
void pwfl_send_claim(pw_flights *fs, pw_flight *f, int64_t now);

/* Records the answer in the ledger, or gives the claim back. */
void pwfl_send_record(pw_flights *fs, pw_flight *f, int64_t now);

#endif
