/* pwtrace.c: structured log lines within a budget of bytes per second. */
#include "pwtrace.h"

#include "pwbuf.h"
#include "pwlog.h"

#include <errno.h>
#include <fcntl.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/stat.h>
#include <unistd.h>

#define LINE_BYTES 512            /* longest line; a longer one is cut */
#define PENDING_BYTES (64 * 1024) /* most bytes that wait to be written */
#define FLUSH_BYTES (16 * 1024)   /* waiting bytes that cause an early write */
#define MS_PER_S 1000

/* Share of the budget that lines of successful requests may use; the rest is for failures. */
#define ROUTINE_SHARE 0.5

struct pw_trace {
  char *instance;
  int fd;
  double rate; /* budget, bytes per second */
  double left; /* bytes that may be written now */
  int64_t at;  /* when `left` was last refilled, ms */
  pw_buf out;
  size_t out_at;              /* bytes of `out` already written */
  uint64_t dropped, reported; /* lines dropped, and reported as dropped */
};

pw_trace *pwtrace_new(const char *instance, int fd, int64_t bytes_per_s) {
  pw_trace *t = pw_alloc(sizeof *t);
  struct stat st;
  t->instance = pw_dup(instance);
  t->fd = fd;
  t->rate = (double)bytes_per_s;
  t->left = t->rate;
  if (fstat(fd, &st) == 0 && (S_ISFIFO(st.st_mode) || S_ISSOCK(st.st_mode)))
    fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) | O_NONBLOCK);
  return t;
}

void pwtrace_free(pw_trace *t) {
  if (!t)
    return;
  pwtrace_flush(t, t->at);
  pwbuf_free(&t->out);
  free(t->instance);
  free(t);
}

static void refill(pw_trace *t, int64_t now) {
  if (now <= t->at)
    return;
  t->left += t->rate * (double)(now - t->at) / MS_PER_S;
  if (t->left > t->rate)
    t->left = t->rate;
  t->at = now;
}

static void append(pw_trace *t, const char *line, size_t n) {
  t->left -= (double)n;
  pwbuf_add(&t->out, line, n);
}

static size_t head(const pw_trace *t, char *line, const char *event) {
  return pwlog_head(line, LINE_BYTES, t->instance, event);
}

static void report_dropped(pw_trace *t) {
  char line[LINE_BYTES];
  if (t->dropped == t->reported)
    return;
  size_t n = head(t, line, "left-out");
  n += (size_t)snprintf(line + n, LINE_BYTES - n, "lines=%llu\n",
                        (unsigned long long)(t->dropped - t->reported));
  t->reported = t->dropped;
  append(t, line, n);
}

/* Whether the budget and the buffer have room for a line of this kind. */
static int has_room(const pw_trace *t, pw_trace_kind kind) {
  if (t->out.len - t->out_at + 2 * LINE_BYTES > PENDING_BYTES)
    return 0;
  double reserved = kind == PWTRACE_ROUTINE ? t->rate * (1 - ROUTINE_SHARE) : 0;
  return t->left - LINE_BYTES > reserved;
}

void pwtrace_line(pw_trace *t, pw_trace_kind kind, int64_t now,
                  const char *event, const char *fmt, ...) {
  char line[LINE_BYTES];
  if (!t || t->rate <= 0)
    return;
  refill(t, now);
  if (!has_room(t, kind)) {
    t->dropped++;
    return;
  }
  report_dropped(t);
  size_t n = head(t, line, event);
  va_list ap;
  va_start(ap, fmt);
  int m = vsnprintf(line + n, LINE_BYTES - n, fmt, ap);
  va_end(ap);
  n += m > 0 ? (size_t)m : 0;
  if (n > LINE_BYTES - 1)
    n = LINE_BYTES - 1;
  line[n++] = '\n';
  append(t, line, n);
  if (t->out.len - t->out_at > FLUSH_BYTES)
    pwtrace_flush(t, now);
}

void pwtrace_flush(pw_trace *t, int64_t now) {
  if (!t || t->out.len == t->out_at)
    return;
  refill(t, now);
  ssize_t n = write(t->fd, t->out.data + t->out_at, t->out.len - t->out_at);
  if (n > 0)
    t->out_at += (size_t)n;
  else if (errno != EAGAIN && errno != EINTR)
    t->out_at = t->out.len; /* the reader is gone: drop these lines */
  if (t->out_at == t->out.len)
    t->out.len = t->out_at = 0;
}

uint64_t pwtrace_dropped(const pw_trace *t) {
  return t ? t->dropped : 0;
}
