/* pwstore.h: the data folder of a control instance: log and snapshots.
**
** Files, each beginning with a 16-byte header (magic, version, identity):
** identity          the disk's id and its settings' control.id log-BASE
** what follows the snapshot of index BASE (hexadecimal); records: length,
** checksum, a packed Batch snapshot          a packed Snapshot, with
** checksum A batch is one write and one sync, so a record that ends the
** segment broken was never acknowledged and is cut off; a broken record with
** more behind it is damage, and the start is refused. */
#ifndef PWSTORE_H
#define PWSTORE_H

#include "peatwell.pb-c.h"
#include "pwbuf.h"
#include "pwcode.h"
#include "pwfile.h"

#include <stdint.h>

typedef struct pw_store pw_store;

/* What the folder held when it was opened. */
typedef struct pw_store_state {
  uint64_t disk_id;
  uint64_t term;
  uint64_t vote;
  Pw__Snapshot *snapshot; /* NULL: the disk is not in a group yet */
  Pw__Entry **entries;    /* after the snapshot */
  size_t nentries;
} pw_store_state;

/* Opens dir for control.id `slot`, making the identity on an empty folder.
** Reasons are appended to err. PW_E_CORRUPT, PW_E_VERSION, PW_E_IO,
** PW_E_DISK_FULL; PW_E_SETTINGS when the disk belongs to another slot. */
pw_code pwstore_open(const char *dir, uint32_t slot, const pw_file_ops *ops,
                     pw_store **out, pw_store_state *state, pw_buf *err);
void pwstore_state_free(pw_store_state *state);
void pwstore_close(pw_store *s);

/* Begins or replaces the snapshot (its index must be new) and starts a log
** segment that holds the hard state and these entries. Synced when it returns.
*/
pw_code pwstore_snapshot(pw_store *s, const Pw__Snapshot *snapshot,
                         uint64_t term, uint64_t vote, Pw__Entry **entries,
                         size_t n);

/* Appends and syncs one batch. Entries at or below the last index replace
** what was there. PW_E_DISK_FULL: nothing was written, and it may be tried
** again; any other failure means that the process must end. */
pw_code pwstore_append(pw_store *s, uint64_t term, uint64_t vote,
                       Pw__Entry **entries, size_t n);

/* Makes sure that `bytes` more will fit: PW_OK or PW_E_DISK_FULL. */
pw_code pwstore_reserve(pw_store *s, size_t bytes);

/* Bytes in the current segment, and syncs done so far. */
uint64_t pwstore_bytes(const pw_store *s);
uint64_t pwstore_syncs(const pw_store *s);

/* Reads a record from data[n] at *at. 1: *payload, *len are filled and *at
** moved on; 0: the end (nothing, or only zeros, follow); -1: torn, the record
** runs up to or past the end; -2: damaged, more follows it. Pure. */
int pwstore_record(const uint8_t *data, size_t n, size_t *at,
                   const uint8_t **payload, size_t *len);

#endif
