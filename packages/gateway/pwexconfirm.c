/* pwexconfirm.c: whether a target still runs, after an answer that ended with its connection.
**
** A process that crashes closes its connections as one that has ended its answer does; but nothing accepts a connection
** at its address any more. The caller of a stream has all events by then, and waits for the end alone. */
#include "pwexint.h"

#include <errno.h>

/* Time after which the target is taken to run, ms: only a refused connection shows that it does not. */
#define CONFIRM_MS 300

static void close_connection(pw_exchange *x) {
  pw_tcp *connection = x->confirming;
  x->confirming = NULL;
  pwtcp_close(connection, 0);
}

static void on_connected(void *arg) {
  pw_exchange *x = arg;
  close_connection(x);
  pwexi_end_answer(x, pwclock_ms());
}

static void on_data(void *arg, const char *data, size_t n) {
  (void)arg;
  (void)data;
  (void)n;
}

static void on_ended(void *arg, pw_tcp_end how) {
  pw_exchange *x = arg;
  close_connection(x);
  if (how == PWTCP_REFUSED)
    pwexi_end_cut_answer(x, pwclock_ms());
  else
    pwexi_end_answer(x, pwclock_ms());
}

static const pw_tcp_callbacks calls = {on_connected, on_data, on_ended, NULL};

int pwexi_confirm_end(pw_exchange *x, int64_t now) {
  pw_gate *g = x->g;
  x->confirming = pwtcp_connect(&g->tcp, &x->t->addr, CONFIRM_MS, &calls, x);
  if (!x->confirming && errno != ECONNREFUSED)
    return 0;
  x->confirming_since = now;
  pwcount_add(g->p->counters, PWC_GW_CONNECTS, 1);
  if (!x->confirming)
    pwexi_end_cut_answer(x, now);
  return 1;
}

void pwexi_cancel_confirmation(pw_exchange *x) {
  if (x->confirming)
    close_connection(x);
}

void pwexi_check_confirmation(pw_exchange *x, int64_t now) {
  if (!x->confirming || now - x->confirming_since < CONFIRM_MS)
    return;
  close_connection(x);
  pwexi_end_answer(x, now);
}
