/* pwgateway.c: the gateway role: event loop, readiness and planned stop. */
#define _GNU_SOURCE
#include "pwgateway.h"

#include "pwgate.h"
#include "pwlog.h"
#include "pwversions.h"

#include <errno.h>
#include <fcntl.h>
#include <limits.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

/* Interval of the periodic work, in s and in ms. */
#define TICK_S 0.02
#define TICK_MS 20

#define STALL_MS 100 /* a longer loop iteration counts as a stall, ms */
#define US_PER_MS 1000
#define SWEEP_MS 250      /* interval of sweep, ms */
#define LAG_LOGGED_MS 100 /* smallest lag that is logged, ms */
#define CHECK_MS 100      /* interval of checks of buffers and requests, ms */
#define MS_PER_S 1000

/* Connections at once to each of the addresses for readiness and metrics. */
#define STATUS_CONNECTIONS 48

/* Share of the file descriptors for connections of callers. */
#define CALLERS_SHARE 0.6

/* A planned stop, ms. New callers are accepted for STOP_LISTEN_MS, at most half of the grace period: the
** load balancer checks readiness twice before it stops sending them. Unanswered requests are ended
** STOP_MARGIN_MS before the end of the grace period, and their errors written for STOP_WRITE_MS. Requests that are still
** arriving STOP_REFUSE_MS before that are refused, so that their callers learn that they have not run. */
#define STOP_LISTEN_MS 2500
#define STOP_MARGIN_MS 400
#define STOP_REFUSE_MS 300
#define STOP_WRITE_MS 200

static void free_later(pw_gate *g) {
  for (size_t i = 0; i < g->nto_free; i++)
    free(g->to_free[i]);
  g->nto_free = 0;
}

static void on_reap(struct ev_loop *ev, ev_prepare *w, int events) {
  (void)ev;
  (void)events;
  free_later(w->data);
}

/* --- readiness and metrics --- */

/* Marks the gateway ready once its state is current. Only a planned stop ends this: without control the
** gateway continues to serve with the state that it has. */
static void note_ready(pw_gate *g, int64_t now) {
  if (g->is_ready || !pwlink_is_current(g->link, now) || !pwgate_may_serve(g))
    return;
  g->is_ready = 1;
  pwproc_set_ready(g->p, 1);
  pwtrace_line(g->trace, PWTRACE_STATE, now, "ready", "targets=%d",
               pwfleet_count(g->fleet));
}

static void answer_metrics(pw_conn *c) {
  pw_buf b = {0};
  pw_gate *g = c->all->arg;
  pwcount_set(g->p->counters, PWC_GW_CLIENTS, g->callers.count);
  pwcount_set(g->p->counters, PWC_ACTIVE, g->nexchanges);
  pwcount_set(g->p->counters, PWC_GW_AWAITING, g->nawaiting);
  pwcount_set(g->p->counters, PWC_GW_KNOWN,
              pwlink_budget_count(g->link, pwclock_ms()));
  pwcount_set(g->p->counters, PWC_GW_LINES_DROPPED,
              (int64_t)pwtrace_dropped(g->trace));
  pwcount_render(g->p->counters, &b);
  pwstage_render(g->stages, &b);
  pwconn_answer(c, 200, "Content-Type: text/plain; version=0.0.4\r\n", b.data,
                b.len);
  pwbuf_free(&b);
}

static void handle_status(pw_conn *c) {
  pw_gate *g = c->all->arg;
  if (pwconn_path_is(c, "/metrics"))
    answer_metrics(c);
  else if (pwconn_path_is(c, "/v1/requests"))
    pwinflight_answer(g, c);
  else if (pwconn_path_is(c, "/v1/workspaces"))
    pwworkspaces_answer(g, c);
  else if (!pwconn_path_is(c, g->dialect->ready_path))
    pwconn_refuse(c, PW_E_PATH, "", 0);
  else if (g->is_ready && !g->stop_at)
    pwconn_answer(c, 200, "", "ready\n", 6);
  else
    pwconn_refuse(c, PW_E_NOT_READY, "", 0);
}

/* --- listening --- */

/* Limits until a configuration sets them. */
static const pw_conn_limits default_limits = {
    .header_bytes = 65536, .body_bytes = PW_BODY_MAX, .idle_ms = 15000};

static const pw_conn_limits status_limits = {.header_bytes = 8192,
                                             .body_bytes = 4096,
                                             .header_ms = 3000,
                                             .idle_ms = 15000};

static int listen_at(pw_gate *g, pw_conns *s, const char *key, const char *addr,
                     pw_buf *err) {
  struct sockaddr_in at;
  int fd = pwtcp_address(addr, &at) == 0 ? pwtcp_listen(&at) : -1;
  if (fd < 0) {
    pwbuf_fmt(err, "gateway.%s: cannot listen on \"%s\"\n", key, addr);
    return -1;
  }
  s->tcp = &g->tcp;
  s->limits = default_limits;
  s->arg = g;
  pwconns_start(s, fd);
  return 0;
}

/* Largest number of connected callers: a share of the file descriptors, since connections to targets
** need the rest. 0: no limit. */
static int callers_max(void) {
  struct rlimit limit;
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur >= INT_MAX)
    return 0;
  return (int)(CALLERS_SHARE * (double)limit.rlim_cur);
}

/* The addresses for readiness and metrics are served when descriptors and memory are short, too, so that a crowd of
** callers does not make the gateway look dead: they have few connections, whose requests are small. */
static void reserve_status(pw_conns *s) {
  s->max = STATUS_CONNECTIONS;
  s->is_reserved = 1;
  s->limits = status_limits;
}

static int listen_all(pw_gate *g, pw_buf *err) {
  const pw_settings *set = g->p->set;
  g->callers.max = callers_max();
  g->callers.handle = pwexchange_begin;
  g->callers.abandoned = pwexchange_abandon;
  g->callers.resume = pwexchange_resume;
  g->callers.takes = pwgate_takes_connection;
  g->ready.handle = g->metrics.handle = handle_status;
  if (set->metrics[0] &&
      listen_at(g, &g->metrics, "metrics", set->metrics, err) != 0)
    return -1;
  if (listen_at(g, &g->ready, "ready", set->gateway_ready, err) != 0)
    return -1;
  reserve_status(&g->ready);
  reserve_status(&g->metrics);
  return listen_at(g, &g->callers, "http", set->gateway_http, err);
}

/* --- planned stop --- */

/* Whether bytes of answers are not yet written to their callers, or connections have not yet closed after them. */
static int owes_bytes(const pw_gate *g) {
  for (const pw_conn *c = g->callers.first; c; c = c->next)
    if (pwtcp_pending(c->tcp) > 0)
      return 1;
  return g->tcp.nclosing > 0;
}

static int64_t grace_ms(const pw_gate *g) {
  return (int64_t)(g->p->set->gateway_grace * MS_PER_S);
}

/* Whether a caller still waits for something: an answer, the rest of it, or for its request to have arrived. */
static int has_work(const pw_gate *g) {
  return g->nexchanges > 0 || owes_bytes(g) ||
         pwconns_are_receiving(&g->callers);
}

static void end_requests(pw_gate *g) {
  for (pw_conn *c = g->callers.first, *next; c; c = next) {
    next = c->next;
    if (c->state)
      pwexchange_stop(c->state);
  }
}

static int may_end(pw_gate *g, int64_t now) {
  if (!g->stop_at)
    return 0;
  int64_t grace = grace_ms(g);
  int64_t since = now - g->stop_at;
  int64_t listen = STOP_LISTEN_MS < grace / 2 ? STOP_LISTEN_MS : grace / 2;
  if (since >= listen && g->callers.listening.fd >= 0) {
    pwconns_stop_listening(&g->callers);
    pwconns_close_idle(&g->callers);
  }
  if (now >= g->stop_ends_at - STOP_REFUSE_MS)
    pwconns_refuse_receiving(&g->callers, PW_E_STOPPING,
                             PWGATE_RETRY_STOPPING_MS);
  if (now < g->stop_ends_at)
    return since >= listen && !has_work(g);
  end_requests(g);
  return now >= g->stop_ends_at + STOP_WRITE_MS || !owes_bytes(g);
}

static void begin_stop(pw_gate *g, int64_t now) {
  g->stop_at = now;
  g->stop_ends_at = now + grace_ms(g) - STOP_MARGIN_MS;
  pwproc_set_ready(g->p, 0);
  pwtrace_line(g->trace, PWTRACE_STATE, now, "stopping", "requests=%d",
               g->nexchanges);
  g->callers.is_stopping = g->ready.is_stopping = 1;
  /* A further request on an idle connection could arrive after the stop. */
  pwconns_close_idle(&g->callers);
}

/* --- event loop --- */

/* Closes idle connections to targets and to their earlier incarnations. */
static void sweep_targets(pw_gate *g, int64_t now) {
  for (pw_target *t = pwfleet_first(g->fleet); t; t = t->hh.next)
    pwupconn_sweep(t, now);
  for (pw_target *t = pwfleet_retired(g->fleet); t; t = t->next_retired)
    pwupconn_sweep(t, now);
}

static void sweep(pw_gate *g, int64_t now) {
  pwconns_close_expired(&g->callers, now);
  pwconns_close_expired(&g->ready, now);
  if (g->metrics.first)
    pwconns_close_expired(&g->metrics, now);
  sweep_targets(g, now);
  pwfleet_tick(g->fleet, now, NULL, NULL);
  pwquar_tick(g->quarantine, now);
  pwparts_tick(g->parts, now);
  pwexchange_sweep_origins(g, now);
  pwcount_set(g->p->counters, PWC_QUARANTINED, pwquar_count(g->quarantine));
  pwcount_set(g->p->counters, PWC_GW_TARGETS, pwfleet_count(g->fleet));
}

/* Sets the limits for each caller and target by the memory that is held. */
static void check_buffers(pw_gate *g, int64_t now) {
  pwconns_close_stalled(&g->callers, now);
  g->buf_limits = pwgate_buf_limits(g);
  g->callers.read_ahead_max = g->buf_limits.ahead;
  g->callers.stall_ms = g->buf_limits.stall_ms;
  g->callers.stall_complete_ms = g->buf_limits.stall_complete_ms;
  pwcount_set(g->p->counters, PWC_GW_BUFFERED,
              (int64_t)pwmemory_used(g->p->memory));
  pwcount_set(g->p->counters, PWC_GW_STALLED, g->callers.nstalled);
}

/* Records the lag of the event loop, by which all events in the meantime were delayed. */
static void note_lag(pw_gate *g, int64_t now) {
  int64_t lag = g->ticked_at ? now - g->ticked_at - TICK_MS : 0;
  g->ticked_at = now;
  pwcount_observe(g->p->counters, PWH_LAG, (lag > 0 ? lag : 0) * US_PER_MS);
  if (lag >= LAG_LOGGED_MS)
    pwtrace_line(g->trace, PWTRACE_STATE, now, "held-up", "ms=%lld",
                 (long long)lag);
  pwgate_limit_accepting(g, lag, now);
}

/* Discounts a stall of this process from the silence of targets, so that they do not count as
** unresponsive. */
static void on_stall(void *arg, int64_t lost_ms) {
  pw_gate *g = arg;
  pwfleet_discount_stall(g->fleet, lost_ms);
  pwgate_note_standstill(g, lost_ms, pwclock_ms());
}

/* Runs the work whose decisions depend on how long targets and other instances have been silent. */
static void run_checks(pw_gate *g, int64_t now) {
  pwlink_tick(g->link, now);
  pwgossip_tick(g->gossip, now);
  if (now - g->checked_at >= CHECK_MS) {
    g->checked_at = now;
    check_buffers(g, now);
    pwexchange_count_crashes(g, now);
    pwexchange_check(g, now);
    pwgate_log_parts(g, now);
  }
  pwexchange_check_targets(g, now);
  pwexchange_check_origins(g, now);
  if (now - g->swept_at >= SWEEP_MS) {
    g->swept_at = now;
    sweep(g, now);
  }
}

static void on_tick(struct ev_loop *ev, ev_timer *w, int events) {
  (void)events;
  pw_gate *g = w->data;
  int64_t now = pwclock_ms();
  note_lag(g, now);
  if (pwlag_catch_up(&g->tcp.lag, now) == 0)
    run_checks(g, now);
  note_ready(g, now);
  if (!pwgate_catches_up(g, now) && g->awaiting && pwgate_may_serve(g))
    pwexchange_start_waiting(g);
  pwtrace_flush(g->trace, now);
  if (atomic_load(&g->p->stopping) && !g->stop_at)
    begin_stop(g, now);
  if (may_end(g, now) || atomic_load(&g->p->stopping) > 1)
    ev_break(ev, EVBREAK_ALL);
}

static void end_callers(pw_gate *g) {
  while (g->callers.first) {
    pw_conn *c = g->callers.first;
    if (c->state)
      pwexchange_stop(c->state);
    else
      pwconn_abort(c);
  }
  pwconns_end(&g->callers);
  pwconns_end(&g->ready);
  pwconns_end(&g->metrics);
}

static pw_pick_policy pick_policy_of(const char *name) {
  if (!strcmp(name, "load"))
    return PWPICK_BY_LOAD;
  if (!strcmp(name, "turn"))
    return PWPICK_BY_ROUND_ROBIN;
  if (!strcmp(name, "home"))
    return PWPICK_BY_HOME;
  return !strcmp(name, "hash") ? PWPICK_BY_HASH : PWPICK_BY_PREFILL;
}

static void end_targets(pw_gate *g) {
  for (pw_target *t = pwfleet_first(g->fleet); t; t = t->hh.next)
    t->is_gone = 1;
  sweep_targets(g, pwclock_ms());
  for (pw_target *t = pwfleet_first(g->fleet); t; t = t->hh.next)
    pwupconn_cancel_replacement(t);
  for (pw_target *t = pwfleet_retired(g->fleet); t; t = t->next_retired)
    pwupconn_cancel_replacement(t);
}

static const pw_gossip_callbacks gossip_calls = {
    .prefix_cached = pwexchange_prefix_cached,
    .prefix_keep_ms = pwexchange_prefix_keep_ms,
    .origin_answered = pwexchange_origin_answered};

pw_code pwgateway_run(pw_proc *p, pw_buf *err) {
  pw_gate g = {.p = p, .dialect = p->dialect, .started_at = pwclock_ms()};
  g.pick_policy = pick_policy_of(p->set->gateway_place);
  pw_code rc = PW_E_SETTINGS;
  g.ev = ev_loop_new(EVFLAG_AUTO | EVFLAG_NOENV);
  if (!g.ev)
    return PW_E_INTERNAL;
  randombytes_buf(&g.random, sizeof g.random);
  g.random |= 1;
  pwtcp_loop_init(&g.tcp, g.ev);
  g.tcp.lag.iteration_max_ms = STALL_MS;
  ev_prepare_init(&g.reap, on_reap);
  ev_timer_init(&g.tick, on_tick, TICK_S, TICK_S);
  g.reap.data = g.tick.data = &g;
  ev_prepare_start(g.ev, &g.reap);
  ev_timer_start(g.ev, &g.tick);
  g.trace = pwtrace_new(p->set->name, STDOUT_FILENO, p->set->gateway_log_bytes);
  g.stages = pwstage_new();
  g.quarantine = pwquar_new();
  g.parts = pwparts_new();
  g.origins = pworigins_new();
  g.versions = pwversions_new(&g);
  g.tcp.memory = p->memory;
  g.buf_limits = pwgate_buf_limits(&g);
  g.fleet = pwfleet_new(p->set->availability_zone, p->set->gateway_beat,
                        (int64_t)(p->set->gateway_keep * MS_PER_S));
  pwfleet_trust_updates(g.fleet);
  g.tcp.on_stall = on_stall;
  g.tcp.arg = &g;
  g.affinity = pwaffinity_new();
  g.gossip = pwgossip_new(&g, &gossip_calls, err);
  g.link = g.gossip ? pwlink_new(&g, pwexchange_origin_answered,
                                 pwexchange_served_confirmed, err)
                    : NULL;
  if (g.link && listen_all(&g, err) == 0) {
    rc = PW_OK;
    ev_run(g.ev, 0);
  }
  end_callers(&g);
  end_targets(&g);
  ev_timer_stop(g.ev, &g.tick);
  ev_prepare_stop(g.ev, &g.reap);
  pwlink_free(g.link);
  pwgossip_free(g.gossip);
  free_later(&g);
  free(g.to_free);
  pwtcp_loop_free(&g.tcp);
  pwfleet_free(g.fleet);
  pwaffinity_free(g.affinity);
  pwgate_free_state(&g);
  pwsite_release(g.site);
  pwtrace_free(g.trace);
  pwstage_free(g.stages);
  pwquar_free(g.quarantine);
  pwparts_free(g.parts);
  pworigins_free(g.origins);
  pwserved_free(&g.served);
  pwversions_free(g.versions);
  ev_loop_destroy(g.ev);
  return rc;
}
