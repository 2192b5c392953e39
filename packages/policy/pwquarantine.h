/* pwquarantine.h: requests that crash the targets which run them; such a
** request is put in quarantine and sent to no target.
**
** Pure: time comes in as an argument. Prevents this failure: a request crashes
** every target that begins to run it and is sent again under a new id, at any
** instance, up to ten times a second among the normal requests; each crash
** takes some of those with it. Every instance counts the targets that crashed
** while running a request, announces them to the others, and sends the request
** nowhere from PW_QUARANTINE_CRASHES crashes on.
**
** A request that a target answered with success is not the cause. An answer
** retracts all crashes counted before it, at every instance, and for a while
** no crash is counted. So a request that many callers send alike, such as a
** status query, stays out of quarantine when several targets running it crash
** at the same time for another reason. */
#ifndef PWQUARANTINE_H
#define PWQUARANTINE_H

#include "pwlimits.h"

#include <stddef.h>
#include <stdint.h>

#define PWQUAR_ROWS 8 /* in one update: 8 rows of 45 bytes fit any datagram */

typedef struct pw_quarantine pw_quarantine;

/* What a call changed. */
typedef enum pw_quar_change {
  PWQUAR_UNCHANGED, /* nothing: the call reported what was known */
  PWQUAR_CRASHED,   /* another target has crashed while running the request */
  PWQUAR_BEGUN,     /* the same, and the quarantine of the request begins */
  PWQUAR_RELEASED   /* an answer ended the quarantine of the request */
} pw_quar_change;

/* The state of one request in an update. */
typedef struct pw_quar_row {
  uint64_t fingerprint;                   /* of the request */
  uint64_t target[PW_QUARANTINE_CRASHES]; /* incarnations that crashed */
  int n; /* number of `target`; 0: the request was answered */
  /* Age of the quarantine, or else of the newest crash or answer. */
  int64_t age_ms;
} pw_quar_row;

pw_quarantine *pwquar_new(void);
void pwquar_free(pw_quarantine *q);

/* A target crashed while it was running the request. `target` identifies its
** incarnation, the same at every instance. A target that restarts and crashes
** again before any heartbeat of its new incarnation is reported with the same
** id, some time later. */
pw_quar_change pwquar_crashed(pw_quarantine *q, uint64_t fingerprint,
                              uint64_t target, int64_t now);

/* A target answered the request with success. */
pw_quar_change pwquar_answered(pw_quarantine *q, uint64_t fingerprint,
                               int64_t now);

/* Remaining ms in quarantine; 0: it is not in quarantine. */
int64_t pwquar_left(const pw_quarantine *q, uint64_t fingerprint, int64_t now);

/* Number of targets known to have crashed while running the request. */
int pwquar_crashes(const pw_quarantine *q, uint64_t fingerprint);

/* Fills in the rows that are due to be sent to other instances, at most
** PWQUAR_ROWS, and returns their number. A change is sent several times, since
** datagrams get lost. Requests in quarantine are sent once a second,
** for instances that have just started. */
size_t pwquar_updates(pw_quarantine *q, pw_quar_row *row, int64_t now);

/* Lists all requests that are in quarantine or were released recently, whether
** due or not, PWQUAR_ROWS a call; the next call continues. *at begins at 0.
** Returns the number of rows. */
size_t pwquar_list(const pw_quarantine *q, size_t *at, pw_quar_row *row,
                   int64_t now);

/* Applies a row received from another instance. */
pw_quar_change pwquar_receive(pw_quarantine *q, const pw_quar_row *row,
                              int64_t now);

/* Ends quarantines and drops old cases. A request whose quarantine is over may
** run again; one more crash begins the next quarantine. */
void pwquar_tick(pw_quarantine *q, int64_t now);

/* Number of requests in quarantine. */
int pwquar_count(const pw_quarantine *q);

/* Number of crashes counted so far. */
int64_t pwquar_total(const pw_quarantine *q);

#endif
