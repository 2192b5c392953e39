/* pwwatch.h: those who watch a control instance: gateways and other control
** instances. They are told of targets, of the configuration's version, and of
** each other. */
#ifndef PWWATCH_H
#define PWWATCH_H

#include "pwdoc.h"
#include "pwfleet.h"
#include "pwproc.h"
#include "pwres.h"
#include "pwzones.h"

#include <jansson.h>

typedef struct pw_watch pw_watch;

/* Watchers reach `listener`; other control instances are watched through
** `dialler`. `doc` is the configuration applied here, `resources` what else is. */
pw_watch *pwwatch_new(pw_proc *p, pw_sock *listener, pw_sock *dialler,
                      const pw_doc *doc, const pw_res *resources);
void pwwatch_free(pw_watch *w);

/* A message of a watcher, or a notice of another control instance. */
void pwwatch_message(pw_watch *w, const pw_peer *from, const Pw__Envelope *e,
                     int64_t now);

/* A target was heard here. One that leaves, or has gone, may be told that this is known when
** pwwatch_held has come to the number; 0: at once. */
uint64_t pwwatch_beat(pw_watch *w, const pw_beat *b, int gone, int64_t now);

/* Up to which number another control instance has all that was heard here. */
uint64_t pwwatch_held(const pw_watch *w);

/* Whether what is heard here is told on: this instance is a member of the group, or members
** hear it. */
int pwwatch_is_heard(const pw_watch *w, int64_t now);

/* Whether a target was heard in that availability zone; and all of them, new
** reference. */
int pwwatch_has_zone(const pw_watch *w, const char *name);
json_t *pwwatch_zones_json(const pw_watch *w);

/* Whether a target of that service was heard here; and the slots of those that may be sent
** to, of that version and of all others. */
int pwwatch_has_service(const pw_watch *w, const char *name);
void pwwatch_slots(const pw_watch *w, const char *service, const char *version,
                   double *of_version, double *of_others);

/* The availability zones that are evacuated. */
const pw_zones *pwwatch_evacuated(const pw_watch *w);

/* The group's members by their wire addresses, and whether this instance is one. */
void pwwatch_group(pw_watch *w, char (*addr)[PW_NAME_MAX], int n, int is_member,
                   int64_t now);

/* Control instances outside of the group that are known here; new reference. */
json_t *pwwatch_observers_json(const pw_watch *w);

/* Sends what is due; `in_touch`: a leader was heard just now; `leads`: this is the one. */
/* This process could hear nobody for `ms`: no silence of targets or gateways. */
void pwwatch_excuse(pw_watch *w, int64_t ms);

void pwwatch_tick(pw_watch *w, int in_touch, int leads, int64_t now);

#endif
