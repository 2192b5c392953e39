/* pwreport.h: load reports between the entries of a region.
**
** Each entry tells its peers the loads of the agents below it, only those that
** changed, at an interval that keeps the bytes within a budget: when there is
** more to tell than the budget allows, reports come later, and since a report
** counts by its age (pwbound.h) they lose precision, never safety. */
#ifndef PWREPORT_H
#define PWREPORT_H

#include "pwquarantine.h"
#include "pwtargets.h"

typedef struct pw_reports pw_reports;

pw_reports *pwreport_new(pw_proc *p, pw_sock *dialler, pw_targets *targets);
void pwreport_free(pw_reports *r);

/* A load that an agent below reported; its age is in it. It arrived at `at` or
** later: a message may have lain unread until now. */
void pwreport_child(pw_reports *r, const Pw__Load *load, int64_t at,
                    int64_t now);

/* A peer's Loads, the same. */
void pwreport_peer(pw_reports *r, const Pw__Envelope *e, int64_t at,
                   int64_t now);

/* Tells the peers under which requests targets ended, when there is news. */
void pwreport_suspects(pw_reports *r, pw_quarantine *q, int64_t now);

/* Tells the peers when it is time. */
void pwreport_tick(pw_reports *r, int64_t now);

#endif
