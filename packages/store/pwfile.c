/* pwfile.c: file calls of the store, and atomic replacement of a file. */
#define _GNU_SOURCE
#include "pwfile.h"

#include "pwbuf.h"

#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/stat.h>
#include <unistd.h>

#define FILE_MODE 0600
#define PATH_BYTES 4096

static ssize_t posix_write(void *arg, int fd, const void *data, size_t n) {
  (void)arg;
  return write(fd, data, n);
}

static int posix_sync(void *arg, int fd) {
  (void)arg;
  return fdatasync(fd);
}

static int posix_reserve(void *arg, int fd, int64_t offset, int64_t n) {
  (void)arg;
  int e = posix_fallocate(fd, offset, n);
  if (e == 0)
    return 0;
  errno = e;
  return -1;
}

static int posix_rename(void *arg, const char *from, const char *to) {
  (void)arg;
  return rename(from, to);
}

static const pw_file_ops posix_ops = {NULL, posix_write, posix_sync,
                                      posix_reserve, posix_rename};

const pw_file_ops *pwfile_posix(void) {
  return &posix_ops;
}

int pwfile_write_all(const pw_file_ops *ops, int fd, const void *data,
                     size_t n) {
  const char *p = data;
  while (n > 0) {
    ssize_t done = ops->write(ops->arg, fd, p, n);
    if (done < 0 && errno == EINTR)
      continue;
    if (done < 0)
      return -1;
    p += done;
    n -= (size_t)done;
  }
  return 0;
}

int pwfile_sync_dir(const pw_file_ops *ops, const char *dir) {
  int fd = open(dir, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (fd < 0)
    return -1;
  int rc = ops->sync(ops->arg, fd);
  close(fd);
  return rc;
}

uint8_t *pwfile_read(const char *path, size_t *n) {
  uint8_t *data = NULL;
  int fd = open(path, O_RDONLY | O_CLOEXEC);
  if (fd < 0)
    return NULL;
  struct stat st;
  if (fstat(fd, &st) != 0)
    goto fail;
  size_t size = (size_t)st.st_size;
  data = pw_alloc(size + 1);
  size_t got = 0;
  while (got < size) {
    ssize_t k = read(fd, data + got, size - got);
    if (k < 0 && errno == EINTR)
      continue;
    if (k < 0)
      goto fail;
    if (k == 0)
      break;
    got += (size_t)k;
  }
  close(fd);
  *n = got;
  return data;
fail:
  close(fd);
  free(data);
  return NULL;
}

int pwfile_replace_with(const pw_file_ops *ops, const char *dir,
                        const char *path, pw_file_fill fill, void *arg) {
  char tmp[PATH_BYTES];
  snprintf(tmp, sizeof tmp, "%s.tmp", path);
  int fd = open(tmp, O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, FILE_MODE);
  if (fd < 0)
    return -1;
  if (fill(arg, ops, fd) != 0)
    goto fail;
  if (ops->sync(ops->arg, fd) != 0)
    goto fail;
  close(fd);
  if (ops->rename(ops->arg, tmp, path) != 0)
    return -1;
  return pwfile_sync_dir(ops, dir);
fail:
  close(fd);
  unlink(tmp);
  return -1;
}

/* Argument of fill_bytes. */
typedef struct byte_span {
  const void *data;
  size_t n;
} byte_span;

static int fill_bytes(void *arg, const pw_file_ops *ops, int fd) {
  const byte_span *p = arg;
  return pwfile_write_all(ops, fd, p->data, p->n);
}

int pwfile_replace(const pw_file_ops *ops, const char *dir, const char *path,
                   const void *data, size_t n) {
  byte_span p = {data, n};
  return pwfile_replace_with(ops, dir, path, fill_bytes, &p);
}
