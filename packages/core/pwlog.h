/* pwlog.h: structured lines (logfmt) to standard output, for changes of state.
** pwtrace.h writes those of requests, in the same form. */
#ifndef PWLOG_H
#define PWLOG_H

#include <stddef.h>
#include <syslog.h>

/* Names the instance and role that each line carries. Called once, before
** any other thread runs; the two strings are kept, not copied. */
void pwlog_init(const char *instance, const char *role);

/* Writes "ts=S.MS inst=INSTANCE ev=EVENT level=LEVEL role=ROLE key=value ...".
** prio is a level of <syslog.h>; fmt gives the key=value part and may be "". */
void pwlog(int prio, const char *event, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));

/* The beginning that all lines share, in line[cap]: "ts=... inst=... ev=... ".
** Gives its length. */
size_t pwlog_head(char *line, size_t cap, const char *instance,
                  const char *event);

#endif
