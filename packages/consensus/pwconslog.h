/* pwconslog.h: the in-memory log of one member, which starts after its snapshot. */
#ifndef PWCONSLOG_H
#define PWCONSLOG_H

#include "pwcons.h"

typedef struct pw_cons_log {
  Pw__Snapshot *snapshot; /* the entries follow it */
  Pw__Entry **entry;      /* entry[i] has index snapshot->index + 1 + i */
  size_t n;
  size_t cap;
} pw_cons_log;

/* Takes ownership of the snapshot; entries are copied. */
void pwconslog_init(pw_cons_log *l, Pw__Snapshot *snapshot, Pw__Entry **entries,
                    size_t n);
void pwconslog_free(pw_cons_log *l);

/* The index of the last entry, or of the snapshot if there is none. */
uint64_t pwconslog_last(const pw_cons_log *l);

/* The entry at an index; NULL if it is compacted or past the end. */
Pw__Entry *pwconslog_at(const pw_cons_log *l, uint64_t index);

/* The term at an index, which may be the snapshot's; 0: unknown. */
uint64_t pwconslog_term(const pw_cons_log *l, uint64_t index);

/* Appends an entry and takes ownership of it. */
void pwconslog_append(pw_cons_log *l, Pw__Entry *e);

/* Removes the entries from an index on. */
void pwconslog_truncate(pw_cons_log *l, uint64_t index);

/* Replaces the snapshot and removes the entries that it covers, or all entries
** with `all`. Takes ownership of the snapshot. */
void pwconslog_compact(pw_cons_log *l, Pw__Snapshot *snapshot, int all);

/* Fills config from the last CONFIG entry at or before `index`, or else from
** the snapshot. Returns the index of that entry or snapshot. */
uint64_t pwconslog_config(const pw_cons_log *l, uint64_t index,
                          pw_cons_config *config);

#endif
