/* pwunanswered.h: targets that leave requests unanswered though their
** heartbeats and health checks are good.
**
** Pure: time comes in as an argument. Prevents this failure: a target accepts
** requests and answers none, or only some, of them. Each of 22 gateways found
** that out for itself, with requests that must not be repeated and were held
** until their deadline. All gateways together need only a handful.
**
** A gateway counts its own requests that a target has left without a byte for
** much longer than usual; the counts are summed over all gateways. A doubt of a
** single gateway sets no target aside, because its own link may be at fault. */
#ifndef PWUNANSWERED_H
#define PWUNANSWERED_H

#include <stdint.h>

/* What one gateway saw of one target. {0}: nothing. */
typedef struct pw_unanswered {
  double count;      /* decaying count of its unanswered requests there */
  int64_t at;        /* time up to which it has decayed, ms */
  int64_t probed_at; /* when it was last tried while in doubt, ms */
} pw_unanswered;

/* What is known of one target over all gateways. */
typedef struct pw_unanswered_sum {
  double own;    /* count of this gateway, decayed until now */
  double others; /* sum of the counts that the other gateways report */
} pw_unanswered_sum;

/* Verdict on a target. */
typedef enum pw_unanswered_verdict {
  PWUNANSWERED_CLEAR, /* it gets requests as usual */
  PWUNANSWERED_PROBE, /* a request that may be repeated may try it now */
  PWUNANSWERED_ASIDE  /* it gets no request while another target is usable */
} pw_unanswered_verdict;

/* How long a target may leave a request without a byte, ms, before the request
** counts as unanswered. `usual_ms`: usual time to the first byte of an answer on
** the request's route; 0: unknown. */
int64_t pwunanswered_after_ms(double usual_ms);

/* Records a request that the target has left unanswered, or an answer. */
void pwunanswered_note(pw_unanswered *u, int64_t now);
void pwunanswered_answered(pw_unanswered *u, int64_t now);

/* The count to report to the other gateways. */
uint32_t pwunanswered_report(const pw_unanswered *u, int64_t now);

/* The verdict for a request; `may_repeat`: it may run again elsewhere. */
pw_unanswered_verdict pwunanswered_judge(const pw_unanswered *u,
                                         pw_unanswered_sum sum, int may_repeat,
                                         int64_t now);

/* Records that a request was sent after PWUNANSWERED_PROBE. */
void pwunanswered_probed(pw_unanswered *u, int64_t now);

#endif
