/* pwonce.h: the once-ledger: keys of requests that may run once, and their
** answers.
**
** A claim of a key has three stages. It is open until its answer is recorded
** or the claim is given back; answered while there is room for the answer;
** and past, when only a hash of its key is left (pwdedup), until the
** retention time of keys has elapsed. A claim younger than that is never
** removed: a full ledger refuses new claims instead. */
#ifndef PWONCE_H
#define PWONCE_H

#include "peatwell.pb-c.h"
#include "pwcode.h"

#include <stdint.h>

typedef struct pw_once pw_once;

pw_once *pwonce_new(void);
void pwonce_free(pw_once *o);

/* For a ledger that does not know which requests ran before it: until this wall
** clock time (ms) it refuses claims of keys that it does not contain. */
void pwonce_refuse_until(pw_once *o, uint64_t until);

/* Claims (workspace, key) for the owner in->id. The result's code is:
**   PW_OK, answered 0   the claim is granted: run the request
**   PW_OK, answered 1   the recorded answer, without body and content type when
**                       the answer is no longer kept
**   PW_E_RUNNING        another owner has the key, and no answer is recorded
**   PW_E_REUSED         the key was claimed with another body
**   PW_E_LEDGER_FULL    not claimed: the ledger is full
**   PW_E_LEDGER_LOST    not claimed: unknown keys are refused until a set
**                       time (pwonce_refuse_until)
** A claim sent again with the same id is granted again until its answer is
** recorded. After the claim was given back, its own id gets PW_E_RUNNING, and
** any other id may claim the key. */
Pw__Claimed *pwonce_claim(pw_once *o, uint64_t wall, const Pw__Claim *in);

/* Records the answer of a claim, or gives the claim back when the request has
** provably not run. Records by others than the claim's owner are ignored. */
void pwonce_record(pw_once *o, const Pw__Record *in);

/* Removes claims older than keep_ms at `wall`, and reduces the oldest answered
** claims to hashes while the answers exceed PW_ONCE_ANSWERS or
** PW_ONCE_ANSWER_BYTES. */
void pwonce_expire(pw_once *o, uint64_t wall, uint64_t keep_ms);

/* Number of claims of all stages, and of those that are past. */
size_t pwonce_count(const pw_once *o);
size_t pwonce_past_count(const pw_once *o);

/* Fills the ledger's fields of a state. The caller frees out->claims and
** out->past.data; all else that they point to belongs to the ledger. */
void pwonce_pack(const pw_once *o, Pw__State *out);

/* Replaces all claims by those of a state. PW_E_CORRUPT when they are
** malformed. */
pw_code pwonce_load(pw_once *o, const Pw__State *in);

#endif
