/* pwstate.h: the replicated state: resources, resend results, once-ledger.
**
** Commands come from the consensus log and are applied by every control
** instance alike, so nothing here reads a clock or draws a random number. */
#ifndef PWSTATE_H
#define PWSTATE_H

#include "peatwell.pb-c.h"
#include "pwcode.h"
#include "pwdoc.h"
#include "pwonce.h"
#include "pwres.h"

/* Policy whose once_from_s holds claims back: a restore writes it on a group
** that is not the one the backup was made of. */
#define PWSTATE_ONCE_HOLD "once-hold"

typedef struct pw_state pw_state;

pw_state *pwstate_new(void);
void pwstate_free(pw_state *s);

/* The resources, for reading. */
const pw_res *pwstate_resources(const pw_state *s);
const pw_once *pwstate_once(const pw_state *s);

/* The configuration document of gateways. */
const pw_doc *pwstate_document(const pw_state *s);

/* Applies one command. For a Change *outcome is what to answer, for a Claim
** *claimed is; the caller frees it with the pb functions. Either may be NULL
** when the command has none. */
void pwstate_apply(pw_state *s, const Pw__Command *cmd, Pw__Outcome **outcome,
                   Pw__Claimed **claimed);

/* The whole state as bytes the caller frees. */
uint8_t *pwstate_save(const pw_state *s, size_t *n);

/* Replaces the state. PW_E_CORRUPT, or PW_E_VERSION for a newer one. */
pw_code pwstate_load(pw_state *s, const uint8_t *data, size_t n);

#endif
