/* pwlog.h: structured log lines (logfmt) on standard output, for changes of the process's state.
** pwtrace.h writes the lines of requests in the same format. */
#ifndef PWLOG_H
#define PWLOG_H

#include <stddef.h>
#include <syslog.h>

/* Sets the instance and role in each line. Called once, before any other thread runs; the strings
** are not copied and must stay valid. */
void pwlog_init(const char *instance, const char *role);

/* Writes "ts=S.MS inst=INSTANCE ev=EVENT level=LEVEL role=ROLE key=value ...".
** `prio` is a level of <syslog.h>; `fmt` gives the key=value part and may be "". */
void pwlog(int prio, const char *event, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));

/* Writes the common start of a line, "ts=... inst=... ev=... ", to line[cap]; returns its
** length. */
size_t pwlog_head(char *line, size_t cap, const char *instance,
                  const char *event);

#endif
