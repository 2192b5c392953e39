/* pwexlog.c: log lines of an exchange. */
#include "pwexint.h"

#include <stdarg.h>
#include <stdio.h>

void pwexi_log(const pw_exchange *x, pw_trace_kind kind, const char *event,
               const char *fmt, ...) {
  char text[320];
  va_list ap;
  va_start(ap, fmt);
  vsnprintf(text, sizeof text, fmt, ap);
  va_end(ap);
  int64_t now = pwclock_ms();
  pwtrace_line(x->g->trace, kind, now, event,
               "req=%.*s route=%s ws=%s age=%lld %s", (int)x->request_info.id.n,
               x->request_info.id.p ? x->request_info.id.p : "",
               x->route ? x->route->name : "-",
               x->workspace ? x->workspace->name : "-",
               (long long)(x->arrived ? now - x->arrived : 0), text);
}
