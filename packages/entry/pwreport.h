/* pwreport.h: load reports between the entries of a region.
**
** Each entry sends its peers the loads of its own agents when they have changed,
** within a budget of bytes per second. When there is more to report than the
** budget allows, reports are sent later. They are less precise then but stay
** safe, since a report counts by its age (pwbound.h). */
#ifndef PWREPORT_H
#define PWREPORT_H

#include "pwparts.h"
#include "pwquarantine.h"
#include "pwtargets.h"

typedef struct pw_reports pw_reports;

pw_reports *pwreport_new(pw_proc *p, pw_sock *dialler, pw_targets *targets);
void pwreport_free(pw_reports *r);

/* Takes in the load that an own agent reports. The message arrived at `at` or
** later, since it may have waited unread until now. */
void pwreport_child(pw_reports *r, const Pw__Load *load, int64_t at,
                    int64_t now);

/* Takes in a peer's Loads, which arrived at `at` or later. */
void pwreport_peer(pw_reports *r, const Pw__Envelope *e, int64_t at,
                   int64_t now);

/* Reports requests that crash targets to the peers, when there are changes. */
void pwreport_suspects(pw_reports *r, pw_quarantine *q, pw_parts *parts,
                       int64_t now);

/* Reports changed loads to the peers when a report is due. */
void pwreport_tick(pw_reports *r, int64_t now);

#endif
