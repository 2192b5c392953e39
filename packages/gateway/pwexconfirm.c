/* pwexconfirm.c: whether a target still runs, after an answer that ended with its connection.
**
** A process that crashes closes its connections as one that has ended its answer does; but then nothing accepts a
** connection at its address any more. The kernel closes the listening socket of a process among its other sockets, so
** a connection may still be accepted right after the end of the answer: only one that stays open counts. The caller of
** a stream has all events by then, and waits for the end alone. */
#include "pwexint.h"

#include <errno.h>

/* Time for which a connection stays open at a target that runs, ms. */
#define HOLD_MS 50

/* Time after which a target that does not answer is taken to run, ms: only a refusal shows that it does not. */
#define CONFIRM_MS 300

/* Most connections: a target that runs may close those that it has no room for. */
#define ATTEMPTS_MAX 3

static void close_connection(pw_exchange *x) {
  pw_tcp *connection = x->confirming;
  x->confirming = NULL;
  ev_timer_stop(x->g->ev, &x->confirm_hold);
  pwtcp_close(connection, 0);
}

static void end_as_complete(pw_exchange *x, int64_t now) {
  close_connection(x);
  pwexi_end_answer(x, now);
}

/* After a stall of this process the timer fires before the end of the connection is read. */
static void on_held(struct ev_loop *ev, ev_timer *w, int events) {
  (void)ev;
  (void)events;
  pw_exchange *x = w->data;
  if (pwtcp_is_readable(x->confirming))
    pwtcp_timer(&x->g->tcp, w, 1);
  else
    end_as_complete(x, pwclock_ms());
}

static void on_connected(void *arg) {
  pw_exchange *x = arg;
  x->confirming_since = pwclock_ms();
  pwtcp_timer(&x->g->tcp, &x->confirm_hold, HOLD_MS);
}

static void on_data(void *arg, const char *data, size_t n) {
  (void)arg;
  (void)data;
  (void)n;
}

static int connect_once(pw_exchange *x, int64_t now);

static void on_ended(void *arg, pw_tcp_end how) {
  pw_exchange *x = arg;
  int64_t now = pwclock_ms();
  close_connection(x);
  if (how == PWTCP_REFUSED)
    pwexi_end_cut_answer(x, now);
  else if (x->confirm_attempts >= ATTEMPTS_MAX || !connect_once(x, now))
    pwexi_end_answer(x, now);
}

static const pw_tcp_callbacks calls = {on_connected, on_data, on_ended, NULL};

/* Returns 0 if no connection can be begun here; a refusal ends the answer at once. */
static int connect_once(pw_exchange *x, int64_t now) {
  pw_gate *g = x->g;
  x->confirming = pwtcp_connect(&g->tcp, &x->t->addr, CONFIRM_MS, &calls, x);
  if (!x->confirming && errno != ECONNREFUSED)
    return 0;
  x->confirm_attempts++;
  x->confirming_since = now;
  pwcount_add(g->p->counters, PWC_GW_CONNECTS, 1);
  if (!x->confirming)
    pwexi_end_cut_answer(x, now);
  return 1;
}

int pwexi_confirm_end(pw_exchange *x, int64_t now) {
  x->confirm_attempts = 0;
  ev_timer_init(&x->confirm_hold, on_held, 0, 0);
  x->confirm_hold.data = x;
  return connect_once(x, now);
}

void pwexi_cancel_confirmation(pw_exchange *x) {
  if (x->confirming)
    close_connection(x);
}

int pwexi_end_confirmation(pw_exchange *x, int64_t now) {
  if (!x->confirming || now - x->confirming_since < CONFIRM_MS)
    return 0;
  end_as_complete(x, now);
  return 1;
}
