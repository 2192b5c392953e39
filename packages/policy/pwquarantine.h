/* pwquarantine.h: requests under which targets ended, and which are sent to none any more.
**
** Pure: time comes in as an argument. Answers this load: a request ends each target that begins to
** run it, and comes again under a new id, at any instance, up to ten times a second, between the
** usual requests, of which each end takes some with it. Every instance counts the targets that
** ended under a request, tells the others, and from PW_QUARANTINE_ENDS on sends it nowhere.
**
** A request that a target answered with success is not the cause: an answer takes back all ends before it, at
** every instance, and for a while ends are not counted. So what many callers ask alike, a state for
** example, stays out when several targets that have it end at once for another reason. */
#ifndef PWQUARANTINE_H
#define PWQUARANTINE_H

#include "pwlimits.h"

#include <stddef.h>
#include <stdint.h>

#define PWQUAR_ROWS 8 /* of one telling: 8 of 45 bytes fit any datagram */

typedef struct pw_quarantine pw_quarantine;

typedef enum pw_quar_news {
  PWQUAR_OLD,     /* nothing that was not known */
  PWQUAR_ENDED,   /* another target has ended under it */
  PWQUAR_BEGUN,   /* ... and it is in quarantine from now on */
  PWQUAR_RELEASED /* it was, and is not the cause after all */
} pw_quar_news;

/* What is told of one request. */
typedef struct pw_quar_row {
  uint64_t sign;                       /* pwsign_of */
  uint64_t target[PW_QUARANTINE_ENDS]; /* starts of targets that ended */
  int n;                               /* of them; 0: it was answered */
  int64_t age_ms; /* of the quarantine, or else of its newest end */
} pw_quar_row;

pw_quarantine *pwquar_new(void);
void pwquar_free(pw_quarantine *q);

/* A target ended while it had the request. `target` names one start of it, the same at every
** instance. One that has started again before anything was heard of it ends again under the same
** name, some time later. */
pw_quar_news pwquar_ended(pw_quarantine *q, uint64_t sign, uint64_t target,
                          int64_t now);

/* A target answered it with success. */
pw_quar_news pwquar_answered(pw_quarantine *q, uint64_t sign, int64_t now);

/* Ms that it is in quarantine yet; 0: it is not. */
int64_t pwquar_left(const pw_quarantine *q, uint64_t sign, int64_t now);

/* Targets that are known to have ended under it. */
int pwquar_ends(const pw_quarantine *q, uint64_t sign);

/* What is due to be told to other instances, at most PWQUAR_ROWS; gives how many. News are told
** some times, since a datagram may be lost; what is in quarantine once a second, for who has
** started anew. */
size_t pwquar_tell(pw_quarantine *q, pw_quar_row *row, int64_t now);

/* What is in quarantine here or was released lately, whatever was told of it: at most PWQUAR_ROWS of
** them, the next ones with the next call; *at begins at 0. Gives how many. */
size_t pwquar_list(const pw_quarantine *q, size_t *at, pw_quar_row *row,
                   int64_t now);

/* Another instance told. */
pw_quar_news pwquar_hear(pw_quarantine *q, const pw_quar_row *row, int64_t now);

/* Forgets what is old. Requests whose quarantine is over may run again; one more end begins it
** anew. */
void pwquar_tick(pw_quarantine *q, int64_t now);

/* Requests in quarantine, and ends that were counted so far. */
int pwquar_count(const pw_quarantine *q);
int64_t pwquar_total(const pw_quarantine *q);

#endif
