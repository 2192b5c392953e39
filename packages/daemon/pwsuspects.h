/* pwsuspects.h: requests under which targets ended, as instances tell each other. */
#ifndef PWSUSPECTS_H
#define PWSUSPECTS_H

#include "peatwell.pb-c.h"
#include "pwquarantine.h"

/* One telling, ready to be packed; refers to itself, so it stays where it is. */
typedef struct pw_suspects {
  pw_quar_row row[PWQUAR_ROWS];
  Pw__Suspect message[PWQUAR_ROWS];
  Pw__Suspect *list[PWQUAR_ROWS];
  size_t n;
} pw_suspects;

/* What is due to be told; gives how many. */
size_t pwsuspects_fill(pw_suspects *s, pw_quarantine *q, int64_t now);

/* The next of what is in quarantine or released (pwquar_list); gives how many. */
size_t pwsuspects_list(pw_suspects *s, const pw_quarantine *q, size_t *at,
                       int64_t now);

/* Takes what another instance told; calls `heard` with each piece of news. */
void pwsuspects_take(pw_quarantine *q, Pw__Suspect *const *list, size_t n,
                     int64_t now,
                     void (*heard)(void *arg, uint64_t sign, pw_quar_news news),
                     void *arg);

#endif
