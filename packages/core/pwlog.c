/* pwlog.c: structured log lines. Each is one write(2), so that lines of threads do not mix. */
#include "pwlog.h"

#include "pwclock.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define LINE_MAX_BYTES 1024
#define MS_PER_S 1000

/* Set once before threads start, only read after that. */
static struct {
  const char *instance;
  const char *role;
} origin = {"-", "-"};

void pwlog_init(const char *instance, const char *role) {
  origin.instance = instance;
  origin.role = role;
}

size_t pwlog_head(char *line, size_t cap, const char *instance,
                  const char *event) {
  int64_t wall = pwclock_wall_ms();
  int n = snprintf(line, cap, "ts=%lld.%03d inst=%s ev=%s ",
                   (long long)(wall / MS_PER_S), (int)(wall % MS_PER_S),
                   instance, event);
  return n > 0 && (size_t)n < cap ? (size_t)n : 0;
}

static size_t head(char *line, int prio, const char *event) {
  static const char *const levels[] = {"emerg",   "alert",  "crit", "err",
                                       "warning", "notice", "info", "debug"};
  size_t n = pwlog_head(line, LINE_MAX_BYTES, origin.instance, event);
  int m = snprintf(line + n, LINE_MAX_BYTES - n, "level=%s role=%s",
                   levels[LOG_PRI(prio)], origin.role);
  return n + (m > 0 ? (size_t)m : 0);
}

void pwlog(int prio, const char *event, const char *fmt, ...) {
  char line[LINE_MAX_BYTES + 2];
  size_t n = head(line, prio, event);
  if (n < LINE_MAX_BYTES && fmt[0]) {
    line[n++] = ' ';
    va_list ap;
    va_start(ap, fmt);
    int m = vsnprintf(line + n, LINE_MAX_BYTES - n, fmt, ap);
    va_end(ap);
    n += m > 0 ? (size_t)m : 0;
  }
  if (n > LINE_MAX_BYTES)
    n = LINE_MAX_BYTES;
  line[n++] = '\n';
  ssize_t done = write(STDOUT_FILENO, line, n);
  (void)done;
}
