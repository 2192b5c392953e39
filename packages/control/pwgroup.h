/* pwgroup.h: a control instance's membership of the control group: its part
** in the consensus, and the stored log. */
#ifndef PWGROUP_H
#define PWGROUP_H

#include "pwcons.h"
#include "pwproc.h"
#include "pwstate.h"

typedef struct pw_group pw_group;

typedef struct pw_group_callbacks {
  void *arg;

  /* A committed entry was applied; the callee frees `outcome` and `claimed`,
  ** each of which may be NULL. */
  void (*applied)(void *arg, const Pw__Entry *e, Pw__Outcome *outcome,
                  Pw__Claimed *claimed);

  /* Leadership of this instance began or ended. */
  void (*role_changed)(void *arg, int leader);
} pw_group_callbacks;

/* Opens the data folder and resumes membership of the group that is stored
** there, if any. Reasons for a failure go to err. */
pw_code pwgroup_open(pw_proc *p, pw_sock *dialler,
                     const pw_group_callbacks *callbacks, pw_group **out,
                     pw_buf *err);
void pwgroup_close(pw_group *g);

const pw_state *pwgroup_state(const pw_group *g);

/* Handles a Cons or Join message. */
void pwgroup_message(pw_group *g, const Pw__Envelope *e, int64_t now);

/* Proposes a command for the log. PW_E_NOT_LEADER, PW_E_DISK_FULL: it was
** not taken. The command is applied if the entry at *index has *term. */
pw_code pwgroup_propose(pw_group *g, const Pw__Command *cmd, uint64_t *index,
                        uint64_t *term);

/* Stores, sends and applies all that is pending. PW_E_IO and other failures
** of the disk mean that the process must end, since the state of the disk is
** not known any more. */
pw_code pwgroup_work(pw_group *g, int64_t now);

/* Runs the timers of the consensus, and asks to join a group while this
** instance is in none. */
void pwgroup_tick(pw_group *g, int64_t now);

/* Transfers leadership to another member before a planned stop; 0: there is
** none to transfer it to. */
int pwgroup_transfer_leadership(pw_group *g, int64_t now);

int pwgroup_is_leader(const pw_group *g);

/* Whether this instance leads and its lease is valid at `now`; checked right
** before every effect. */
int pwgroup_lease(const pw_group *g, int64_t now);

/* Addresses of the leader, "" while it is unknown. An instance outside of
** the group learns the HTTP address from members. */
const char *pwgroup_leader_wire(const pw_group *g);
const char *pwgroup_leader_http(const pw_group *g);

/* Index of the last entry applied here; for a leader with a valid lease all
** that is committed is applied. */
uint64_t pwgroup_applied(const pw_group *g);

/* States to a member that what is applied here is committed, on the connection
** on which it asked. */
void pwgroup_state_committed(const pw_group *g, pw_sock *sock,
                             const pw_peer *to);

/* Sends a message to the leader; -1: none is known. */
int pwgroup_send_to_leader(pw_group *g, Pw__Envelope *e);

/* Whether there is contact with a leader, or this instance is the leader. */
int pwgroup_has_contact(const pw_group *g, int64_t now);

/* Time since the last message of a leader, ms; 0: this instance leads, or is
** outside of the group. */
int64_t pwgroup_leader_silence(const pw_group *g);

/* Whether this instance belongs to the group, as far as it knows. */
int pwgroup_is_member(const pw_group *g);

/* Whether this instance may still found a group together with the others in
** its settings. */
int pwgroup_may_found(const pw_group *g);

/* Gives the wire addresses of the members and returns their number, at most
** PWCONS_MEMBERS. */
int pwgroup_members(const pw_group *g, char (*addr)[PW_NAME_MAX]);

uint64_t pwgroup_term(const pw_group *g);

/* Id of the group, a hash over the disk ids of its founders; 0: this
** instance is in none. */
uint64_t pwgroup_number(const pw_group *g);

/* The members and their state as JSON; new reference. */
json_t *pwgroup_json(const pw_group *g);

#endif
