/* pwag.h: an agent's state, internal declarations. Only pwagent.c, pwagrun.c and
** pwagwork.c include it. */
#ifndef PWAG_H
#define PWAG_H

#include "pwadmit.h"
#include "pwbuf.h"
#include "pwcache.h"
#include "pwchat.h"
#include "pwdesired.h"
#include "pwdetached.h"
#include "pwjob.h"
#include "pwkvfeed.h"
#include "pwmove.h"
#include "pwreject.h"
#include "pwsub.h"
#include "pwview.h"

#include <uthash.h>

/* An attempt id received before. The table is in order of arrival. */
typedef struct pw_seen {
  char attempt[PW_NAME_MAX];
  UT_hash_handle hh;
} pw_seen;

/* An attempt that is queued or running here. */
typedef struct pw_ag_job {
  char attempt[PW_NAME_MAX];
  pw_job *job;
  int cancelled; /* the worker reads no further, the entry gets no more chunks */
  int64_t received_at; /* last message from its entry, ms */
  UT_hash_handle hh;
} pw_ag_job;

typedef struct pw_agent {
  pw_proc *p;
  pw_sock *listener;
  pw_sock *dialler;
  pw_mail *mail;
  pw_server *http;
  pw_sub *sub;
  pw_workers *workers;
  pw_admit admit;
  pw_reject rejects;  /* recent rejections although the target had room */
  pw_cache cache;     /* estimate of what the target has cached */
  pw_kvfeed *kvfeed;  /* cache events of the target */
  pw_move move;       /* estimated costs of computing and moving prefixes */
  pw_chats *pointers; /* targets that now hold chats which belong here */
  pw_ag_job *jobs;
  pw_detached *detached;
  pw_seen *seen;
  pw_desired desired;       /* desired state of the target */
  int64_t state_changed_at; /* when the target's state was last found changed */
  pw_policy policy;
  int64_t applied_at; /* last pwdesired_apply */
  int64_t stop_at;    /* when stopping began; 0: not stopping */
} pw_agent;

/* Why an attempt is refused, and hints for the entry's next choice. */
typedef struct pw_ag_refusal {
  pw_code code;
  uint32_t wait, worth; /* ms, as in pw_admit_answer */
  uint32_t kv_tokens;   /* cached tokens that another engine may copy */
  const char *pointer;  /* target that has the prefix cached, or NULL */
} pw_ag_refusal;

/* Whether the agent takes no new work, since its target drains or the process
** stops. */
int pwag_is_leaving(const pw_agent *a);

/* Fills in the target's current load. */
void pwag_fill_load(pw_agent *a, Pw__Load *l, int64_t now);

/* Sends an entry the Refuse of an attempt, which was not and will not be started. */
void pwag_refuse(pw_agent *a, const pw_peer *to, const Pw__Run *run,
                 const pw_ag_refusal *why, int64_t now);

/* The queued or running attempt of that id, or NULL. */
pw_ag_job *pwag_job(pw_agent *a, const char *attempt);

/* Removes and frees an attempt that has ended. */
void pwag_release(pw_agent *a, pw_ag_job *h);

/* Starts the queued attempts that admission control lets start. */
void pwag_start_queued(pw_agent *a, int64_t now);

/* Refuses and frees a queued job, which proves that it was not started. */
void pwag_refuse_queued(pw_agent *a, pw_job *j, pw_code code, int64_t now);

/* Cancels an attempt whose entry does not want it any more or is lost. */
void pwag_cancel(pw_agent *a, pw_ag_job *h, int64_t now);

/* Handles the messages of entries. */
void pwag_on_listener(pw_agent *a, int64_t now);

/* Handles the notes of workers. */
void pwag_on_mail(pw_agent *a, int64_t now);

/* Cancels streams that were not resumed in time after their entry was lost. */
void pwag_expire_detached(pw_agent *a, int64_t now);

#endif
