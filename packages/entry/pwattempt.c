/* pwattempt.c: attempts of a request: sending, hops, retries, resumes, and the
** end. */
#include "pwfl.h"

#include "pwlog.h"

#define RESUMES_MAX 7
#define RESUMES_MAX_REPEATABLE 2 /* such requests may be retried elsewhere */

/* An agent that refuses since its target serves no such pool has another revision of the resources than
** this entry, and one of the two is updated soon. When no target is left, the agents are retried after 20,
** 40, ... 640 ms, 1.26 s in all, since a lost update is resent after 1 s (pwfeed). Each retry tries at most
** REASK_TARGETS targets. */
#define REASKS_MAX 6
#define REASK_FIRST_MS 20
#define REASK_TARGETS 2

/* A claim is settled only by a complete answer or a proof that the request did
** not run. With neither the key stays claimed, and a resent request gets an
** error. */
void pwfl_settle(pw_flights *fs, pw_flight *f, int complete, int not_run,
                 int64_t now) {
  pwfl_release(fs, f);
  if (!f->call->never || (!complete && !not_run)) {
    pwfl_drop(fs, f);
    return;
  }
  f->state = F_RECORDING;
  f->since = now;
  f->not_run = not_run;
  pwfl_send_record(fs, f, now);
}

void pwfl_fail(pw_flights *fs, pw_flight *f, pw_code code, int64_t now) {
  pw_call *c = f->call;
  int not_run = f->maybe_started == 0;
  uint32_t retry = 0;
  if (!not_run && pwcode_http(code) == 503)
    code = PW_E_UNKNOWN; /* status 503 would mean that it did not run */
  if (not_run && (pwcode_http(code) == 503 || code == PW_E_QUOTA))
    retry = pwroute_retry_after(f->retry_after, f->walk.draw);
  pwevent_add(fs->p->events, not_run ? PWE_REFUSED : PWE_UNKNOWN, code,
              c->request, c->chat, pwfl_target_name(fs, f),
              "attempts=%d hops=%d", f->attempts, f->hops);
  pwcall_fail(c, code, "", not_run ? "not-run" : "unknown", retry);
  pwfl_settle(fs, f, 0, not_run, now);
}

/* Counts an attempt of a version: the rollout is judged by these counts. */
static void count_version(pw_flights *fs, const pw_flight *f, int failed) {
  if (f->call->other_pool[0])
    pwtreereport_count(fs->treereport, f->pool, failed);
}

static void refuse_quarantined(pw_flights *fs, pw_flight *f, pw_code code,
                               int64_t left, int64_t now) {
  f->retry_after = (uint32_t)left;
  pwfl_fail(fs, f, f->maybe_started ? PW_E_UNKNOWN : code, now);
}

int pwfl_refuse_quarantined(pw_flights *fs, pw_flight *f, int64_t now) {
  int64_t left = pwquar_left(fs->quarantine, f->call->fingerprint, now);
  if (left > 0) {
    pwcount_add(fs->p->counters, PWC_QUARANTINE_REFUSED, 1);
    refuse_quarantined(fs, f, PW_E_QUARANTINED, left, now);
    return 1;
  }
  left = pwparts_refusal(fs->parts, &f->call->parts, now).left;
  if (left == 0)
    return 0;
  pwcount_add(fs->p->counters, PWC_PART_REFUSED, 1);
  refuse_quarantined(fs, f, PW_E_PART_QUARANTINED, left, now);
  return 1;
}

void pwfl_finish(pw_flights *fs, pw_flight *f, int64_t now) {
  if (f->call->status / 100 == 2)
    pwfl_note_answered(fs, f, now);
  pwretry_success(&fs->budget);
  count_version(fs, f, 0);
  f->status = f->call->status;
  pwcall_finish(f->call, "done");
  pwfl_settle(fs, f, 1, 0, now);
}

static void fill_run(const pw_flight *f, const pw_target *t, Pw__Run *r,
                     int64_t now) {
  const pw_call *c = f->call;
  int64_t left = f->deadline - now;
  r->attempt = (char *)f->attempt;
  r->request = (char *)c->request;
  r->workspace = (char *)c->workspace.name;
  r->chat = (char *)c->chat;
  r->pool = (char *)f->pool;
  r->method = c->method;
  r->path = c->path;
  r->headers = c->headers;
  r->n_headers = c->nheaders;
  r->body.data = (uint8_t *)c->body;
  r->body.len = c->body_len;
  r->priority = c->priority;
  r->weight = (uint32_t)c->workspace.weight;
  r->deadline = left > 0 ? (uint32_t)left : 0;
  r->start_by = pwtargets_clock(t, now) + left;
  r->incarnation = t->incarnation;
  r->never = c->never;
  r->stream = c->stream;
  r->prompt_tokens = c->prompt_tokens;
  r->output_tokens = c->output_tokens;
  r->need_prefix = f->need_prefix;
  r->may_queue = f->may_queue;
  r->service = c->is_service;
  r->offset = f->received;
  r->resume_of = (char *)f->origin;
  r->kv_tokens = f->kv_tokens;
  r->kv_url = (char *)f->kv_url;
}

void pwfl_send_run(pw_flights *fs, pw_flight *f, pw_target *t, int64_t now) {
  Pw__Run r = PW__RUN__INIT;
  fill_run(f, t, &r, now);
  f->state = F_SENT;
  f->since = now;
  f->incarnation = t->incarnation;
  Pw__Envelope e = PW_ENVELOPE(RUN, run, &r);
  pwcount_add(fs->p->counters, PWC_ATTEMPTS, 1);
  f->attempts++;
  t->pending += f->walk.cost;
  if (pwwire_send(fs->sock, &t->peer, &e) == 0) {
    f->maybe_started++;
    return;
  }
  f->state = F_OPENING; /* not sent: tick_flight picks another target later */
  pwtargets_disconnect(fs->targets, t);
}

static void send_attempt(pw_flights *fs, pw_flight *f, pw_target *t,
                         int64_t now) {
  f->target = t->id;
  t->in_flight++;
  if (pwtargets_is_fresh(t, now)) {
    pwfl_send_run(fs, f, t, now);
    return;
  }
  f->state = F_OPENING;
  f->since = now;
  pwtargets_ping(fs->targets, t, now);
}

int64_t pwfl_reask_ms(const pw_flight *f) {
  return (int64_t)REASK_FIRST_MS << (f->reasks - 1);
}

static void await_reask(pw_flights *fs, pw_flight *f, int64_t now) {
  f->state = F_REASKING;
  f->since = now;
  f->reasks++;
  pwcount_add(fs->p->counters, PWC_REASKS, 1);
  pwevent_add(fs->p->events, PWE_REFUSED, PW_E_NO_TARGET, f->call->request,
              f->call->chat, "", "pool=%s hops=%d reasks=%d", f->pool, f->hops,
              f->reasks);
}

void pwfl_place(pw_flights *fs, pw_flight *f, const pw_policy *policy,
                int64_t now) {
  if (now + PWFL_MARGIN_MS >= f->deadline) {
    pwfl_fail(fs, f, PW_E_DEADLINE, now);
    return;
  }
  if (pwfl_refuse_quarantined(fs, f, now))
    return;
  pw_target *t = NULL;
  if (f->hops <= PW_HOPS_MAX)
    t = pwfl_pick(fs, f, policy, now);
  if (t)
    send_attempt(fs, f, t, now);
  else if (f->last_code == PW_E_NO_TARGET && f->reasks < REASKS_MAX)
    await_reask(fs, f, now);
  else
    pwfl_fail(fs, f, f->last_code ? f->last_code : PW_E_NO_TARGET, now);
}

void pwfl_reask(pw_flights *fs, pw_flight *f, const pw_policy *policy,
                int64_t now) {
  f->state = F_OPENING;
  f->pool = f->call->pool;
  f->walk.ntried = 0;
  f->hops = PW_HOPS_MAX + 1 - REASK_TARGETS;
  f->last_code = PW_OK;
  pwfl_place(fs, f, policy, now);
}

static pw_refusal refusal_of(pw_code code) {
  if (code == PW_E_MISS)
    return PW_REFUSED_PREFIX_MISS;
  return code == PW_E_BUSY || code == PW_E_DEADLINE ? PW_REFUSED_BUSY
                                                    : PW_REFUSED_OTHER;
}

void pwfl_hop(pw_flights *fs, pw_flight *f, pw_code code,
              const pw_policy *policy, int64_t now) {
  uint64_t id = f->target;
  pwfl_release(fs, f);
  pwroute_refused(&f->walk, id, refusal_of(code), f->refused_wait,
                  f->refused_worth);
  if (code != PW_E_MISS)
    f->last_code = code;
  if (refusal_of(code) == PW_REFUSED_BUSY && !pwretry_spend(&fs->budget))
    pwroute_assume_full(&f->walk);
  f->hops++;
  pwcount_add(fs->p->counters, PWC_HOPS, 1);
  pwfl_new_attempt_id(fs, f);
  pwfl_place(fs, f, policy, now);
}

/* Whether the request may be run again. A stream that has reached the caller may
** only be resumed. */
static int may_repeat(const pw_flight *f) {
  if (!f->call->repeatable || f->call->never)
    return 0;
  return !f->got_head || !f->call->stream;
}

/* Whether the same target may resume the stream: the answer had begun, or the
** link was lost. The engine identifies the stream by its first attempt id, so a
** resume starts nothing twice and is not charged to the retry budget. */
static int may_resume(const pw_flight *f, pw_code code) {
  int limit = may_repeat(f) ? RESUMES_MAX_REPEATABLE : RESUMES_MAX;
  if (f->call->is_service || f->resumes >= limit)
    return 0;
  int is_link_lost = code == PW_E_TIMEOUT || code == PW_E_CUT;
  return f->got_head || (is_link_lost && !f->call->never);
}

static int resume(pw_flights *fs, pw_flight *f, pw_code code, int64_t now) {
  pw_target *t = pwfl_target_of(fs, f);
  if (!t || !may_resume(f, code))
    return 0;
  if (!f->origin[0])
    pw_copy(f->origin, sizeof f->origin, f->attempt);
  f->resumes++;
  f->need_prefix = 0;
  f->may_queue = 0;
  pwfl_new_attempt_id(fs, f);
  pwcount_add(fs->p->counters, PWC_RESUMES, 1);
  pwevent_add(fs->p->events, PWE_RESUMED, 0, f->call->request, f->call->chat,
              t->name, "offset=%llu", (unsigned long long)f->received);
  f->state = F_PAUSING;
  f->since = now;
  return 1;
}

void pwfl_end_pause(pw_flights *fs, pw_flight *f, int64_t now) {
  pw_target *t = pwfl_target_of(fs, f);
  if (!t) {
    pwfl_fail(fs, f, PW_E_CUT, now);
    return;
  }
  t->in_flight--; /* send_attempt counts it again */
  send_attempt(fs, f, t, now);
}

void pwfl_broken(pw_flights *fs, pw_flight *f, pw_code code,
                 const pw_policy *policy, int64_t now) {
  pw_target *t = pwfl_target_of(fs, f);
  if (t && pwbreak_result(&t->breaker, 1, now))
    pwlog(LOG_WARNING, "target-set-aside", "target=%s", t->name);
  if (code == PW_E_CUT || code == PW_E_TIMEOUT)
    pwfl_note_crash(fs, f, now);
  if (pwfl_refuse_quarantined(fs, f, now) || resume(fs, f, code, now))
    return;
  count_version(fs, f, 1);
  if (!may_repeat(f) || f->attempts >= PW_ATTEMPTS_MAX) {
    pwfl_fail(fs, f, f->call->never || code == PW_OK ? PW_E_UNKNOWN : code,
              now);
    return;
  }
  if (!pwretry_spend(&fs->budget)) {
    pwcount_add(fs->p->counters, PWC_RETRY_DENIED, 1);
    pwfl_fail(fs, f, code, now);
    return;
  }
  pwfl_send_cancel(fs, f);
  f->got_head = 0;
  f->received = 0;
  f->credited = 0;
  f->origin[0] = 0;
  pwcall_reset(f->call);
  pwcount_add(fs->p->counters, PWC_RETRIES, 1);
  pwevent_add(fs->p->events, PWE_RETRY, code, f->call->request, f->call->chat,
              pwfl_target_name(fs, f), "attempt=%d", f->attempts);
  uint64_t id = f->target;
  pwfl_release(fs, f);
  pwroute_refused(&f->walk, id, PW_REFUSED_OTHER, 0, 0);
  f->walk.queued = 0;
  f->walk.busy = 0;
  f->failed = 1;
  f->last_code = code;
  pwfl_switch_version(f); /* the version itself may be faulty */
  pwfl_new_attempt_id(fs, f);
  pwfl_place(fs, f, policy, now);
}
