/* pwfile.h: file calls of the store, replaceable so that tests can make them
** fail. */
#ifndef PWFILE_H
#define PWFILE_H

#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

/* Each call returns -1 and sets errno on failure, as in POSIX. */
typedef struct pw_file_ops {
  void *arg;
  ssize_t (*write)(void *arg, int fd, const void *data, size_t n);
  int (*sync)(void *arg, int fd);
  int (*reserve)(void *arg, int fd, int64_t offset, int64_t n);
  int (*rename)(void *arg, const char *from, const char *to);
} pw_file_ops;

/* The calls of the operating system. */
const pw_file_ops *pwfile_posix(void);

/* Writes all n bytes. Returns 0, or -1 with errno set. */
int pwfile_write_all(const pw_file_ops *ops, int fd, const void *data,
                     size_t n);

/* Syncs a folder, so that files created or renamed in it survive a crash. */
int pwfile_sync_dir(const pw_file_ops *ops, const char *dir);

/* Reads a whole file into memory that the caller frees. NULL on failure. */
uint8_t *pwfile_read(const char *path, size_t *n);

/* Callback that writes a file's content to fd. Returns 0, or -1 with errno
** set. */
typedef int (*pw_file_fill)(void *arg, const pw_file_ops *ops, int fd);

/* Atomically replaces the file at `path` by what `fill` writes: writes a
** temporary file, syncs it, renames it and syncs the folder. Returns 0, or
** -1 with the old file in place; when only the folder's sync failed, with
** the new one. */
int pwfile_replace_with(const pw_file_ops *ops, const char *dir,
                        const char *path, pw_file_fill fill, void *arg);

/* Atomically replaces the file at `path` by the n bytes of `data`. */
int pwfile_replace(const pw_file_ops *ops, const char *dir, const char *path,
                   const void *data, size_t n);

#endif
