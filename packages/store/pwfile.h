/* pwfile.h: the file calls the store makes, so that tests can fail them. */
#ifndef PWFILE_H
#define PWFILE_H

#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

/* Every call returns -1 with errno set when it fails, as POSIX does. */
typedef struct pw_file_ops {
  void *arg;
  ssize_t (*write)(void *arg, int fd, const void *data, size_t n);
  int (*sync)(void *arg, int fd);
  int (*reserve)(void *arg, int fd, int64_t offset, int64_t n);
  int (*rename)(void *arg, const char *from, const char *to);
} pw_file_ops;

/* The real calls. */
const pw_file_ops *pwfile_posix(void);

/* Writes all n bytes. Returns 0 or -1. */
int pwfile_write_all(const pw_file_ops *ops, int fd, const void *data,
                     size_t n);

/* Syncs a folder, so that names made or renamed in it last. */
int pwfile_sync_dir(const pw_file_ops *ops, const char *dir);

/* Reads a whole file into memory the caller frees; NULL when it fails. */
uint8_t *pwfile_read(const char *path, size_t *n);

/* Writes a file's content to fd. Returns 0 or -1. */
typedef int (*pw_file_fill)(void *arg, const pw_file_ops *ops, int fd);

/* Makes path hold exactly what fill writes, by write, sync, rename, sync
** folder. Returns 0, or -1 with path as it was before (or, when only the
** folder's sync failed, as it is to be). */
int pwfile_replace_with(const pw_file_ops *ops, const char *dir,
                        const char *path, pw_file_fill fill, void *arg);

/* The same with these bytes. */
int pwfile_replace(const pw_file_ops *ops, const char *dir, const char *path,
                   const void *data, size_t n);

#endif
