/* pwflight.h: an entry's requests in flight: attempts, hops, retries, resumes.
** Belongs to the wire thread.
**
** not-run is told only when every attempt was refused by its agent before the
** start, or never left this process. Silence is never a proof: a request whose
** last attempt went silent is unknown. See docs/PROMISES.md. */
#ifndef PWFLIGHT_H
#define PWFLIGHT_H

#include "pwbudget.h"
#include "pwcall.h"
#include "pwnews.h"
#include "pwquarantine.h"
#include "pwsub.h"
#include "pwtargets.h"

typedef struct pw_flights pw_flights;

pw_flights *pwflight_new(pw_proc *p, pw_sock *dialler, pw_targets *targets,
                         pw_sub *sub, pw_news *news);
void pwflight_free(pw_flights *fs);

int pwflight_count(const pw_flights *fs);

/* Notes from HTTP threads. */
void pwflight_note(pw_flights *fs, const pw_note *note, const pw_policy *policy,
                   int may_serve, int64_t now);

/* A message from an agent: Refuse, Head, Chunk, End or a sign of life. */
void pwflight_message(pw_flights *fs, const pw_peer *from,
                      const Pw__Envelope *e, const pw_policy *policy,
                      int64_t now);

/* Requests under which targets ended, as this entry knows; and as another tells. */
pw_quarantine *pwflight_quarantine(pw_flights *fs);
void pwflight_hear_suspects(pw_flights *fs, const Pw__Loads *m, int64_t now);

/* The connection to an agent was lost. */
void pwflight_lost(pw_flights *fs, const char *addr, const pw_policy *policy,
                   int64_t now);

/* The ledger's answer to a Claim or Record. */
void pwflight_claimed(pw_flights *fs, const Pw__Claimed *claimed,
                      const pw_policy *policy, int64_t now);

/* Deadlines, silent links, claims to resend, callers that hung up. */
void pwflight_tick(pw_flights *fs, const pw_policy *policy, int64_t now);

#endif
