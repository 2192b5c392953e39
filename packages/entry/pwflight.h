/* pwflight.h: an entry's requests in flight: attempts, hops, retries, resumes.
** Only the wire thread calls these functions.
**
** A request ends as not-run only when every attempt was refused by its agent
** before the start, or was never sent. Silence proves nothing: a request that fails
** after an attempt was sent and not refused ends as unknown. See
** docs/PROMISES.md. */
#ifndef PWFLIGHT_H
#define PWFLIGHT_H

#include "pwbudget.h"
#include "pwcall.h"
#include "pwparts.h"
#include "pwquarantine.h"
#include "pwsub.h"
#include "pwtargets.h"
#include "pwtreereport.h"

typedef struct pw_flights pw_flights;

pw_flights *pwflight_new(pw_proc *p, pw_sock *dialler, pw_targets *targets,
                         pw_sub *sub, pw_treereport *treereport);
void pwflight_free(pw_flights *fs);

int pwflight_count(const pw_flights *fs);

/* Handles a note from an HTTP thread. */
void pwflight_note(pw_flights *fs, const pw_note *note, const pw_policy *policy,
                   int may_serve, int64_t now);

/* Handles an agent's message: Refuse, Head, Chunk, End or a load report. */
void pwflight_message(pw_flights *fs, const pw_peer *from,
                      const Pw__Envelope *e, const pw_policy *policy,
                      int64_t now);

/* This entry's counts of requests that crash their targets. */
pw_quarantine *pwflight_quarantine(pw_flights *fs);

/* Parts of prompts that crash their targets. */
pw_parts *pwflight_parts(pw_flights *fs);

/* Takes in the suspected requests that another entry reports. */
void pwflight_take_suspects(pw_flights *fs, const Pw__Loads *m, int64_t now);

/* Handles the loss of the connection to the agent at `addr`. */
void pwflight_link_lost(pw_flights *fs, const char *addr,
                        const pw_policy *policy, int64_t now);

/* Handles the once-ledger's answer to a Claim or Record. */
void pwflight_claimed(pw_flights *fs, const Pw__Claimed *claimed,
                      const pw_policy *policy, int64_t now);

/* Handles deadlines, silent links, claims to resend, and callers that hung up. */
void pwflight_tick(pw_flights *fs, const pw_policy *policy, int64_t now);

#endif
