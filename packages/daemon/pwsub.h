/* pwsub.h: the child's side of the distribution tree.
**
** Holds the resources in force in this process, which only ever move forwards,
** and knows how long ago it surely was in touch with a control leader. */
#ifndef PWSUB_H
#define PWSUB_H

#include "pwproc.h"
#include "pwres.h"

typedef struct pw_sub pw_sub;

/* Takes configuration from one of `parents` (wire addresses), dialling them
** through `sock`. With `follow_leader` it moves to the leader a parent names.
*/
pw_sub *pwsub_new(pw_proc *p, pw_sock *sock, const pw_list *parents,
                  int follow_leader, int64_t stale_ms, const char *cut_off);
void pwsub_free(pw_sub *s);

const pw_res *pwsub_resources(const pw_sub *s);

/* Sends a Hello when one is due, filled by the caller but for what the sub
** itself knows; moves to another parent when this one is silent. */
int pwsub_due(const pw_sub *s, int64_t now);
void pwsub_hello(pw_sub *s, Pw__Hello *hello, int64_t now);

/* A message from a parent: 1 when the resources changed, else 0. */
int pwsub_welcome(pw_sub *s, const pw_peer *from, const Pw__Envelope *e,
                  int64_t now);

/* Says Hello at the next chance. */
void pwsub_hurry(pw_sub *s);

/* Whether this process may take work: it has caught up once, and is in touch
** with a leader or may serve when cut off. */
int pwsub_may_serve(pw_sub *s, int64_t now);

/* ms since it surely was in touch with a leader; -1: never. */
int64_t pwsub_touch_age(const pw_sub *s, int64_t now);

/* Sends a message to the control leader, which is the parent or is dialled;
** -1 when none is known. */
int pwsub_to_leader(pw_sub *s, Pw__Envelope *e);
const char *pwsub_leader_wire(const pw_sub *s);

/* The time of the Hello that the last Welcome answered: its contents are not
** older than that. */
int64_t pwsub_asked_at(const pw_sub *s);

/* The time of the newest Hello that the parent answered, as long as parent and
** leader are the same ones: what changed before it needs no telling again. */
int64_t pwsub_told_at(const pw_sub *s);

uint64_t pwsub_term(const pw_sub *s);
uint64_t pwsub_group(const pw_sub *s);
uint32_t pwsub_entries(const pw_sub *s);
const char *pwsub_leader_http(const pw_sub *s);

#endif
