/* pwconnsweep.c: ends HTTP/1 connections that are idle, slow to send or do not read. */
#include "pwclock.h"
#include "pwconnint.h"
#include "pwconnmem.h"
#include "pwlog.h"

/* Whether the caller has not read all of its answer yet. If it reads nothing, pwconns_close_stalled resets
** the connection. */
static int has_pending_answer(const pw_conn *c) {
  return c->all->stall_complete_ms && pwtcp_pending(c->tcp) > 0;
}

/* Closes a connection that was idle for too long, or refuses a request that arrives too slowly. `now` is a
** time of pwtcp_clock: time in which the loop stalled does not count against a caller. */
static void check_expiry(pw_conn *c, int64_t now) {
  const pw_conn_limits *l = &c->all->limits;
  if (c->is_busy)
    return;
  if (pwconnmem_must_evict(c, now)) {
    pwconni_refuse_busy(c, LACKS_MEMORY);
    return;
  }
  int64_t age = now - c->since;
  int64_t header_ms = l->header_ms ? l->header_ms : l->idle_ms;
  if (!pwconni_is_receiving(c)) {
    if (age > l->idle_ms && pwconni_is_idle(c) && !has_pending_answer(c))
      pwconni_close(c, CLOSE_AFTER_WRITE);
  } else if (c->request.state == PWH1_HEAD) {
    if (age > header_ms)
      pwconni_refuse_and_close(c, PW_E_SLOW, "");
  } else if (age > header_ms + l->idle_ms) {
    pwconni_refuse_and_close(c, PW_E_SLOW, "");
  }
}

/* --- callers that do not read --- */

/* Whether the caller has read nothing for too long; `now` is a time of pwtcp_clock. */
static int has_stalled(pw_conn *c, int64_t now) {
  uint64_t acked = pwtcp_pending(c->tcp) ? pwtcp_acknowledged(c->tcp) : 0;
  if (pwtcp_pending(c->tcp) == 0 || acked != c->acked || !c->progress_at) {
    c->acked = acked;
    c->progress_at = now;
  }
  int64_t max = c->state ? c->all->stall_ms : c->all->stall_complete_ms;
  return max && now - c->progress_at >= max;
}

static void log_stalled(pw_conns *s, const pw_conn *c, int64_t now) {
  s->nstalled++;
  if (s->stalled_logged_at &&
      now - s->stalled_logged_at < PWCONN_LOG_INTERVAL_MS)
    return;
  s->stalled_logged_at = now;
  pwlog(LOG_NOTICE, "caller-stalled",
        "ms=%lld untaken_bytes=%zu times=%lld connections=%d",
        (long long)(now - c->progress_at), pwtcp_pending(c->tcp),
        (long long)s->nstalled, s->count);
}

void pwconns_close_stalled(pw_conns *s, int64_t at) {
  int64_t now = pwlag_clock(&s->tcp->lag, at);
  for (pw_conn *c = s->first, *next; c; c = next) {
    next = c->next;
    if (has_stalled(c, now)) {
      log_stalled(s, c, now);
      pwconni_close(c, CLOSE_RESET);
    }
  }
}

void pwconns_close_idle(pw_conns *s) {
  for (pw_conn *c = s->first, *next; c; c = next) {
    next = c->next;
    if (pwconni_is_idle(c))
      pwconni_close(c, CLOSE_AFTER_WRITE);
  }
}

int pwconns_are_receiving(const pw_conns *s) {
  for (const pw_conn *c = s->first; c; c = c->next)
    if (pwconni_is_receiving(c))
      return 1;
  return 0;
}

void pwconns_refuse_receiving(pw_conns *s, pw_code code, int64_t retry_ms) {
  for (pw_conn *c = s->first, *next; c; c = next) {
    next = c->next;
    if (!pwconni_is_receiving(c))
      continue;
    c->close_next = 1;
    pwconn_refuse(c, code, "", retry_ms);
  }
}

void pwconns_close_expired(pw_conns *s, int64_t at) {
  int64_t now = pwlag_clock(&s->tcp->lag, at);
  for (pw_conn *c = s->first, *next; c; c = next) {
    next = c->next;
    check_expiry(c, now);
  }
}
