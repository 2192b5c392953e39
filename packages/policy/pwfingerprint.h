/* pwfingerprint.h: fingerprint of a request, independent of the id, instance or
** connection that it arrives with. */
#ifndef PWFINGERPRINT_H
#define PWFINGERPRINT_H

#include "pwbuf.h"

#include <stdint.h>

/* Hash of the caller's workspace, method, path and body; never 0. It is not
** cryptographic: whoever holds a workspace's key could construct two requests
** of that workspace with the same fingerprint. */
uint64_t pwfingerprint_of(const char *workspace, const char *method,
                          pw_span path, pw_span body);

#endif
