/* pwflight.c: the table of an entry's requests in flight, their start, time-outs
** and end. */
#include "pwfl.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#define CLAIM_RETRY_MS 300 /* until an unanswered Claim or Record is resent */
#define CLAIM_GIVE_UP_MS 6000   /* then the caller gets PW_E_NOT_LEADER */
#define RECORD_GIVE_UP_MS 30000 /* then the claim stays unsettled */
#define GONE_CHECK_MS 500       /* between checks of a caller's connection */
#define RESUME_MS 25 /* pause before the first resume, doubled for each next */

pw_flights *pwflight_new(pw_proc *p, pw_sock *dialler, pw_targets *targets,
                         pw_sub *sub, pw_treereport *treereport) {
  pw_flights *fs = pw_alloc(sizeof *fs);
  fs->p = p;
  fs->sock = dialler;
  fs->targets = targets;
  fs->sub = sub;
  fs->treereport = treereport;
  fs->quotas = pwquota_new(pwclock_ms());
  fs->quarantine = pwquar_new();
  fs->parts = pwparts_new();
  pwretry_init(&fs->budget, PW_RETRY_SHARE, PW_RETRY_RESERVE);
  return fs;
}

int pwflight_count(const pw_flights *fs) {
  return (int)HASH_COUNT(fs->all);
}

static void draw_id(char out[PW_NAME_MAX]) {
  unsigned char bytes[16];
  randombytes_buf(bytes, sizeof bytes);
  sodium_bin2hex(out, PW_NAME_MAX, bytes, sizeof bytes);
}

void pwfl_new_attempt_id(pw_flights *fs, pw_flight *f) {
  HASH_DEL(fs->all, f);
  draw_id(f->attempt);
  HASH_ADD_STR(fs->all, attempt, f);
}

void pwfl_drop(pw_flights *fs, pw_flight *f) {
  HASH_DEL(fs->all, f);
  pwcall_unref(f->call);
  pwbuf_free(&f->record);
  free(f);
  pwcount_set(fs->p->counters, PWC_ACTIVE, pwflight_count(fs));
}

void pwflight_free(pw_flights *fs) {
  if (!fs)
    return;
  pw_flight *f, *tmp;
  HASH_ITER(hh, fs->all, f, tmp) {
    pwfl_drop(fs, f);
  }
  pwquota_free(fs->quotas);
  pwquar_free(fs->quarantine);
  pwparts_free(fs->parts);
  free(fs);
}

pw_target *pwfl_target_of(pw_flights *fs, const pw_flight *f) {
  return f->target ? pwtargets_by_id(fs->targets, f->target) : NULL;
}

const char *pwfl_target_name(pw_flights *fs, const pw_flight *f) {
  const pw_target *t = pwfl_target_of(fs, f);
  return t ? t->name : "";
}

void pwfl_send_to(pw_flights *fs, const pw_target *t, Pw__Envelope *e) {
  if (t && t->link != PW_LINK_NONE)
    pwwire_send(fs->sock, &t->peer, e);
}

void pwfl_send_cancel(pw_flights *fs, const pw_flight *f) {
  Pw__Cancel c = PW__CANCEL__INIT;
  c.attempt = (char *)f->attempt;
  Pw__Envelope e = PW_ENVELOPE(CANCEL, cancel, &c);
  pwfl_send_to(fs, pwfl_target_of(fs, f), &e);
}

/* Leaves t->pending as it is: the agent's next report replaces it. */
void pwfl_release(pw_flights *fs, pw_flight *f) {
  pw_target *t = pwfl_target_of(fs, f);
  if (t && f->state != F_CLAIMING && f->state != F_RECORDING)
    t->in_flight--;
  f->target = 0;
}

static void start_flight(pw_flights *fs, pw_call *c, const pw_policy *policy,
                         int may_serve, int64_t now) {
  pw_flight *f = pw_alloc(sizeof *f);
  draw_id(f->attempt);
  f->call = c;
  f->pool = c->pool;
  pwcall_ref(c);
  f->deadline = now + c->deadline_ms;
  f->since = now;
  f->caller_checked_at = now;
  f->walk.key = pwplace_key(c->model, c->chat[0] ? c->chat : c->request);
  f->walk.availability_zone =
      pwtargets_availability_zone(fs->p->set->availability_zone);
  f->walk.cost = PWBOUND_PROMPT_WEIGHT * c->prompt_tokens + c->output_tokens;
  f->walk.returning = c->returning && !c->is_service && c->chat[0] &&
                      c->prompt_tokens >= policy->min_prefix_tokens;
  randombytes_buf(&f->walk.draw, sizeof f->walk.draw);
  HASH_ADD_STR(fs->all, attempt, f);
  pwcount_set(fs->p->counters, PWC_ACTIVE, pwflight_count(fs));
  int64_t wait = may_serve
                     ? pwquota_take(fs->quotas, &c->workspace,
                                    pwsub_entries(fs->sub), f->walk.cost, now)
                     : 0;
  if (!may_serve) {
    pwfl_fail(fs, f, PW_E_NOT_READY, now);
  } else if (wait) {
    f->retry_after = (uint32_t)wait;
    pwfl_fail(fs, f, PW_E_QUOTA, now);
  } else if (c->never) {
    f->state = F_CLAIMING;
    pwfl_send_claim(fs, f, now);
  } else {
    f->state = F_OPENING;
    pwfl_place(fs, f, policy, now);
  }
}

static pw_flight *by_call(const pw_flights *fs, const pw_call *c) {
  for (pw_flight *f = fs->all; f; f = f->hh.next)
    if (f->call == c)
      return f;
  return NULL;
}

/* Cancels the request of a caller that hung up. A request that may run only once
** runs on, so that its recorded answer can be replayed when it is resent. */
static void cancel_abandoned(pw_flights *fs, pw_flight *f) {
  if (f->state == F_RECORDING || f->call->never)
    return;
  if (f->state == F_SENT || f->state == F_ANSWERING)
    pwfl_send_cancel(fs, f);
  pwcount_add(fs->p->counters, PWC_CANCELS, 1);
  pwfl_release(fs, f);
  pwfl_drop(fs, f);
}

static void on_taken(pw_flights *fs, pw_flight *f) {
  pthread_mutex_lock(&f->call->lock);
  uint64_t offset = f->call->taken;
  pthread_mutex_unlock(&f->call->lock);
  if (f->state == F_ANSWERING && offset - f->credited > PW_STREAM_WINDOW / 4)
    pwfl_send_credit(fs, f, offset);
}

void pwflight_note(pw_flights *fs, const pw_note *note, const pw_policy *policy,
                   int may_serve, int64_t now) {
  pwretry_set_share(&fs->budget, policy->retry_share);
  if (note->kind == PW_NOTE_NEW) {
    start_flight(fs, note->call, policy, may_serve, now);
    return;
  }
  pw_flight *f = by_call(fs, note->call);
  if (!f)
    return;
  if (note->kind == PW_NOTE_TAKEN)
    on_taken(fs, f);
  else
    cancel_abandoned(fs, f);
}

static void tick_ledger(pw_flights *fs, pw_flight *f, int64_t now) {
  int recording = f->state == F_RECORDING;
  int64_t limit = recording ? RECORD_GIVE_UP_MS : CLAIM_GIVE_UP_MS;
  if (now - f->since > limit) {
    if (recording) {
      pwfl_drop(fs, f);
      return;
    }
    /* Nothing was run. A claim that is granted late is released. */
    pwcall_fail(f->call, PW_E_NOT_LEADER, "", "not-run", 1000);
    f->target = 0;
    pwfl_settle(fs, f, 0, 1, now);
    return;
  }
  if (now - f->sent_at < CLAIM_RETRY_MS)
    return;
  if (recording)
    pwfl_send_record(fs, f, now);
  else
    pwfl_send_claim(fs, f, now);
}

static void tick_flight(pw_flights *fs, pw_flight *f, const pw_policy *policy,
                        int64_t now) {
  if (f->state == F_CLAIMING || f->state == F_RECORDING) {
    tick_ledger(fs, f, now);
    return;
  }
  if (now + PWFL_MARGIN_MS >= f->deadline) {
    pwfl_send_cancel(fs, f);
    pwfl_fail(fs, f, f->maybe_started ? PW_E_TIMEOUT : PW_E_DEADLINE, now);
    return;
  }
  if (f->state == F_PAUSING) {
    if (now - f->since >= (int64_t)RESUME_MS << f->resumes)
      pwfl_end_pause(fs, f, now);
    return;
  }
  if (f->state == F_REASKING) {
    if (now - f->since >= pwfl_reask_ms(f))
      pwfl_reask(fs, f, policy, now);
    return;
  }
  if (f->state == F_OPENING && now - f->since > PW_LINK_OPEN) {
    pw_target *t = pwfl_target_of(fs, f);
    if (t) {
      pwbreak_result(&t->breaker, 1, now);
      pwtargets_disconnect(fs->targets, t);
    }
    if (f->resumes)
      pwfl_broken(fs, f, PW_E_CUT, policy, now);
    else
      pwfl_hop(fs, f, PW_E_CONNECT, policy, now);
    return;
  }
  if (now - f->caller_checked_at < GONE_CHECK_MS)
    return;
  f->caller_checked_at = now;
  if (pwcall_is_gone(f->call))
    cancel_abandoned(fs, f);
}

/* Pings silent links that have attempts in flight, and closes those whose Ping
** has gone unanswered for too long. */
static void tick_links(pw_flights *fs, const pw_policy *policy, int64_t now) {
  int n;
  pw_target **all = pwtargets_all(fs->targets, &n);
  for (int i = 0; i < n; i++) {
    pw_target *t = all[i];
    if (t->in_flight <= 0 || t->link != PW_LINK_UP)
      continue;
    if (pwtargets_unanswered_ms(t, now) > PW_LINK_LOST - PW_LINK_PING) {
      pwevent_add(fs->p->events, PWE_LINK_DOWN, 0, NULL, NULL, t->name,
                  "no message for %lld ms",
                  (long long)(now - t->link_received_at));
      pwtargets_disconnect(fs->targets, t);
      pwfl_break_all(fs, t, PW_E_TIMEOUT, policy, now);
    } else if (now - t->link_received_at > PW_LINK_PING &&
               now - t->pinged_at > PW_LINK_PING) {
      pwtargets_ping(fs->targets, t, now);
    }
  }
}

void pwflight_tick(pw_flights *fs, const pw_policy *policy, int64_t now) {
  size_t n = HASH_COUNT(fs->all);
  pw_flight **list = pw_alloc(sizeof *list * (n + 1));
  size_t k = 0;
  for (pw_flight *f = fs->all; f; f = f->hh.next)
    list[k++] = f;
  for (size_t i = 0; i < k; i++)
    tick_flight(fs, list[i], policy, now);
  free(list);
  tick_links(fs, policy, now);
  pwquar_tick(fs->quarantine, now);
  pwparts_tick(fs->parts, now);
  pwfl_log_parts(fs, now);
  pwcount_set(fs->p->counters, PWC_QUARANTINED, pwquar_count(fs->quarantine));
}

pw_quarantine *pwflight_quarantine(pw_flights *fs) {
  return fs->quarantine;
}

pw_parts *pwflight_parts(pw_flights *fs) {
  return fs->parts;
}
