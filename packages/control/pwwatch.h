/* pwwatch.h: the watchers of a control instance, which are gateways and
** other control instances. They send Watch messages, and receive Notices
** about targets, about newer versions of the configuration, and about each
** other. */
#ifndef PWWATCH_H
#define PWWATCH_H

#include "pwdoc.h"
#include "pwfleet.h"
#include "pwproc.h"
#include "pwstate.h"
#include "pwzones.h"

#include <jansson.h>

typedef struct pw_watch pw_watch;

/* Watchers connect to `listener`; other control instances are watched
** through `dialler`. `state` is the replicated state that is applied here. */
pw_watch *pwwatch_new(pw_proc *p, pw_sock *listener, pw_sock *dialler,
                      const pw_state *state);
void pwwatch_free(pw_watch *w);

/* Handles a Watch message of a watcher, or a Notice of another control
** instance. */
void pwwatch_message(pw_watch *w, const pw_peer *from, const Pw__Envelope *e,
                     int64_t now);

/* Takes a heartbeat that was received here. If the target leaves or has
** gone, the heartbeat may be acknowledged once pwwatch_replicated_seq reaches
** the number that is returned; 0: at once. */
uint64_t pwwatch_beat(pw_watch *w, const pw_heartbeat *b, int gone,
                      int64_t now);

/* The number of the last update that, with all before it, another control
** instance has confirmed. */
uint64_t pwwatch_replicated_seq(const pw_watch *w);

/* Whether heartbeats that are received here reach the group: this instance
** is a member, or members receive its updates. */
int pwwatch_is_connected(const pw_watch *w, int64_t now);

/* Whether a target of that availability zone is known; and the names of all
** availability zones with targets, new reference. */
int pwwatch_has_zone(const pw_watch *w, const char *name);
json_t *pwwatch_zones_json(const pw_watch *w);

/* Whether a target of that service is known; and the slots of its targets
** that may receive requests, of that version and of all others. */
int pwwatch_has_service(const pw_watch *w, const char *name);
void pwwatch_slots(const pw_watch *w, const char *service, const char *version,
                   double *of_version, double *of_others);

/* Visits every known target, those that have gone lately included. */
void pwwatch_each_target(const pw_watch *w,
                         void (*visit)(void *arg, const pw_target *t),
                         void *arg);

/* The availability zones that are evacuated. */
const pw_zones *pwwatch_evacuated(const pw_watch *w);

/* Sets the wire addresses of the members of the group, and whether this
** instance is one of them. */
void pwwatch_group(pw_watch *w, char (*addr)[PW_NAME_MAX], int n, int is_member,
                   int64_t now);

/* The known control instances outside of the group, as JSON; new reference. */
json_t *pwwatch_observers_json(const pw_watch *w);

/* This process was stalled for `ms` and received nothing: that time does not
** count as silence of targets or gateways. */
void pwwatch_discount_stall(pw_watch *w, int64_t ms);

/* Sends the Notices that are due. `has_contact`: there is contact with
** a leader; `leads`: this instance is the leader. */
void pwwatch_tick(pw_watch *w, int has_contact, int leads, int64_t now);

#endif
