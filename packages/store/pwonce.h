/* pwonce.h: the once-ledger: which keys were claimed, and their answers.
**
** A claim goes through three stages: open, until its answer is recorded or it
** was given back; answered, as long as there is room for the answer; and past,
** a hash of its key (pwdedup), until it is older than the time for which keys
** are kept. No claim younger than that is ever forgotten: when there is no
** room, new ones are refused. */
#ifndef PWONCE_H
#define PWONCE_H

#include "peatwell.pb-c.h"
#include "pwcode.h"

#include <stdint.h>

typedef struct pw_once pw_once;

pw_once *pwonce_new(void);
void pwonce_free(pw_once *o);

/* A ledger that does not know what ran before: until this wall clock (ms) it
** claims no key that it does not hold. */
void pwonce_hold(pw_once *o, uint64_t until);

/* Claims (workspace, key) for in->id. Gives what to answer:
** PW_OK, answered 0: run it;  PW_OK, answered 1: the recorded answer, which
** has neither body nor type when it is not kept any more;
** PW_E_RUNNING: claimed by another, no answer recorded;
** PW_E_REUSED: the key came with another body;
** PW_E_LEDGER_FULL: not claimed, there is no room; PW_E_LEDGER_LOST: not
** claimed, it is held (pwonce_hold). A claim resent with the same
** id is granted again only until it is recorded: one that was given back is RUNNING for its own id, and
** open to all others. */
Pw__Claimed *pwonce_claim(pw_once *o, uint64_t wall, const Pw__Claim *in);

/* Records the answer of a claim its owner holds, or gives the claim back
** when it provably did not run. Others' records are ignored. */
void pwonce_record(pw_once *o, const Pw__Record *in);

/* Drops what is older than keep_ms at `wall`, and the answers that there is no
** room for (PW_ONCE_ANSWERS, PW_ONCE_ANSWER_BYTES), oldest first. */
void pwonce_expire(pw_once *o, uint64_t wall, uint64_t keep_ms);

/* Claims of all stages, and those of them that are past. */
size_t pwonce_count(const pw_once *o);
size_t pwonce_past(const pw_once *o);

/* Fills the ledger's fields of a state; what they point at is borrowed but for
** out->claims and out->past.data, which the caller frees. */
void pwonce_pack(const pw_once *o, Pw__State *out);

/* Replaces all claims. PW_E_CORRUPT when they are malformed. */
pw_code pwonce_load(pw_once *o, const Pw__State *in);

#endif
