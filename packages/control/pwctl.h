/* pwctl.h: state of a control instance, shared by pwcontrol.c, pwctlcall.c
** and pwrolloutapi.c. */
#ifndef PWCTL_H
#define PWCTL_H

#include "pwapi.h"
#include "pwbusy.h"
#include "pwcanaries.h"
#include "pwfeed.h"
#include "pwgroup.h"
#include "pwlag.h"
#include "pwleave.h"
#include "pwplanner.h"
#include "pwpublish.h"
#include "pwreads.h"
#include "pwservedrecord.h"
#include "pwstreams.h"
#include "pwtreereport.h"
#include "pwwatch.h"

#include <uthash.h>

/* A request that waits until the log entry at an index is applied. */
typedef struct pw_ctl_waiter {
  uint64_t index;
  uint64_t term;
  int64_t since;
  pw_api_call *call; /* NULL: a claim or record, see below */
  pw_peer peer;      /* the entry process that sent the claim or record */
  char id[PW_NAME_MAX];
  int is_record;
  UT_hash_handle hh;
} pw_ctl_waiter;

/* A long poll: an API call answered at the next change of the resources. */
typedef struct pw_ctl_long_poll {
  pw_api_call *call;
  int64_t since;
  struct pw_ctl_long_poll *next;
} pw_ctl_long_poll;

typedef struct pw_control {
  pw_proc *p;
  pw_sock *listener;
  pw_sock *dialler;
  pw_mail *mail;
  pw_server *http, *metrics;
  pw_group *group;
  pw_feed *feed;
  pw_treereport *treereport;
  pw_planner *planner;
  pw_canaries *canaries;
  pw_served_record *served;
  pw_streams *streams;
  pw_watch *watch;
  pw_leave *leave;
  pw_publish *publish;
  pw_reads *reads;
  pw_busy busy;
  /* log index of the planned change that was proposed; 0: none is in flight */
  uint64_t plan_index;
  /* the planned change is of a service rollout, not of a model */
  int plan_is_rollout;
  int64_t plan_at; /* when that change was proposed, ms */
  pw_ctl_waiter *waiters;
  pw_ctl_long_poll *long_polls;
  char *operators;
  uint64_t pushed_revision; /* revision that was last sent to the children */
  /* revision of the resources when leadership began */
  uint64_t leader_since_revision;
  int64_t leader_since;
  int64_t stop_at; /* when the process began to stop, ms; 0: it did not */
  /* when the latest iteration of the loop began, ms */
  _Atomic int64_t iteration_at;
  pw_lag lag;               /* stalls of the event loop */
  _Atomic int is_connected; /* heartbeats received here reach the group */
  /* when an unusable heartbeat was logged last, ms */
  _Atomic int64_t unusable_logged_at;
} pw_control;

/* The resources as of the last log entry applied here. */
const pw_res *pwctl_resources(const pw_control *c);

/* --- pwctlcall.c --- */

/* Handles an API call of an operator or of the platform. */
void pwctl_call(pw_control *c, pw_api_call *call, int64_t now);

/* Handles a claim of a request, or the record of its result, from an entry
** process. */
void pwctl_ledger(pw_control *c, const pw_peer *from, const Pw__Envelope *e,
                  int64_t now);

/* A log entry was applied: answers the request that waits for it, if any. */
void pwctl_applied(pw_control *c, const Pw__Entry *e, const Pw__Outcome *o,
                   Pw__Claimed *cl);

/* Answers the long polls for which something changed, or that waited long
** enough. */
void pwctl_answer_long_polls(pw_control *c, int64_t now);

/* Fails the requests whose proposals were not decided in time. */
void pwctl_expire(pw_control *c, int64_t now);

/* Fails all requests and calls that wait. */
void pwctl_fail_all(pw_control *c);

#endif
