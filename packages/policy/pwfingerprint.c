/* pwfingerprint.c: fingerprint of a request. */
#include "pwfingerprint.h"

#include <string.h>
#include <xxhash.h>

static uint64_t hash_of(pw_span s) {
  return s.p ? XXH3_64bits(s.p, s.n) : 0;
}

uint64_t pwfingerprint_of(const char *workspace, const char *method,
                          pw_span path, pw_span body) {
  uint64_t part[] = {hash_of((pw_span){workspace, strlen(workspace)}),
                     hash_of((pw_span){method, strlen(method)}), hash_of(path),
                     hash_of(body)};
  uint64_t fingerprint = XXH3_64bits(part, sizeof part);
  return fingerprint ? fingerprint : 1;
}
