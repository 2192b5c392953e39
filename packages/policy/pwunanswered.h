/* pwunanswered.h: targets that leave requests unanswered though their
** heartbeats and health checks are good.
**
** Pure: time comes in as an argument. Prevents this failure: a target accepts
** requests and answers none, or only some, of them. Each of 22 gateways found
** that out for itself, with requests that must not be repeated and were held
** until their deadline. All gateways together need only a handful.
**
** A gateway counts its own requests that a target has left without a byte for
** much longer than usual; the counts are summed over all gateways. The count of
** a single gateway is limited so that it suspects no target alone, because its
** own link may be at fault. An answer to another request changes no count: a
** target that answers half of its requests does so all the time. */
#ifndef PWUNANSWERED_H
#define PWUNANSWERED_H

#include <stdint.h>

/* Unanswered requests that a gateway remembers of a target. */
#define PWUNANSWERED_KEPT 4

/* What one gateway knows of one target. {0}: nothing. */
typedef struct pw_unanswered {
  /* When its newest unanswered requests there became overdue, ms; 0: none. */
  int64_t at[PWUNANSWERED_KEPT];
  uint32_t others;   /* sum of the counts that the other gateways report */
  int64_t others_at; /* time of that report, ms */
  /* When this gateway last probed the target, or began to suspect it, ms, and
  ** the part of the interval of probes after which it probes next. */
  int64_t probed_at;
  double probe_after;
  int is_suspected;
} pw_unanswered;

/* How a target's state changed. */
typedef enum pw_unanswered_change {
  PWUNANSWERED_UNCHANGED,
  PWUNANSWERED_SUSPECTED,
  PWUNANSWERED_CLEARED
} pw_unanswered_change;

/* How long a target may leave a request without a byte, ms, before the request
** counts as unanswered. `usual_ms`: usual time to the first byte of an answer on
** the request's route; 0: unknown. A suspected target has less time, so that a
** probe can run again elsewhere within its caller's time. */
int64_t pwunanswered_after_ms(double usual_ms, int is_suspected);

/* The usual time to the first byte after one that took `ms`. */
double pwunanswered_usual_ms(double usual_ms, double ms);

/* Records a request that became overdue at `now`. */
void pwunanswered_note(pw_unanswered *u, int64_t now);

/* Removes the record of a request that became overdue at `noted_at` and was
** answered after all: the target is slow. */
void pwunanswered_retract(pw_unanswered *u, int64_t noted_at);

/* This gateway's count, which it reports to the others. */
uint32_t pwunanswered_report(const pw_unanswered *u, int64_t now);

/* Stores the sum of the counts of all other gateways as of time `at`. */
void pwunanswered_receive(pw_unanswered *u, uint32_t others, int64_t at);

/* Re-evaluates whether the target is suspected. `draw`: uniform in [0, 1). */
pw_unanswered_change pwunanswered_update(pw_unanswered *u, double draw,
                                         int64_t now);

/* Whether a suspected target may be probed by a request that may be repeated.
** `part`: this gateway's share of the requests of all gateways, above 0; the
** rate of probes over all gateways does not depend on their number. */
int pwunanswered_may_probe(const pw_unanswered *u, double part, int64_t now);

/* Records that a request was sent to the target. */
void pwunanswered_sent(pw_unanswered *u, int64_t now);

#endif
