/* pwgroup.h: a control instance's part in its group: consensus and disk. */
#ifndef PWGROUP_H
#define PWGROUP_H

#include "pwcons.h"
#include "pwproc.h"
#include "pwstate.h"

typedef struct pw_group pw_group;

typedef struct pw_group_calls {
  void *arg;

  /* A committed entry was applied; what it gave is the callee's to free. */
  void (*applied)(void *arg, const Pw__Entry *e, Pw__Outcome *outcome,
                  Pw__Claimed *claimed);

  /* Leadership began or ended. */
  void (*led)(void *arg, int leader);
} pw_group_calls;

/* Opens the data folder; reasons go to err. */
pw_code pwgroup_open(pw_proc *p, pw_sock *dialler, const pw_group_calls *calls,
                     pw_group **out, pw_buf *err);
void pwgroup_close(pw_group *g);

const pw_state *pwgroup_state(const pw_group *g);

/* A Cons or Join message arrived. */
void pwgroup_message(pw_group *g, const Pw__Envelope *e, int64_t now);

/* Puts a command to the log; PW_E_NOT_LEADER, PW_E_DISK_FULL. It is applied at
** *index if the entry there has *term. */
pw_code pwgroup_propose(pw_group *g, const Pw__Command *cmd, uint64_t *index,
                        uint64_t *term);

/* Stores, sends and applies all there is to do. PW_E_IO and the like mean the
** process must end: what is on disk is not known any more. */
pw_code pwgroup_work(pw_group *g, int64_t now);

/* Lets time pass. */
void pwgroup_tick(pw_group *g, int64_t now);

/* Hands leadership over before a planned stop; 0 when there is none to. */
int pwgroup_hand_over(pw_group *g, int64_t now);

int pwgroup_is_leader(const pw_group *g);

/* Whether it leads under a lease at `now`; checked right before an effect. */
int pwgroup_lease(const pw_group *g, int64_t now);

/* Where the leader is, or "" when unknown; who is no member knows where it serves from
** those that are. */
const char *pwgroup_leader_wire(const pw_group *g);
const char *pwgroup_leader_http(const pw_group *g);

/* Up to where the log is applied here; at a leader under a lease that is all that is
** committed. */
uint64_t pwgroup_applied(const pw_group *g);

/* Sends a message to the leader; -1: none is known. */
int pwgroup_ask_leader(pw_group *g, Pw__Envelope *e);

/* Whether a leader was heard just now, or it is the one. */
int pwgroup_in_touch(const pw_group *g, int64_t now);

/* Whether this instance belongs to the group, as far as it knows. */
int pwgroup_is_member(const pw_group *g);

/* Whether it may still found one together with the others that its settings list. */
int pwgroup_may_found(const pw_group *g);

/* Wire addresses of the members; gives how many, at most PWCONS_MEMBERS. */
int pwgroup_members(const pw_group *g, char (*addr)[PW_NAME_MAX]);

uint64_t pwgroup_term(const pw_group *g);

/* Number of the group, drawn from the disks that founded it; 0: in none. */
uint64_t pwgroup_number(const pw_group *g);

/* Members and their state as JSON; new reference. */
json_t *pwgroup_json(const pw_group *g);

#endif
