/* pwunresponsive.h: requests whose target became unresponsive, until it is
** known whether the target crashed.
**
** Pure: time comes in as an argument. A request that takes long looks like one
** that hangs its target: in both cases nothing arrives. Such a silence counts
** as a crash only once control has missed the target's heartbeats as well. */
#ifndef PWUNRESPONSIVE_H
#define PWUNRESPONSIVE_H

#include "pwparts.h"

#include <stdint.h>

/* Requests kept; another one replaces the oldest. */
#define PWUNRESPONSIVE_MAX 256

typedef struct pw_unresponsive_request {
  uint64_t fingerprint; /* of the request (pwfingerprint) */
  pw_part_list parts;   /* of its prompt */
  uint64_t target;      /* incarnation of its target */
  int64_t sent;         /* when it was sent there, ms */
  int64_t at;           /* when the target became unresponsive, ms; 0: unused */
  int is_checked;       /* its target is being checked */
} pw_unresponsive_request;

typedef struct pw_unresponsive {
  pw_unresponsive_request list[PWUNRESPONSIVE_MAX];
  int next;
} pw_unresponsive;

/* Removes the oldest request that was noted `age_ms` ago or longer and whose
** target is not being checked. Returns 0 if there is none. */
int pwunresponsive_take_old(pw_unresponsive *d, int64_t age_ms, int64_t now,
                            pw_unresponsive_request *out);

/* Notes a request that is at a target which became unresponsive. */
void pwunresponsive_note(pw_unresponsive *d,
                         const pw_unresponsive_request *request);

/* Notes that the check of a target is over: its requests can be taken by age. */
void pwunresponsive_end_check(pw_unresponsive *d, uint64_t target);

/* For a target that missed its heartbeats or crashed: removes one of the recent
** requests noted for it. Returns 0 if none is left. */
int pwunresponsive_take(pw_unresponsive *d, uint64_t target, int64_t now,
                        pw_unresponsive_request *out);

#endif
