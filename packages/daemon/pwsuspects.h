/* pwsuspects.h: messages between instances about requests that may have crashed
** targets. */
#ifndef PWSUSPECTS_H
#define PWSUSPECTS_H

#include "peatwell.pb-c.h"
#include "pwquarantine.h"

/* The rows of one message, ready to be packed. It has pointers into itself,
** so it must not be copied. */
typedef struct pw_suspects {
  pw_quar_row row[PWQUAR_ROWS];
  Pw__Suspect message[PWQUAR_ROWS];
  Pw__Suspect *list[PWQUAR_ROWS];
  size_t n;
} pw_suspects;

/* Fills in the requests whose state must be sent now. Returns their number. */
size_t pwsuspects_due(pw_suspects *s, pw_quarantine *q, int64_t now);

/* Fills in the next requests, from *at on, of those in quarantine or released
** (pwquar_list). Returns their number. */
size_t pwsuspects_list(pw_suspects *s, const pw_quarantine *q, size_t *at,
                       int64_t now);

/* Applies the states of requests that another instance sent. Calls `on_change`
** for each request whose state changed. */
void pwsuspects_receive(pw_quarantine *q, Pw__Suspect *const *list, size_t n,
                        int64_t now,
                        void (*on_change)(void *arg, uint64_t fingerprint,
                                          pw_quar_change change),
                        void *arg);

#endif
