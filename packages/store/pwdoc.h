/* pwdoc.h: a versioned document that is sent as the difference to an older one.
**
** The newest version wins; a few older ones are kept as bases. Used for the
** configuration of gateways: by control instances, which replicate it, and by
** gateways, which follow. */
#ifndef PWDOC_H
#define PWDOC_H

#include "peatwell.pb-c.h"
#include "pwcode.h"

#include <stddef.h>
#include <stdint.h>

#define PWDOC_MAX (16 * 1024 * 1024) /* bytes of a document */

typedef struct pw_doc pw_doc;

pw_doc *pwdoc_new(void);
void pwdoc_free(pw_doc *d);

/* The newest version, 0 when there is none, and its text. */
uint64_t pwdoc_version(const pw_doc *d);
const char *pwdoc_text(const pw_doc *d, size_t *n);

/* What a receiver that holds version `have` needs to get to the newest: the
** difference if that one is kept here, else the whole. Good until the document changes. */
const Pw__Document *pwdoc_packed(const pw_doc *d, uint64_t have);

/* Packs a text as the version that would follow the newest held; out->data is the
** caller's to free. */
void pwdoc_pack_next(const pw_doc *d, uint64_t version, const char *text,
                     size_t n, Pw__Document *out);

/* Takes a packed document. PW_OK: it is held now, or one as new was. PW_E_STALE:
** its base is not held; PW_E_CORRUPT: it cannot be read. */
pw_code pwdoc_take(pw_doc *d, const Pw__Document *in);

/* Forgets all. */
void pwdoc_clear(pw_doc *d);

#endif
