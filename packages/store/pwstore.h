/* pwstore.h: the data folder of a control instance: log and snapshots.
**
** Each file begins with a 16-byte header: magic, format version and disk id.
**
**   identity   the disk id and the control.id that the disk belongs to
**   snapshot   one record with a packed Snapshot
**   log-BASE   the log segment after the snapshot of index BASE (hexadecimal):
**              a sequence of records, each with a packed Batch
**
** A record is a length, a checksum and the packed message. A batch is written
** by one write and synced before it is acknowledged. So an incomplete record at
** the end of a segment was never acknowledged and is cut off, while a broken
** record that is followed by more data is damage, and pwstore_open fails. */
#ifndef PWSTORE_H
#define PWSTORE_H

#include "peatwell.pb-c.h"
#include "pwbuf.h"
#include "pwcode.h"
#include "pwfile.h"

#include <stdint.h>

typedef struct pw_store pw_store;

/* Contents of the folder when it was opened. */
typedef struct pw_store_state {
  uint64_t disk_id;
  uint64_t term;
  uint64_t vote;
  Pw__Snapshot *snapshot; /* NULL: the disk does not belong to a group yet */
  Pw__Entry **entries;    /* log entries after the snapshot */
  size_t nentries;
} pw_store_state;

/* Opens the folder `dir` for a control instance and creates the identity
** file in an empty one. Reasons of failures are appended to err.
** PW_E_CORRUPT, PW_E_VERSION, PW_E_IO, PW_E_DISK_FULL; PW_E_SETTINGS when
** the disk belongs to another control.id. */
pw_code pwstore_open(const char *dir, uint32_t control_id,
                     const pw_file_ops *ops, pw_store **out,
                     pw_store_state *state, pw_buf *err);
void pwstore_state_free(pw_store_state *state);
void pwstore_close(pw_store *s);

/* Writes the first snapshot or replaces the old one, whose index must be
** another, and starts a log segment with term, vote and these entries. All
** is synced when it returns. */
pw_code pwstore_snapshot(pw_store *s, const Pw__Snapshot *snapshot,
                         uint64_t term, uint64_t vote, Pw__Entry **entries,
                         size_t n);

/* Appends and syncs one batch. An entry whose index is in the log already
** replaces it and removes all entries after it. PW_E_DISK_FULL: nothing was
** written, and the call may be repeated; after any other failure the process
** must end, because it is not known what is on the disk. */
pw_code pwstore_append(pw_store *s, uint64_t term, uint64_t vote,
                       Pw__Entry **entries, size_t n);

/* Reserves disk space for `bytes` more: PW_OK or PW_E_DISK_FULL. */
pw_code pwstore_reserve(pw_store *s, size_t bytes);

/* Bytes in the current log segment, and number of syncs so far. */
uint64_t pwstore_bytes(const pw_store *s);
uint64_t pwstore_syncs(const pw_store *s);

/* Reads the record at data[*at], with n bytes in total. Returns 1 with
** *payload and *len filled and *at after the record; 0 at the end, where
** nothing or only zeros follow; -1 for a torn record, which reaches to the
** end or beyond; -2 for a damaged record with more data after it. */
int pwstore_read_record(const uint8_t *data, size_t n, size_t *at,
                        const uint8_t **payload, size_t *len);

#endif
