/* pwctl.h: state of a control instance, for pwcontrol.c and pwctlcall.c alone. */
#ifndef PWCTL_H
#define PWCTL_H

#include "pwapi.h"
#include "pwbusy.h"
#include "pwcanaries.h"
#include "pwfeed.h"
#include "pwgroup.h"
#include "pwlag.h"
#include "pwleave.h"
#include "pwnews.h"
#include "pwplanner.h"
#include "pwpublish.h"
#include "pwreads.h"
#include "pwwatch.h"

#include <uthash.h>

/* Who waits for the entry at an index. */
typedef struct pw_ctl_waiter {
  uint64_t index;
  uint64_t term;
  int64_t since;
  pw_api_call *call; /* or NULL: */
  pw_peer peer;      /* an entry that claims or records */
  char id[PW_NAME_MAX];
  int is_record;
  UT_hash_handle hh;
} pw_ctl_waiter;

/* Who is to be told of changes. */
typedef struct pw_ctl_watcher {
  pw_api_call *call;
  int64_t since;
  struct pw_ctl_watcher *next;
} pw_ctl_watcher;

typedef struct pw_control {
  pw_proc *p;
  pw_sock *listener;
  pw_sock *dialler;
  pw_mail *mail;
  pw_server *http, *metrics;
  pw_group *group;
  pw_feed *feed;
  pw_news *news;
  pw_planner *planner;
  pw_canaries *canaries;
  pw_watch *watch;
  pw_leave *leave;
  pw_publish *publish;
  pw_reads *reads;
  pw_busy busy;
  uint64_t
      planned; /* index of the change that the leader plans; 0: none is under way */
  int plans_rollout; /* it is of a service */
  int64_t planned_at;
  pw_ctl_waiter *waiters;
  pw_ctl_watcher *watchers;
  char *operators;
  uint64_t pushed;       /* revision the children were sent */
  uint64_t led_revision; /* when leadership began */
  int64_t led_at;
  int64_t stop_at;
  _Atomic int64_t turned_at;     /* when the loop came round last, ms */
  pw_lag lag;                    /* of the loop */
  _Atomic int is_heard;          /* what targets say here is told on */
  _Atomic int64_t aside_told_at; /* a line of a heartbeat set aside, ms */
} pw_control;

/* What the group holds. */
const pw_res *pwctl_resources(const pw_control *c);

/* --- pwctlcall.c --- */

/* A call of an operator, or of the platform. */
void pwctl_call(pw_control *c, pw_api_call *call, int64_t now);

/* An entry claims a request, or records its result. */
void pwctl_ledger(pw_control *c, const pw_peer *from, const Pw__Envelope *e,
                  int64_t now);

/* An entry of the log was applied: whoever waits for it is answered. */
void pwctl_applied(pw_control *c, const Pw__Entry *e, const Pw__Outcome *o,
                   Pw__Claimed *cl);

/* Answers those who watch for changes, if there are any or they waited long. */
void pwctl_answer_watchers(pw_control *c, int64_t now);

/* Gives up proposals that were not decided in time. */
void pwctl_expire(pw_control *c, int64_t now);

/* Every call that waits gets its answer. */
void pwctl_fail_all(pw_control *c);

#endif
