/* pwstore.c: reads and writes log segments, snapshot and identity of a data
** folder. */
#define _GNU_SOURCE
#include "pwstore.h"

#include <dirent.h>
#include <errno.h>
#include <fcntl.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>
#include <xxhash.h>

#define FILE_VERSION 1
#define PATH_BYTES 4096
#define RESERVE_STEP (256 * 1024) /* bytes of disk space reserved at a time */
#define LOG_MAGIC 0x474c5750U
#define SNAP_MAGIC 0x4e535750U
#define ID_MAGIC 0x44495750U
#define SINK_BYTES 65536 /* bytes of a snapshot buffered for one write */

typedef struct file_header {
  uint32_t magic;
  uint32_t version;
  uint64_t disk_id;
} file_header;

typedef struct record_header {
  uint32_t len;
  uint32_t zero;
  uint64_t sum;
} record_header;

typedef struct identity_file {
  file_header head;
  uint64_t control_id;
  uint64_t sum;
} identity_file;

struct pw_store {
  char dir[PATH_BYTES - 300];
  const pw_file_ops *ops;
  uint64_t disk_id;
  int fd;
  uint64_t size;     /* bytes written */
  uint64_t reserved; /* bytes allocated */
  uint64_t syncs;
};

static void path_of(const pw_store *s, const char *name, char *out) {
  snprintf(out, PATH_BYTES, "%s/%s", s->dir, name);
}

static void segment_path(const pw_store *s, uint64_t base, char *out) {
  snprintf(out, PATH_BYTES, "%s/log-%016llx", s->dir, (unsigned long long)base);
}

static pw_code io_code(void) {
  if (errno == ENOSPC || errno == EFBIG || errno == EDQUOT)
    return PW_E_DISK_FULL;
  return PW_E_IO;
}

static int all_zero(const uint8_t *p, size_t n) {
  for (size_t i = 0; i < n; i++)
    if (p[i])
      return 0;
  return 1;
}

int pwstore_read_record(const uint8_t *data, size_t n, size_t *at,
                        const uint8_t **payload, size_t *len) {
  size_t left = n - *at;
  if (all_zero(data + *at, left))
    return 0;
  record_header h;
  if (left < sizeof h)
    return -1;
  memcpy(&h, data + *at, sizeof h);
  const uint8_t *body = data + *at + sizeof h;
  size_t room = left - sizeof h;
  if (h.len <= room && h.zero == 0 && XXH3_64bits(body, h.len) == h.sum) {
    *payload = body;
    *len = h.len;
    *at += sizeof h + h.len;
    return 1;
  }
  if (h.len >= room || all_zero(body + h.len, room - h.len))
    return -1;
  return -2;
}

static pw_code check_header(const pw_store *s, const uint8_t *data, size_t n,
                            uint32_t magic, const char *path, pw_buf *err) {
  file_header h;
  if (n < sizeof h) {
    pwbuf_fmt(err, "%s: truncated: the file is shorter than its header\n",
              path);
    return PW_E_CORRUPT;
  }
  memcpy(&h, data, sizeof h);
  if (h.magic != magic) {
    pwbuf_fmt(err, "%s: not a peatwell file, or one of another type\n", path);
    return PW_E_CORRUPT;
  }
  if (h.version > FILE_VERSION) {
    pwbuf_fmt(
        err,
        "%s: format version %u is newer than version %d, the newest that this "
        "program reads\n",
        path, h.version, FILE_VERSION);
    return PW_E_VERSION;
  }
  if (h.disk_id != s->disk_id) {
    pwbuf_fmt(
        err,
        "%s: belongs to another disk: its disk id differs from that of the "
        "identity file\n",
        path);
    return PW_E_CORRUPT;
  }
  return PW_OK;
}

static pw_code write_identity(pw_store *s, const char *path,
                              uint32_t control_id) {
  identity_file f = {.head = {ID_MAGIC, FILE_VERSION, 0},
                     .control_id = control_id};
  while (f.head.disk_id == 0)
    randombytes_buf(&f.head.disk_id, sizeof f.head.disk_id);
  f.sum = XXH3_64bits(&f, offsetof(identity_file, sum));
  s->disk_id = f.head.disk_id;
  if (pwfile_replace(s->ops, s->dir, path, &f, sizeof f) != 0)
    return io_code();
  return PW_OK;
}

static pw_code read_identity(pw_store *s, uint32_t control_id, pw_buf *err) {
  char path[PATH_BYTES];
  path_of(s, "identity", path);
  size_t n;
  uint8_t *data = pwfile_read(path, &n);
  if (!data)
    return errno == ENOENT ? write_identity(s, path, control_id) : PW_E_IO;
  identity_file f = {0};
  pw_code rc = PW_OK;
  if (n >= sizeof f)
    memcpy(&f, data, sizeof f);
  s->disk_id = f.head.disk_id;
  rc = check_header(s, data, n, ID_MAGIC, path, err);
  if (rc == PW_OK && f.sum != XXH3_64bits(&f, offsetof(identity_file, sum))) {
    pwbuf_fmt(err, "%s: damaged: checksum does not match\n", path);
    rc = PW_E_CORRUPT;
  }
  if (rc == PW_OK && f.control_id != control_id) {
    pwbuf_fmt(err,
              "%s: this disk belongs to control.id %llu, not to the one in the "
              "settings\n",
              path, (unsigned long long)f.control_id);
    rc = PW_E_SETTINGS;
  }
  free(data);
  return rc;
}

static pw_code read_snapshot(pw_store *s, pw_store_state *st, pw_buf *err) {
  char path[PATH_BYTES];
  path_of(s, "snapshot", path);
  size_t n;
  uint8_t *data = pwfile_read(path, &n);
  if (!data)
    return errno == ENOENT ? PW_OK : PW_E_IO;
  pw_code rc = check_header(s, data, n, SNAP_MAGIC, path, err);
  if (rc == PW_OK) {
    size_t at = sizeof(file_header);
    const uint8_t *payload;
    size_t len;
    if (pwstore_read_record(data, n, &at, &payload, &len) == 1)
      st->snapshot = pw__snapshot__unpack(NULL, len, payload);
    if (!st->snapshot) {
      pwbuf_fmt(err, "%s: damaged: no complete snapshot record\n", path);
      rc = PW_E_CORRUPT;
    }
  }
  free(data);
  return rc;
}

/* Adds an entry that was read from the log. An index that occurred before
** replaces that entry and removes those after it. */
static pw_code take_entry(pw_store_state *st, Pw__Entry *e, size_t *cap) {
  uint64_t base = st->snapshot->index;
  if (e->index <= base)
    return PW_OK;
  size_t pos = (size_t)(e->index - base - 1);
  if (pos > st->nentries)
    return PW_E_CORRUPT;
  while (st->nentries > pos)
    pw__entry__free_unpacked(st->entries[--st->nentries], NULL);
  if (st->nentries == *cap) {
    *cap = *cap ? *cap * 2 : 64;
    Pw__Entry **grown = realloc(st->entries, sizeof(Pw__Entry *) * *cap);
    if (!grown)
      return PW_E_MEMORY;
    st->entries = grown;
  }
  Pw__Entry *copy = pw_alloc(sizeof *copy);
  *copy = *e;
  e->data.data = NULL; /* owned by the copy now */
  e->data.len = 0;
  st->entries[st->nentries++] = copy;
  return PW_OK;
}

static pw_code take_batch(pw_store_state *st, const uint8_t *payload,
                          size_t len, size_t *cap) {
  Pw__Batch *b = pw__batch__unpack(NULL, len, payload);
  if (!b)
    return PW_E_CORRUPT;
  st->term = b->term;
  st->vote = b->vote;
  pw_code rc = PW_OK;
  for (size_t i = 0; i < b->n_entries && rc == PW_OK; i++)
    rc = take_entry(st, b->entries[i], cap);
  pw__batch__free_unpacked(b, NULL);
  return rc;
}

/* Reads a segment. *good becomes the end of its last complete record. */
static pw_code read_segment(pw_store *s, const char *path, pw_store_state *st,
                            size_t *good, pw_buf *err) {
  size_t n;
  uint8_t *data = pwfile_read(path, &n);
  if (!data) {
    pwbuf_fmt(err, "%s: %s\n", path, strerror(errno));
    return errno == ENOENT ? PW_E_CORRUPT : PW_E_IO;
  }
  pw_code rc = check_header(s, data, n, LOG_MAGIC, path, err);
  size_t at = sizeof(file_header);
  size_t cap = 0;
  int got = 1;
  while (rc == PW_OK) {
    const uint8_t *payload;
    size_t len;
    got = pwstore_read_record(data, n, &at, &payload, &len);
    if (got != 1)
      break;
    rc = take_batch(st, payload, len, &cap);
  }
  if (rc == PW_OK && got == -2) {
    pwbuf_fmt(err, "%s: damaged at byte %zu, and more data follows\n", path,
              at);
    rc = PW_E_CORRUPT;
  }
  free(data);
  *good = at;
  return rc;
}

/* Removes every segment but the one that follows snapshot `base`. */
static void remove_other_segments(const pw_store *s, uint64_t base) {
  char keep[PATH_BYTES];
  char path[PATH_BYTES];
  segment_path(s, base, keep);
  DIR *d = opendir(s->dir);
  const struct dirent *e;
  while (d && (e = readdir(d)) != NULL) {
    if (strncmp(e->d_name, "log-", 4) != 0)
      continue;
    path_of(s, e->d_name, path);
    if (strcmp(path, keep) != 0)
      unlink(path);
  }
  if (d)
    closedir(d);
}

/* Opens a segment for appending at byte `size` and cuts off what follows, a
** torn record or reserved space. */
static pw_code open_segment(pw_store *s, uint64_t base, uint64_t size) {
  char path[PATH_BYTES];
  segment_path(s, base, path);
  int fd = open(path, O_WRONLY | O_CLOEXEC);
  if (fd < 0)
    return io_code();
  if (ftruncate(fd, (off_t)size) != 0 || lseek(fd, (off_t)size, SEEK_SET) < 0 ||
      s->ops->sync(s->ops->arg, fd) != 0) {
    close(fd);
    return io_code();
  }
  if (s->fd >= 0)
    close(s->fd);
  s->fd = fd;
  s->size = size;
  s->reserved = size;
  return PW_OK;
}

/* Reads the segment that belongs to the snapshot and removes all others, which
** were left by a crash while a snapshot was written or old segments removed. */
static pw_code read_log(pw_store *s, pw_store_state *st, pw_buf *err) {
  char path[PATH_BYTES];
  size_t good = 0;
  uint64_t base = st->snapshot->index;
  segment_path(s, base, path);
  pw_code rc = read_segment(s, path, st, &good, err);
  if (rc == PW_OK)
    rc = open_segment(s, base, good);
  if (rc == PW_OK)
    remove_other_segments(s, base);
  return rc;
}

pw_code pwstore_open(const char *dir, uint32_t control_id,
                     const pw_file_ops *ops, pw_store **out, pw_store_state *st,
                     pw_buf *err) {
  *st = (pw_store_state){0};
  pw_store *s = pw_alloc(sizeof *s);
  s->fd = -1;
  s->ops = ops;
  pw_copy(s->dir, sizeof s->dir, dir);
  pw_code rc = PW_OK;
  if (mkdir(dir, 0700) != 0 && errno != EEXIST) {
    pwbuf_fmt(err, "%s: %s\n", dir, strerror(errno));
    rc = PW_E_IO;
  }
  if (rc == PW_OK)
    rc = read_identity(s, control_id, err);
  if (rc == PW_OK)
    rc = read_snapshot(s, st, err);
  if (rc == PW_OK && st->snapshot)
    rc = read_log(s, st, err);
  st->disk_id = s->disk_id;
  if (rc != PW_OK) {
    pwstore_close(s);
    pwstore_state_free(st);
    return rc;
  }
  *out = s;
  return PW_OK;
}

void pwstore_state_free(pw_store_state *st) {
  for (size_t i = 0; i < st->nentries; i++)
    pw__entry__free_unpacked(st->entries[i], NULL);
  free(st->entries);
  if (st->snapshot)
    pw__snapshot__free_unpacked(st->snapshot, NULL);
  *st = (pw_store_state){0};
}

void pwstore_close(pw_store *s) {
  if (!s)
    return;
  if (s->fd >= 0)
    close(s->fd);
  free(s);
}

/* Appends a record, header and payload, to a buffer. */
static void frame(pw_buf *out, const uint8_t *payload, size_t len) {
  record_header h = {(uint32_t)len, 0, XXH3_64bits(payload, len)};
  pwbuf_add(out, &h, sizeof h);
  pwbuf_add(out, payload, len);
}

static void frame_batch(pw_buf *out, uint64_t term, uint64_t vote,
                        Pw__Entry **entries, size_t n) {
  Pw__Batch b = PW__BATCH__INIT;
  b.term = term;
  b.vote = vote;
  b.entries = entries;
  b.n_entries = n;
  size_t len = pw__batch__get_packed_size(&b);
  uint8_t *bytes = pw_alloc(len);
  pw__batch__pack(&b, bytes);
  frame(out, bytes, len);
  free(bytes);
}

/* Receives a packed snapshot in pieces. A snapshot is packed twice, first
** into its checksum and then into the file, because a packed copy in memory
** would take as much memory again as the snapshot. */
typedef struct snapshot_sink {
  ProtobufCBuffer base; /* must be first: append casts it to the sink */
  XXH3_state_t *sum;    /* NULL: write to the file */
  const pw_file_ops *ops;
  int fd;
  int rc;
  size_t n;
  uint8_t buffered[SINK_BYTES];
} snapshot_sink;

static void flush_sink(snapshot_sink *k) {
  if (k->rc == 0)
    k->rc = pwfile_write_all(k->ops, k->fd, k->buffered, k->n);
  k->n = 0;
}

static void append_to_sink(ProtobufCBuffer *buffer, size_t len,
                           const uint8_t *data) {
  snapshot_sink *k = (snapshot_sink *)buffer;
  if (k->sum) {
    XXH3_64bits_update(k->sum, data, len);
    return;
  }
  if (k->n + len > sizeof k->buffered)
    flush_sink(k);
  if (len <= sizeof k->buffered) {
    memcpy(k->buffered + k->n, data, len);
    k->n += len;
  } else if (k->rc == 0) {
    k->rc = pwfile_write_all(k->ops, k->fd, data, len);
  }
}

/* Argument of fill_snapshot. */
typedef struct snapshot_fill {
  file_header head;
  const Pw__Snapshot *snapshot;
} snapshot_fill;

static int fill_snapshot(void *arg, const pw_file_ops *ops, int fd) {
  const snapshot_fill *f = arg;
  snapshot_sink *k = pw_alloc(sizeof *k);
  k->base.append = append_to_sink;
  k->ops = ops;
  k->fd = fd;
  k->sum = XXH3_createState();
  if (!k->sum)
    abort();
  XXH3_64bits_reset(k->sum);
  size_t len = pw__snapshot__pack_to_buffer(f->snapshot, &k->base);
  record_header h = {(uint32_t)len, 0, XXH3_64bits_digest(k->sum)};
  XXH3_freeState(k->sum);
  k->sum = NULL;
  append_to_sink(&k->base, sizeof f->head, (const uint8_t *)&f->head);
  append_to_sink(&k->base, sizeof h, (const uint8_t *)&h);
  pw__snapshot__pack_to_buffer(f->snapshot, &k->base);
  flush_sink(k);
  int rc = k->rc;
  free(k);
  return rc;
}

static pw_code write_snapshot(pw_store *s, const Pw__Snapshot *snapshot) {
  snapshot_fill f = {{SNAP_MAGIC, FILE_VERSION, s->disk_id}, snapshot};
  char path[PATH_BYTES];
  path_of(s, "snapshot", path);
  int rc = pwfile_replace_with(s->ops, s->dir, path, fill_snapshot, &f);
  return rc == 0 ? PW_OK : io_code();
}

/* The new segment is complete on disk before the snapshot that refers to it,
** and old segments are removed last, so a crash between two steps loses
** nothing. */
pw_code pwstore_snapshot(pw_store *s, const Pw__Snapshot *snapshot,
                         uint64_t term, uint64_t vote, Pw__Entry **entries,
                         size_t n) {
  pw_buf out = {0};
  file_header h = {LOG_MAGIC, FILE_VERSION, s->disk_id};
  pwbuf_add(&out, &h, sizeof h);
  frame_batch(&out, term, vote, entries, n);
  char path[PATH_BYTES];
  segment_path(s, snapshot->index, path);
  int rc = pwfile_replace(s->ops, s->dir, path, out.data, out.len);
  uint64_t size = out.len;
  pwbuf_free(&out);
  if (rc != 0)
    return io_code();
  pw_code code = write_snapshot(s, snapshot);
  if (code == PW_OK)
    code = open_segment(s, snapshot->index, size);
  if (code == PW_OK)
    remove_other_segments(s, snapshot->index);
  s->syncs += 4;
  return code;
}

/* Removes what a failed write left in the segment. -1 when that fails too. */
static int undo_write(pw_store *s) {
  s->reserved = s->size;
  if (ftruncate(s->fd, (off_t)s->size) != 0)
    return -1;
  return lseek(s->fd, (off_t)s->size, SEEK_SET) < 0 ? -1 : 0;
}

pw_code pwstore_append(pw_store *s, uint64_t term, uint64_t vote,
                       Pw__Entry **entries, size_t n) {
  pw_buf out = {0};
  pw_code code = PW_OK;
  frame_batch(&out, term, vote, entries, n);
  if (pwfile_write_all(s->ops, s->fd, out.data, out.len) != 0) {
    code = io_code();
    if (code == PW_E_DISK_FULL && undo_write(s) != 0)
      code = PW_E_IO;
  } else if (s->ops->sync(s->ops->arg, s->fd) != 0) {
    code = PW_E_IO; /* it is not known what is on the disk */
  } else {
    s->size += out.len;
    s->syncs++;
  }
  pwbuf_free(&out);
  return code;
}

pw_code pwstore_reserve(pw_store *s, size_t bytes) {
  uint64_t need = s->size + bytes;
  if (need <= s->reserved)
    return PW_OK;
  uint64_t upto = (need / RESERVE_STEP + 1) * RESERVE_STEP;
  if (s->ops->reserve(s->ops->arg, s->fd, (int64_t)s->reserved,
                      (int64_t)(upto - s->reserved)) != 0)
    return PW_E_DISK_FULL;
  s->reserved = upto;
  return PW_OK;
}

uint64_t pwstore_bytes(const pw_store *s) {
  return s->size;
}

uint64_t pwstore_syncs(const pw_store *s) {
  return s->syncs;
}
