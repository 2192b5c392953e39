/* pwdedup.h: keys of requests that have run, without their answers, for as long
** as they may not run again: 24 bytes each, in order of adding. */
#ifndef PWDEDUP_H
#define PWDEDUP_H

#include <stddef.h>
#include <stdint.h>

#define PWDEDUP_KEY 16   /* bytes of a key's hash */
#define PWDEDUP_BYTES 24 /* of an entry, packed */

typedef struct pw_dedup pw_dedup;

typedef struct pw_dedup_entry {
  uint8_t key[PWDEDUP_KEY];
  uint32_t at;       /* wall clock, seconds */
  uint32_t body;     /* hash of the request's body, 31 bits */
  uint32_t answered; /* 0: begun, and nobody said how it ended */
} pw_dedup_entry;

pw_dedup *pwdedup_new(void);
void pwdedup_free(pw_dedup *d);
size_t pwdedup_count(const pw_dedup *d);

/* Adds an entry whose key is not there yet. */
void pwdedup_add(pw_dedup *d, const pw_dedup_entry *e);

/* Fills out with the entry of a key, unless it is NULL; 0 when unknown. */
int pwdedup_find(const pw_dedup *d, const uint8_t key[PWDEDUP_KEY],
                 pw_dedup_entry *out);

/* Drops entries older than `before` (seconds), oldest first, up to the first
** that is not. */
void pwdedup_expire(pw_dedup *d, uint32_t before);

/* All entries as PWDEDUP_BYTES each, oldest first: the caller frees them. */
uint8_t *pwdedup_pack(const pw_dedup *d, size_t *len);

/* Replaces all entries. 0, or -1 when len is no multiple of PWDEDUP_BYTES. */
int pwdedup_load(pw_dedup *d, const uint8_t *bytes, size_t len);

#endif
