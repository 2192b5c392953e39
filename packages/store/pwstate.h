/* pwstate.h: the replicated state: resources, outcomes of changes,
** once-ledger, the configuration document of gateways and the software
** versions of targets.
**
** Every control instance applies the commands of the consensus log in the
** same order and must reach the same state, so nothing here reads a clock or
** uses random numbers. */
#ifndef PWSTATE_H
#define PWSTATE_H

#include "peatwell.pb-c.h"
#include "pwcode.h"
#include "pwdoc.h"
#include "pwonce.h"
#include "pwres.h"
#include "pwserved.h"

/* Name of the policy whose once_from_s makes the once-ledger refuse unknown
** keys until that time. A restore writes it to a group other than the one
** that was backed up, because the ledger is not part of the backup. */
#define PWSTATE_ONCE_HOLD "once-hold"

typedef struct pw_state pw_state;

pw_state *pwstate_new(void);
void pwstate_free(pw_state *s);

/* The resources and the once-ledger, read-only. */
const pw_res *pwstate_resources(const pw_state *s);
const pw_once *pwstate_once(const pw_state *s);

/* The configuration document of gateways, read-only. */
const pw_doc *pwstate_document(const pw_state *s);

/* The software versions of targets that serve or served lately, read-only. */
const pw_served *pwstate_served(const pw_state *s);

/* Applies one command. *outcome becomes the answer to a Change or a published
** document, *claimed that to a Claim; each is NULL for other commands. The
** caller frees them with their free_unpacked functions. */
void pwstate_apply(pw_state *s, const Pw__Command *cmd, Pw__Outcome **outcome,
                   Pw__Claimed **claimed);

/* Serializes the complete state into bytes that the caller frees. */
uint8_t *pwstate_save(const pw_state *s, size_t *n);

/* Replaces the state by a serialized one. PW_E_CORRUPT when it is malformed,
** PW_E_VERSION when a newer program wrote it. */
pw_code pwstate_load(pw_state *s, const uint8_t *data, size_t n);

#endif
