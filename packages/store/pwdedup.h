/* pwdedup.h: the set of hashed keys of requests that may not run again.
**
** An entry takes 24 bytes and holds no answer. Entries are kept in order of
** insertion and removed oldest first. */
#ifndef PWDEDUP_H
#define PWDEDUP_H

#include <stddef.h>
#include <stdint.h>

#define PWDEDUP_KEY_BYTES 16   /* bytes of a key's hash */
#define PWDEDUP_ENTRY_BYTES 24 /* bytes of a packed entry */

typedef struct pw_dedup pw_dedup;

typedef struct pw_dedup_entry {
  uint8_t key[PWDEDUP_KEY_BYTES];
  uint32_t at;       /* time of the claim: wall clock, seconds */
  uint32_t body;     /* 31-bit hash of the request's body */
  uint32_t answered; /* 0: the request started and its outcome is unknown */
} pw_dedup_entry;

pw_dedup *pwdedup_new(void);
void pwdedup_free(pw_dedup *d);
size_t pwdedup_count(const pw_dedup *d);

/* Adds an entry. Its key must not be in the set yet. */
void pwdedup_add(pw_dedup *d, const pw_dedup_entry *e);

/* Looks up a key and copies its entry to `out`, which may be NULL. Returns 0
** when the key is not in the set. */
int pwdedup_find(const pw_dedup *d, const uint8_t key[PWDEDUP_KEY_BYTES],
                 pw_dedup_entry *out);

/* Removes entries in order of insertion until it meets one that is not older
** than `before` (wall clock, seconds). */
void pwdedup_expire(pw_dedup *d, uint32_t before);

/* Returns all entries, oldest first, PWDEDUP_ENTRY_BYTES each. The caller
** frees the bytes. */
uint8_t *pwdedup_pack(const pw_dedup *d, size_t *len);

/* Replaces all entries by packed ones. Returns 0, or -1 when `len` is not a
** multiple of PWDEDUP_ENTRY_BYTES. */
int pwdedup_load(pw_dedup *d, const uint8_t *bytes, size_t len);

#endif
