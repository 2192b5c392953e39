/* pwshed.h: load shedding by urgency class: which requests get a slot at the
** targets of one service when slots are short.
**
** Pure: time comes in as an argument. A request gets a slot at once or is
** refused at once. The reserve kept for an urgency class grows with the share
** of its requests that get none. */
#ifndef PWSHED_H
#define PWSHED_H

#include <stdint.h>

/* Urgency classes, 0 the most urgent. The classes below PWSHED_SURPLUS are
** the operator's. The same classes follow again, after all of these, for
** requests beyond a workspace's baseline. */
#define PWSHED_SURPLUS 10
#define PWSHED_URGENCIES (2 * PWSHED_SURPLUS)

typedef struct pw_shed {
  /* Share of the slots reserved for each urgency class against less urgent
  ** ones. */
  double reserve[PWSHED_URGENCIES];
  /* Decaying counts of requests and of those that got a slot, for each of the
  ** operator's classes. */
  double requests[PWSHED_SURPLUS];
  double admitted[PWSHED_SURPLUS];
  /* The same over all classes, without those that go last and without surplus. */
  double first_requests, first_admitted;
  int64_t at; /* time up to which the counts have decayed, ms */
} pw_shed;

void pwshed_init(pw_shed *p, int64_t now);

/* Counts a request. `got`: it got a slot. `is_last`: it goes after the others
** of its class, as a caller's retry does. */
void pwshed_note(pw_shed *p, int urgency, int is_last, int got, int64_t now);

/* The share of the slots that a request leaves to more urgent ones. A request
** that goes last leaves it to the others of its own class as well. */
double pwshed_reserve(const pw_shed *p, int urgency, int is_last);

/* The share of the recent first attempts that got a slot, 0 to 1. */
double pwshed_first_admitted(const pw_shed *p);

/* The share of the recent requests that got a slot, 0 to 1. */
double pwshed_admitted_share(const pw_shed *p);

/* When a refused caller is to retry, in ms, spread by `draw`, uniform in [0,
** 1), over the time in which it would still do so. It is not before
** `least_ms`: an earlier retry could not be distinguished from a first
** attempt. */
int64_t pwshed_retry_ms(int64_t time_left_ms, int64_t least_ms, double draw);

#endif
