/* pwplaces.h: load shedding by urgency class: who gets a slot at the targets
** of one service when slots are short.
**
** Pure: time comes in as an argument. A request gets a slot at once or is
** refused at once. The reserve kept for an urgency class grows with the share
** of its requests that get none. */
#ifndef PWPLACES_H
#define PWPLACES_H

#include <stdint.h>

/* Urgency classes, 0 the most urgent. The classes below PWPLACES_SURPLUS are
** the operator's. The same classes follow again, after all of these, for
** requests beyond a workspace's baseline. */
#define PWPLACES_SURPLUS 10
#define PWPLACES_URGENCIES (2 * PWPLACES_SURPLUS)

typedef struct pw_places {
  /* Share of the slots reserved for each urgency class against less urgent
  ** ones. */
  double reserve[PWPLACES_URGENCIES];
  /* Decaying counts of requests and of those that got a slot, for each of the
  ** operator's classes. */
  double requests[PWPLACES_SURPLUS];
  double admitted[PWPLACES_SURPLUS];
  /* The same over all classes, without those that go last. */
  double first_requests, first_admitted;
  int64_t at; /* time up to which the counts have decayed, ms */
} pw_places;

void pwplaces_init(pw_places *p, int64_t now);

/* Counts a request; `got` tells whether it got a slot. `is_last`: it goes after
** the others of its class, as a caller's retry does. */
void pwplaces_asked(pw_places *p, int urgency, int is_last, int got,
                    int64_t now);

/* The share of the slots that a request leaves to more urgent ones. A request
** that goes last leaves it to the others of its own class as well. */
double pwplaces_reserve(const pw_places *p, int urgency, int is_last);

/* Whether a caller's retry may get a slot now. It may while first attempts get
** theirs; the more of them do not, the fewer retries may. `draw` is uniform in
** [0, 1). */
int pwplaces_may_return(const pw_places *p, double draw);

/* The share of the recent requests that got a slot, 0 to 1. */
double pwplaces_share(const pw_places *p);

/* When a refused caller is to retry, in ms, spread by `draw`, uniform in [0,
** 1), over the time in which it would still do so. It is not before
** `least_ms`: an earlier retry cannot be told from a first attempt. */
int64_t pwplaces_retry(int64_t time_left_ms, int64_t least_ms, double draw);

#endif
