/* pwtrace.h: structured lines (logfmt) on standard output, one for each
** decision, within a budget of bytes a second and never waiting.
**
** Lines of requests that went well go first when the budget is short; one line
** says how many were left out. */
#ifndef PWTRACE_H
#define PWTRACE_H

#include <stdint.h>

typedef enum pw_trace_kind {
  PWTRACE_WELL, /* a step of a request that goes well */
  PWTRACE_FAIL, /* a request was refused, retried or broken off */
  PWTRACE_STATE /* what the process believes has changed */
} pw_trace_kind;

typedef struct pw_trace pw_trace;

/* `bytes_per_s`: budget; 0 writes nothing. Writes to descriptor `fd`, which is
** made non-blocking if it is a pipe or a socket. */
pw_trace *pwtrace_new(const char *instance, int fd, int64_t bytes_per_s);
void pwtrace_free(pw_trace *t);

/* Adds "ts=... inst=... ev=EVENT ..."; fmt gives the rest as key=value. `now`
** is the monotonic time in ms. */
void pwtrace_line(pw_trace *t, pw_trace_kind kind, int64_t now,
                  const char *event, const char *fmt, ...)
    __attribute__((format(printf, 5, 6)));

/* Writes what has come together; as much as goes without waiting. */
void pwtrace_flush(pw_trace *t, int64_t now);

/* Lines left out so far. */
uint64_t pwtrace_dropped(const pw_trace *t);

#endif
