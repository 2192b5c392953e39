/* pwdoc.h: a versioned document that is sent as a delta against an older
** version.
**
** The newest version replaces the others; a few older versions are retained
** as bases of deltas. The configuration of gateways is such a document:
** control instances replicate it, and gateways receive it from them. */
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

/* The newest version (0 when there is none) and its text. */
uint64_t pwdoc_version(const pw_doc *d);
const char *pwdoc_text(const pw_doc *d, size_t *n);

/* Packs the newest version for a receiver that has version `have`: as a delta
** when that version is retained here, else as the full text. The result is
** valid until the document changes. */
const Pw__Document *pwdoc_packed(const pw_doc *d, uint64_t have);

/* Packs a text as a version that follows the newest one, as a delta against it.
** The caller frees out->data.data. */
void pwdoc_pack_next(const pw_doc *d, uint64_t version, const char *text,
                     size_t n, Pw__Document *out);

/* Applies a packed document. PW_OK: this version is the newest now, or one as
** new was there already; PW_E_STALE: its base version is not retained here;
** PW_E_CORRUPT: it cannot be unpacked. */
pw_code pwdoc_apply(pw_doc *d, const Pw__Document *in);

/* Removes all versions. */
void pwdoc_clear(pw_doc *d);

#endif
