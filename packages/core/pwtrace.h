/* pwtrace.h: structured log lines (logfmt) on standard output, one per decision on a request. They
** stay within a budget of bytes per second, and writing never blocks.
**
** When the budget runs short, lines of successful requests are dropped first; one line then says
** how many were dropped. */
#ifndef PWTRACE_H
#define PWTRACE_H

#include <stdint.h>

typedef enum pw_trace_kind {
  PWTRACE_ROUTINE, /* a step of a request without a failure */
  PWTRACE_FAIL,    /* a request was refused, retried or aborted */
  PWTRACE_STATE /* a change in what the process knows, such as the health of a target */
} pw_trace_kind;

typedef struct pw_trace pw_trace;

/* Writes to descriptor `fd`, which becomes non-blocking if it is a pipe or a socket. `bytes_per_s`:
** the budget; 0 writes nothing. */
pw_trace *pwtrace_new(const char *instance, int fd, int64_t bytes_per_s);
void pwtrace_free(pw_trace *t);

/* Adds a line "ts=... inst=... ev=EVENT ..."; `fmt` gives the rest as key=value. `now` is the
** monotonic time in ms. */
void pwtrace_line(pw_trace *t, pw_trace_kind kind, int64_t now,
                  const char *event, const char *fmt, ...)
    __attribute__((format(printf, 5, 6)));

/* Writes buffered lines, as far as the descriptor accepts them without blocking. */
void pwtrace_flush(pw_trace *t, int64_t now);

/* Lines dropped since the start. */
uint64_t pwtrace_dropped(const pw_trace *t);

#endif
