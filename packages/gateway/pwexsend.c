/* pwexsend.c: dispatch of a request: picks a target and a connection, or refuses the request. */
#include "pwexint.h"

#include <stdio.h>

/* Slots are taken to be lacking for this time after a request that is not surplus got none, ms. */
#define SLOTS_LACKING_MS 1000

/* Longest idle time of a connection that is reused, ms. For requests that must not run twice it is
** short: if the target has closed the connection, it is unknown whether it read the request. */
#define IDLE_ONCE_MS 800
#define IDLE_SAFE_MS 60000

#define MS_PER_S 1000.0

int pwexi_is_hop_by_hop(const pw_exchange *x, const pw_h1 *m,
                        const pw_h1_header *h) {
  return pwh1_is_hop_by_hop(m, h) && !x->g->dialect->is_end_to_end(h);
}

static void write_head(pw_exchange *x, pw_buf *out) {
  const pw_h1 *m = &x->caller->request;
  pwbuf_fmt(out, "%s %.*s HTTP/1.1\r\n",
            http_method_str((enum http_method)m->parser.method), (int)m->nurl,
            m->url);
  for (int i = 0; i < m->nheaders; i++) {
    const pw_h1_header *h = &m->header[i];
    if (!pwexi_is_hop_by_hop(x, m, h) && x->g->dialect->forwards_header(h))
      pwh1_write(out, h);
  }
  pw_forward f = {.target = x->t->id,
                  .workspace = x->workspace ? x->workspace->name : NULL,
                  .deadline_ms = pwexi_time_left(x),
                  .urgency = -1,
                  .last_event = x->request_info.last_event,
                  .fetch_from = x->holder && x->service->moves_kv
                                    ? x->holder->address
                                    : NULL};
  if (x->nlast_event)
    f.last_event = (pw_span){x->last_event, x->nlast_event};
  x->g->dialect->write_forward(out, &f);
  if (m->has_body || x->caller->body.len)
    pwbuf_fmt(out, "Content-Length: %zu\r\n", x->caller->body.len);
  pwbuf_add(out, "\r\n", 2);
}

static const pw_upconn_callbacks upconn_calls = {.sent = pwexi_on_sent,
                                                 .is_stale = pwexi_is_stale,
                                                 .head = pwexi_on_head,
                                                 .body = pwexi_on_body,
                                                 .complete = pwexi_on_complete,
                                                 .failed = pwexi_on_failed};

int pwexi_send(pw_exchange *x) {
  pw_buf head = {0};
  int64_t max_idle_ms =
      x->route->kind == PWSITE_SAFE ? IDLE_SAFE_MS : IDLE_ONCE_MS;
  if (x->needs_new_conn)
    max_idle_ms = 0;
  write_head(x, &head);
  x->is_sent = 0;
  x->has_chunk = 0;
  x->sent_at = pwclock_ms();
  x->sent_stalled_ms = x->g->tcp.lag.lost_ms;
  x->unanswered_at = 0;
  pw_upconn_request r = {.head = &head,
                         .body = &x->caller->body,
                         .is_head_only =
                             x->caller->request.parser.method == HTTP_HEAD,
                         .max_idle_ms = max_idle_ms};
  x->u = pwupconn_send(x->g, x->t, &r, &upconn_calls, x);
  pwbuf_free(&head);
  return x->u ? 0 : -1;
}

/* Whether no target was tried yet. */
static int is_untried(const pw_exchange *x) {
  return !x->has_begun && !x->may_have_run && x->ntried == 0;
}

/* Whether the request can still be refused outright. A stream that goes on comes before those that begin: its caller
** has a part of the answer, which is lost otherwise. */
static int is_new(const pw_exchange *x) {
  return is_untried(x) && !x->version;
}

/* Whether the request exceeds what its workspace may send before others. */
static int is_surplus(const pw_exchange *x) {
  return x->urgency >= PWSHED_SURPLUS;
}

static int others_lack_slots(const pw_exchange *x) {
  int64_t at = x->service_state->slots_lacking_at;
  return at && pwclock_ms() - at < SLOTS_LACKING_MS;
}

/* Longest wait in the target's own queue, ms. It is 0 at an engine, whose queue ignores urgency, and half
** of the goal at a plain service, whose requests are so short that reports of free slots come too late. A
** request that was tried before may use half of the time that it has left. Surplus requests do not wait while
** slots are lacking for others, who would have to wait behind them. */
static double max_target_wait_ms(const pw_exchange *x) {
  if (is_new(x) && is_surplus(x) && others_lack_slots(x))
    return 0;
  if (!is_new(x) || x->route->goal_ms <= 0)
    return (double)pwexi_time_left(x) / 2;
  return x->service->is_engine ? 0 : (double)x->route->goal_ms / 2;
}

/* This gateway's share of the requests that all gateways get for the service. */
static double demand_share(const pw_exchange *x, int64_t now) {
  double mine = pwshare_rate(&x->service_state->share, now);
  double all = mine + x->service_state->others_rate;
  return mine > 0 ? mine / all : 1.0 / pwlink_gateway_count(x->g->link);
}

/* This gateway's quota of the slots of a service. */
typedef struct quota {
  double slots;    /* slots open to requests of this urgency */
  int is_refused;  /* must_refuse forbids sending, even if a target is free */
  const char *why; /* reason of that; NULL: the slots are used up */
  int is_late; /* no target within its load bound would send the first chunk in time */
  pw_slotorder_quota plain; /* of a plain service */
  pw_fleet_sum sum;         /* over all targets */
} quota;

static quota quota_of(const pw_exchange *x, int64_t now) {
  quota p = {.sum = pwfleet_sum(x->g->fleet, x->service->name, x->side, now)};
  double mine = pwshare_rate(&x->service_state->share, now);
  double all = mine + x->service_state->others_rate;
  double used = p.sum.inflight + p.sum.others;
  double reserved =
      pwshed_reserve(&x->service_state->shed, x->urgency, x->is_deprioritized);
  if (x->service->is_engine) {
    p.slots = pwshare_slots(mine, all, p.sum.slots, used, reserved);
    return p;
  }
  p.plain = (pw_slotorder_quota){.mine = mine,
                                 .all = all,
                                 .targets = p.sum.targets,
                                 .slots = p.sum.slots,
                                 .used = used,
                                 .work_ms = p.sum.work_ms,
                                 .wait_ms = max_target_wait_ms(x),
                                 .reserved = reserved,
                                 .is_returned = x->is_deprioritized};
  p.slots = pwslotorder_limit(&p.plain, p.sum.slots, p.sum.work_ms);
  return p;
}

/* Whether this gateway has used up its quota of an engine service. A fraction of a slot is granted with
** that probability. */
static int is_quota_used(const pw_exchange *x, const quota *p) {
  return p->sum.inflight + pwgate_random(x->g) > p->slots;
}

static pw_slotorder_attempt attempt_of(const pw_exchange *x) {
  const pw_gate_route *r = pwgate_route(x->g, x->route->name);
  pw_slotorder_rank rank = x->may_have_run       ? PWSLOTORDER_SECOND_ATTEMPT
                           : x->is_deprioritized ? PWSLOTORDER_RETURNED
                                                 : PWSLOTORDER_FIRST;
  return (pw_slotorder_attempt){
      .rank = rank,
      .may_repeat = x->route->kind == PWSITE_SAFE,
      .time_left_ms = (double)pwexi_time_left(x),
      .work_ms = r && !x->route->is_stream ? r->answer_ms : 0};
}

/* Whether the request is refused even if a target is free; sets p->why. Repeats to engines are not refused as such,
** since they fill slots that become free. At a plain service the quota is one slot or less, of which none can be
** reserved, so repeats are refused there. Second attempts of requests that may be repeated, and attempts that cannot
** end before the deadline, are refused as well, but only while slots are short. */
static int must_refuse(const pw_exchange *x, quota *p) {
  if (x->service->is_engine)
    return is_new(x) && is_quota_used(x, p);
  if (p->sum.targets == 0 || !pwslotorder_is_short(&p->plain))
    return 0; /* without a live target the last resort may still answer */
  pw_slotorder_attempt t = attempt_of(x);
  if (!pwslotorder_can_end(&t))
    p->why =
        "no slot is free, and the time left is shorter than such a request "
        "takes";
  else if (!pwslotorder_may_take(&t,
                                 pwshed_first_admitted(&x->service_state->shed),
                                 pwgate_random(x->g)))
    p->why = "no slot is free for repeats and second attempts while first "
             "attempts get none";
  return p->why != NULL;
}

/* Connections that this gateway may have to one target. 0: no limit. */
static int connection_limit(const pw_exchange *x, int64_t now) {
  return pwshare_connections(x->service->max_conns,
                             pwlink_gateway_count(x->g->link),
                             demand_share(x, now));
}

/* Whether to avoid targets that reject requests, because the retry budget is scarce. When slots are short
** such targets are not avoided: the requests that they accept matter more than retries. */
static int avoids_rejections(const pw_exchange *x, int64_t now) {
  pw_gate *g = x->g;
  return pwshed_admitted_share(&x->service_state->shed) > PWEX_AMPLE_SHARE &&
         pwretries_is_scarce(&x->service_state->retries,
                             pwlink_budget_count(g->link, now),
                             pwgate_random(g), now);
}

/* Requests that a target may have above its multiple of the mean while answers are late: prompts that wait for
** prefill fill some targets faster than reports tell. */
#define EXTRA_LATE 2.0

/* Requests that a target may have above its multiple of the mean. More are allowed where few requests reach a target
** between two load reports of the other gateways. Requests that waited for the same prefix are sent at the same
** moment by all gateways, so none of these sees the others' in the reports. They get none, unless the multiple alone
** rules out a target with the mean load, as where few requests are in flight: they were refused by idle engines. */
static double extra_of(const pw_exchange *x, const quota *p) {
  double mean = p->sum.targets > 0
                    ? (p->sum.inflight + p->sum.others) / p->sum.targets
                    : 0;
  double multiple = PW_GW_BOUND_SHARE * x->g->p->set->gateway_load_times;
  double rate_per_target =
      p->sum.targets > 0 ? x->service_state->others_rate / p->sum.targets : 0;
  double extra = pwpick_extra(rate_per_target, p->sum.others_age_ms);
  if (x->has_awaited_prefix)
    return multiple * mean < mean + 1 ? EXTRA_LATE : 0;
  if (x->service_state->prefill.goal_part < 1 && extra > EXTRA_LATE)
    return EXTRA_LATE;
  return extra;
}

/* Load bound of one target. */
static pw_pick_bound bound_of(const pw_exchange *x, const quota *p) {
  double times = x->g->p->set->gateway_load_times;
  return (pw_pick_bound){PW_GW_BOUND_SHARE * times, extra_of(x, p),
                         PW_GW_BOUND_ALL_SHARE * times, PW_GW_BOUND_ALL_EXTRA};
}

/* The versions at which the stream may begin. Returns NULL where any may serve: a stream that goes on has its version,
** and others cannot be resumed. */
static const pw_fleet_versions *versions_of(const pw_exchange *x,
                                            pw_fleet_versions *out) {
  if (!x->route->is_resumable || x->version)
    return NULL;
  *out = pwgate_recorded_versions(x->g, x->service->name);
  return out;
}

static pw_fleet_prompt prompt_of(const pw_exchange *x, const quota *p,
                                 int64_t now) {
  pw_fleet_prompt prompt = pwexi_prompt(x, is_new(x), now);
  prompt.times.unseen =
      x->service_state->others_rate * p->sum.others_age_ms / MS_PER_S;
  prompt.times.draw = pwgate_random(x->g);
  return prompt;
}

/* Picks a target: sets x->t, with a reference, and x->holder. Returns 0 if there is none. */
static int pick(pw_exchange *x, quota *p) {
  pw_gate *g = x->g;
  int64_t now = pwclock_ms();
  int is_sticky = x->route->is_sticky && x->request_info.nparts > 0;
  uint64_t key = pwexi_prompt_key(&x->request_info);
  /* The quota at each target limits the wait there by what is known here at once; the reported loads
  ** are 100 ms old. */
  int has_quota = is_new(x) && !x->service->is_engine;
  pw_fleet_versions recorded;
  pw_fleet_criteria criteria = {
      .service = x->service->name,
      .side = x->side,
      .version = x->version,
      .versions = versions_of(x, &recorded),
      .how = g->pick_policy,
      .is_sticky = is_sticky,
      .key = key,
      .home_only = is_new(x) && x->service->is_engine,
      .wait_ms =
          has_quota ? (double)pwexi_time_left(x) / 2 : max_target_wait_ms(x),
      .quota = has_quota ? &p->plain : NULL,
      .draw = pwgate_random(g),
      .bound = bound_of(x, p),
      .cold = {x->service->cold_ms, x->service->cold_per_s},
      .part = demand_share(x, now),
      .conns = connection_limit(x, now),
      .may_probe = pwexi_may_probe(x),
      .save_retries = avoids_rejections(x, now),
      .tried = x->tried,
      .ntried = x->ntried};
  if (is_sticky)
    criteria.prompt = prompt_of(x, p, now);
  pw_fleet_picked picked = pwfleet_pick(g->fleet, &criteria, now);
  x->t = picked.target;
  x->holder = picked.holder;
  p->is_late = picked.is_late;
  if (!picked.target)
    return 0;
  if (is_sticky)
    pwexi_begin_prefill(x, &picked, now);
  return 1;
}

/* When the refused caller is to come back, ms; 0: it is not told to. */
static int64_t return_ms(const pw_exchange *x) {
  double draw = pwgate_random(x->g);
  int64_t left = pwexi_time_left(x);
  if (x->service->is_engine)
    return pwshed_retry_ms(left, x->retry_known_ms, draw);
  pw_slotorder_attempt t = attempt_of(x);
  if (!pwslotorder_can_end(&t))
    return 0;
  return pwslotorder_return_ms(pwshed_first_admitted(&x->service_state->shed),
                               (double)left, (double)x->retry_known_ms, draw);
}

/* Refuses a request because what it needs is used up. */
static void refuse_busy(pw_exchange *x, const char *why) {
  pwspike_refused(x->service_state->spike,
                  x->workspace ? x->workspace->name : "", is_surplus(x));
  /* Closes the connection so that the caller's retry may reach another gateway, unless the close would lose
  ** requests that the caller has pipelined behind this one. */
  x->caller->close_next = !pwconn_has_more(x->caller);
  pwexi_refuse(x, PW_E_BUSY, why, return_ms(x));
}

/* Refuses a request because the quota of this gateway or the load bound of all targets is used up. */
static void refuse_full(pw_exchange *x, const quota *p) {
  char why[160];
  pwcount_add(x->g->p->counters, PWC_GW_FULL, 1);
  if (p->why) {
    refuse_busy(x, p->why);
    return;
  }
  snprintf(
      why, sizeof why,
      "no slot is free: urgency %d%s, %.0f%% of requests get one; in flight "
      "%.0f of %.1f here, %.0f of %.0f in all",
      x->urgency, x->is_deprioritized ? " (repeat)" : "",
      100 * pwshed_admitted_share(&x->service_state->shed), p->sum.inflight,
      p->slots, p->sum.inflight + p->sum.others, p->sum.slots);
  refuse_busy(x, why);
}

/* Refuses a prompt because no target within its load bound would send the first chunk in time. */
static void refuse_prefill(pw_exchange *x) {
  const pw_prefill *p = &x->service_state->prefill;
  char why[160];
  snprintf(why, sizeof why,
           "no target would send the first chunk within %.0f ms: %.3f ms of "
           "prefill per token",
           p->goal_part * (double)x->service->shortest_goal_ms,
           p->ms_per_token);
  pwcount_add(x->g->p->counters, PWC_GW_PREFILL_FULL, 1);
  refuse_busy(x, why);
}

/* Refuses a request because no target is usable. If all have asked for a hold-off, the caller may retry
** when the first hold-off ends. */
static void refuse_no_target(pw_exchange *x, int64_t now) {
  int64_t left = pwfleet_held_off(x->g->fleet, x->service->name, now);
  if (left > 0)
    pwexi_refuse(x, PW_E_HOLD_OFF,
                 "all targets of the service have asked for a hold-off", left);
  else
    pwexi_refuse(x, PW_E_NO_TARGET, "no usable target of the service is known",
                 PWEX_RETRY_NO_TARGET_MS);
}

/* Whether there are targets, but none at whose version a stream may begin yet. */
static int lacks_recorded_target(const pw_exchange *x, int64_t now) {
  pw_fleet_versions recorded;
  const pw_fleet_versions *v = versions_of(x, &recorded);
  for (int i = 0; v && i < v->n; i++)
    if (pwfleet_has_version(x->g->fleet, x->service->name, v->hash[i], now))
      return 0;
  return v != NULL;
}

/* Refuses a stream until the version of a target is recorded, which takes control instances a moment. */
static void refuse_unrecorded(pw_exchange *x) {
  pwlink_query_served(x->g->link);
  pwexi_refuse(x, PW_E_NO_TARGET,
               "control has not recorded the version of any usable target yet",
               PWEX_RETRY_LEAST_MS);
}

void pwexi_refuse_version_gone(pw_exchange *x) {
  pwcount_add(x->g->p->counters, PWC_GW_STREAM_VERSION_GONE, 1);
  pwexi_refuse(x, PW_E_VERSION_GONE,
               "no target of the version that began the stream serves it",
               PWEX_RETRY_NO_TARGET_MS);
}

static void log_dispatched(pw_exchange *x) {
  const pw_target *t = x->t;
  if (x->ntried == 1)
    pwexi_observe(x, PWSTAGE_QUEUE, x->sent_at - x->arrived);
  pwexi_log(
      x, PWTRACE_ROUTINE, "placed",
      "target=%s version=%s load=%d+%d n=%d work_ms=%.1f key=%llx fetch=%s "
      "prefill=%.0f ahead=%.0f",
      t->id, t->version, t->inflight, t->others, x->ntried, t->work_ms,
      (unsigned long long)pwexi_prompt_key(&x->request_info),
      x->holder ? x->holder->id : "-", x->work.own, x->work.ahead);
  x->holder = NULL; /* no reference was taken */
}

/* Sends the request to a target that has a free slot. Returns 0 if there is none. */
static int dispatch_now(pw_exchange *x, quota *p) {
  while (pwexi_time_left(x) > 0 && x->ntried < PWEX_TRIED_MAX && pick(x, p)) {
    x->needs_new_conn = 0;
    x->t->inflight++;
    x->tried[x->ntried++] = pwfleet_retain(x->t);
    pwcount_add(x->g->p->counters, PWC_ATTEMPTS, 1);
    if (pwexi_send(x) == 0) {
      log_dispatched(x);
      return 1;
    }
    pwexi_release(x); /* out of file descriptors */
  }
  return 0;
}

/* Chooses the version during a rollout. A request that failed at the new version is retried at the old
** one. */
static void choose_side(pw_exchange *x) {
  if (x->version)
    x->side =
        PWFLEET_ANY_VERSION; /* the stream goes on at its version, whatever its side */
  else if (x->ntried == 0)
    x->side = pwfleet_side(x->g->fleet, x->service->name, pwgate_random(x->g));
  else if (x->side == PWFLEET_NEW_VERSION)
    x->side = PWFLEET_OLD_VERSION;
}

/* Sends the request to a target of the chosen version. Returns 0 if quota or slots do not allow it. */
static int try_side(pw_exchange *x, quota *p, int64_t now) {
  *p = quota_of(x, now);
  p->is_refused = must_refuse(x, p);
  return !p->is_refused && dispatch_now(x, p);
}

static void note_admission(pw_exchange *x, int is_dispatched, int64_t now) {
  pwshed_note(&x->service_state->shed, x->urgency, x->is_deprioritized,
              is_dispatched, now);
  if (!is_dispatched && !is_surplus(x) && !x->is_deprioritized)
    x->service_state->slots_lacking_at = now;
  if (x->is_deprioritized && !x->service->is_engine) {
    pwcount_add(x->g->p->counters, PWC_GW_RETURNED, 1);
    pwcount_add(x->g->p->counters, PWC_GW_RETURNED_FULL, !is_dispatched);
  }
}

/* Refuses a request that a planned stop would cut: it has not run, and another gateway serves it. Returns whether it was
** refused. */
static int refuse_too_late(pw_exchange *x, int64_t now) {
  const pw_gate *g = x->g;
  if (!g->stop_at || x->has_begun || x->may_have_run)
    return 0;
  const pw_gate_route *r = pwgate_route(x->g, x->route->name);
  const pw_longest unknown = {0};
  if (pwstoptime_may_begin(r ? &r->longest : &unknown, pwexi_time_left(x),
                           g->stop_ends_at - now))
    return 0;
  pwcount_add(g->p->counters, PWC_GW_TOO_LATE, 1);
  pwexi_refuse(x, PW_E_STOPPING,
               "the planned stop ends before such a request does",
               PWGATE_RETRY_STOPPING_MS);
  return 1;
}

void pwexi_dispatch(pw_exchange *x) {
  int64_t now = pwclock_ms();
  int is_first_attempt = is_new(x);
  if (pwexi_end_quarantined(x, now) || refuse_too_late(x, now))
    return;
  if (is_first_attempt && pwexi_await_prefix(x, now))
    return;
  if (is_untried(x))
    pwshare_note(&x->service_state->share, now);
  quota p;
  choose_side(x);
  int is_dispatched = try_side(x, &p, now);
  if (!is_dispatched && x->side == PWFLEET_NEW_VERSION) {
    x->side = PWFLEET_OLD_VERSION;
    is_dispatched = try_side(x, &p, now);
  }
  if (is_first_attempt)
    note_admission(x, is_dispatched, now);
  if (is_dispatched)
    return;
  if (x->has_begun || x->may_have_run)
    pwexi_fail(
        x, PW_E_UNKNOWN,
        p.is_refused
            ? "no slot is free after an attempt that may have run"
            : "no other target is available after an attempt that may have run",
        0);
  else if (x->version &&
           !pwfleet_has_version(x->g->fleet, x->service->name, x->version, now))
    pwexi_refuse_version_gone(x);
  else if (pwfleet_usable(x->g->fleet, x->service->name, now) == 0)
    refuse_no_target(x, now);
  else if (lacks_recorded_target(x, now))
    refuse_unrecorded(x);
  else if (p.is_late)
    refuse_prefill(x);
  else
    refuse_full(x, &p);
}
