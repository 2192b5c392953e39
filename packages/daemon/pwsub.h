/* pwsub.h: the child's side of the distribution tree.
**
** It has the resources in force in this process, whose revision never goes
** back, and the time of the last certain contact with a control leader. */
#ifndef PWSUB_H
#define PWSUB_H

#include "pwproc.h"
#include "pwres.h"

typedef struct pw_sub pw_sub;

/* Receives the configuration from one of `parents` (wire addresses),
** connected through `sock`. With `follow_leader` it changes to the leader
** that a parent names. `stale_ms` after the last contact with a leader it
** counts as cut off, and then serves only if `cut_off` is "serve". */
pw_sub *pwsub_new(pw_proc *p, pw_sock *sock, const pw_list *parents,
                  int follow_leader, int64_t stale_ms, const char *cut_off);
void pwsub_free(pw_sub *s);

const pw_res *pwsub_resources(const pw_sub *s);

/* Whether the next Hello is due. */
int pwsub_hello_due(const pw_sub *s, int64_t now);

/* Sets the revision and clock of a Hello that the caller filled, and sends it.
** Changes to the next parent first when the current one is silent. */
void pwsub_hello(pw_sub *s, Pw__Hello *hello, int64_t now);

/* Handles a Welcome. Returns 1 when the resources changed, else 0. */
int pwsub_welcome(pw_sub *s, const pw_peer *from, const Pw__Envelope *e,
                  int64_t now);

/* Makes the next Hello due at once. */
void pwsub_hello_now(pw_sub *s);

/* Whether this process may accept requests: it has had the complete
** configuration once, and has contact with a leader or may serve without. */
int pwsub_may_serve(pw_sub *s, int64_t now);

/* Time in ms since the last certain contact with a leader; -1: there was
** none. */
int64_t pwsub_contact_age(const pw_sub *s, int64_t now);

/* Sends a message to the control leader, over a connection of its own when the
** leader is not the parent. -1 when no leader is known or the message was not
** sent. */
int pwsub_send_to_leader(pw_sub *s, Pw__Envelope *e);

/* Wire address of the leader; "" when it is not known. */
const char *pwsub_leader_wire(const pw_sub *s);

/* Time of the newest Hello that was answered. The contents of that Welcome are
** not older. */
int64_t pwsub_as_of(const pw_sub *s);

/* Time of the newest Hello that the current parent answered under the current
** leader. Changes before that time need not be sent again. */
int64_t pwsub_confirmed_at(const pw_sub *s);

/* Term of the leader, id of the control group, number of entries and HTTP
** address of the leader, by the last Welcome. */
uint64_t pwsub_term(const pw_sub *s);
uint64_t pwsub_group(const pw_sub *s);
uint32_t pwsub_entries(const pw_sub *s);
const char *pwsub_leader_http(const pw_sub *s);

#endif
