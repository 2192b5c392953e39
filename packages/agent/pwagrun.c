/* pwagrun.c: an agent's attempts: handles the messages of entries, and admits or
** refuses their Runs. */
#include "pwag.h"

#include <stdlib.h>
#include <string.h>

/* --- messages to entries --- */

int pwag_is_leaving(const pw_agent *a) {
  return a->desired.drain || atomic_load(&a->p->stopping);
}

void pwag_fill_load(pw_agent *a, Pw__Load *l, int64_t now) {
  pw__load__init(l);
  l->target = a->p->set->agent_target;
  l->tokens = (uint64_t)pwload_now(&a->admit.load, now);
  l->rate = (uint64_t)a->admit.load.rate;
  l->queued = (uint32_t)pwqueue_count(a->admit.queue);
  l->running = (uint32_t)a->admit.running;
  l->leaving = pwag_is_leaving(a);
  l->clock = now;
  l->incarnation = pwwire_incarnation(a->p->wire);
  l->retry_after = pwadmit_wait(&a->admit, "", 1, 0);
  l->held_off = (uint64_t)pwholdoff_left(&a->admit.hold_off, now);
  l->turned_away = pwreject_is_recent(&a->rejects, now);
  pwcount_set(a->p->counters, PWC_LOAD, (int64_t)l->tokens);
  pwcount_set(a->p->counters, PWC_QUEUE, l->queued);
}

void pwag_refuse(pw_agent *a, const pw_peer *to, const Pw__Run *run,
                 const pw_ag_refusal *why, int64_t now) {
  Pw__Load load;
  pwag_fill_load(a, &load, now);
  Pw__Refuse r = PW__REFUSE__INIT;
  r.attempt = run->attempt;
  r.code = why->code;
  r.retry_after = why->wait;
  r.worth = why->worth;
  r.pointer = (char *)(why->pointer ? why->pointer : "");
  r.kv_tokens = why->kv_tokens;
  r.kv_url = why->kv_tokens ? a->p->set->agent_url : "";
  r.load = &load;
  Pw__Envelope e = PW_ENVELOPE(REFUSE, refuse, &r);
  pwwire_send(a->listener, to, &e);
  pwcount_add(a->p->counters, PWC_REFUSED, 1);
  if (why->code != PW_E_MISS)
    pwevent_add(a->p->events, PWE_REFUSED, why->code, run->request, run->chat,
                a->p->set->agent_target, "wait=%u worth=%u kv=%u", why->wait,
                why->worth, why->kv_tokens);
}

static void send_pong(pw_agent *a, const pw_peer *to, int64_t now) {
  Pw__Load load;
  pwag_fill_load(a, &load, now);
  Pw__Load *list[1] = {&load};
  Pw__Loads l = PW__LOADS__INIT;
  l.loads = list;
  l.n_loads = 1;
  Pw__Envelope e = PW_ENVELOPE(LOADS, loads, &l);
  pwwire_send(a->listener, to, &e);
}

/* --- jobs --- */

static const pw_pool_sum *sum_of_job(void *arg, void *job) {
  const pw_agent *a = arg;
  const pw_job *j = job;
  static const pw_pool_sum alone = {.targets = 1}; /* the pool was removed */
  const pw_pool_sum *sum = pwdesired_pool(&a->desired, j->run->pool);
  return sum ? sum : &alone;
}

pw_ag_job *pwag_job(pw_agent *a, const char *attempt) {
  pw_ag_job *h;
  HASH_FIND_STR(a->jobs, attempt, h);
  return h;
}

static pw_ag_job *add_job(pw_agent *a, pw_job *j, int64_t now) {
  pw_ag_job *h = pw_alloc(sizeof *h);
  pw_copy(h->attempt, sizeof h->attempt, j->run->attempt);
  h->job = j;
  h->received_at = now;
  HASH_ADD_STR(a->jobs, attempt, h);
  pwcount_set(a->p->counters, PWC_ACTIVE, HASH_COUNT(a->jobs));
  return h;
}

void pwag_release(pw_agent *a, pw_ag_job *h) {
  HASH_DEL(a->jobs, h);
  pwjob_free(h->job);
  free(h);
  pwcount_set(a->p->counters, PWC_ACTIVE, HASH_COUNT(a->jobs));
}

static void run_now(pw_agent *a, pw_job *j, int64_t now) {
  pwcount_add(a->p->counters, PWC_ADMITTED, 1);
  pwcount_observe(a->p->counters, PWH_WAIT, (now - j->since) * 1000);
  j->since = now;
  pwjob_start(a->workers, j);
}

void pwag_start_queued(pw_agent *a, int64_t now) {
  pw_job *j;
  while ((j = pwadmit_next(&a->admit, sum_of_job, a, now)) != NULL)
    run_now(a, j, now);
}

void pwag_refuse_queued(pw_agent *a, pw_job *j, pw_code code, int64_t now) {
  pw_ag_job *h = pwag_job(a, j->run->attempt);
  uint32_t wait = pwadmit_wait(&a->admit, j->run->workspace, j->run->weight,
                               j->run->priority);
  pwag_refuse(a, &j->peer, j->run, &(pw_ag_refusal){.code = code, .wait = wait},
              now);
  pwag_release(a, h);
}

/* --- Run --- */

static int is_known(const pw_agent *a, const char *attempt) {
  pw_seen *s;
  HASH_FIND_STR(a->seen, attempt, s);
  return s != NULL;
}

/* Whether the attempt was received before; remembers it if not. */
static int is_duplicate(pw_agent *a, const char *attempt) {
  if (is_known(a, attempt))
    return 1;
  pw_seen *s = pw_alloc(sizeof *s);
  pw_copy(s->attempt, sizeof s->attempt, attempt);
  HASH_ADD_STR(a->seen, attempt, s);
  if (HASH_COUNT(a->seen) > PW_SEEN_MAX) {
    pw_seen *oldest = a->seen;
    HASH_DEL(a->seen, oldest);
    free(oldest);
  }
  return 0;
}

static pw_code check_run(pw_agent *a, const Pw__Run *run, int64_t now) {
  if (run->incarnation != pwwire_incarnation(a->p->wire))
    return PW_E_STALE;
  if (now >= run->start_by)
    return PW_E_STALE;
  if (pwag_is_leaving(a))
    return PW_E_LEAVING;
  if (!pwsub_may_serve(a->sub, now))
    return PW_E_NOT_READY;
  if (!a->desired.known || !pwdesired_pool(&a->desired, run->pool))
    return PW_E_NO_TARGET;
  return PW_OK;
}

/* Estimates the cost in tokens: the output, and the part of the prompt that is
** neither cached nor taken over from another engine. */
static void estimate_cost(pw_agent *a, pw_job *j, double *recompute,
                          int64_t now) {
  const Pw__Run *run = j->run;
  uint32_t cached =
      run->service ? 0 : pwcache_expect(&a->cache, run->chat, now);
  double share = pwmove_share(&a->move);
  j->expected = cached;
  if (cached > run->prompt_tokens)
    cached = run->prompt_tokens;
  double prompt = run->prompt_tokens - cached;
  j->import = !cached && run->kv_tokens <= run->prompt_tokens &&
              pwmove_should_import(&a->move, run->kv_tokens);
  if (j->import)
    prompt -= run->kv_tokens * (1 - share);
  j->cost = PWBOUND_PROMPT_WEIGHT * prompt + run->output_tokens;
  j->left = j->cost;
  *recompute = cached * share;
}

/* Refuses a Run that requires a cached prefix which this target does not have.
** Returns whether the Run was refused. */
static int refuse_without_prefix(pw_agent *a, const Pw__Run *run,
                                 const pw_peer *from, int64_t now) {
  char target[PW_NAME_MAX] = "";
  if (!run->need_prefix || pwcache_expect(&a->cache, run->chat, now))
    return 0;
  pwchat_get(a->pointers, run->chat, target, NULL, now);
  pwag_refuse(a, from, run,
              &(pw_ag_refusal){.code = PW_E_MISS, .pointer = target}, now);
  return 1;
}

/* Starts an attempt that resumes a stream, in place of the earlier attempt. The
** attempt bypasses the queue, since the engine already generates its tokens. */
static void resume(pw_agent *a, pw_job *j, int64_t now) {
  pw_ag_job *h, *tmp;
  pwdetached_remove(a->detached, j->origin);
  HASH_ITER(hh, a->jobs, h, tmp) {
    if (!strcmp(h->job->origin, j->origin) && h->job != j) {
      pwjob_cancel(h->job);
      h->cancelled = 1;
    }
  }
  pwload_add(&a->admit.load, j->cost, now);
  a->admit.running++;
  add_job(a, j, now);
  run_now(a, j, now);
}

/* Starts, queues or refuses a job. */
static void admit_job(pw_agent *a, pw_job *j, int64_t now) {
  const Pw__Run *run = j->run;
  double recompute;
  estimate_cost(a, j, &recompute, now);
  j->since = now;
  j->deadline = now + run->deadline;
  if (j->deadline > run->start_by)
    j->deadline = run->start_by;
  if (run->resume_of[0] && is_known(a, run->resume_of)) {
    resume(a, j, now);
    return;
  }
  pw_admit_request request = {
      .workspace = run->workspace,
      .weight = run->weight,
      .priority = run->priority,
      .cost = j->cost,
      .recompute = recompute,
      .deadline = j->deadline,
      .age_ms = now - (run->start_by - (int64_t)run->deadline),
      .may_queue = run->may_queue,
      .job = j};
  pw_admit_answer answer = pwadmit_decide(
      &a->admit, &request, pwdesired_pool(&a->desired, run->pool), now);
  if (answer.by_bound)
    pwcount_add(a->p->counters, PWC_BOUND, 1);
  if (answer.verdict == PW_ADMIT_REFUSED) {
    pw_ag_refusal why = {.code = answer.code,
                         .wait = answer.wait,
                         .worth = answer.worth,
                         .kv_tokens = a->move.may_import ? j->expected : 0};
    pwag_refuse(a, &j->peer, run, &why, now);
    pwjob_free(j);
    return;
  }
  add_job(a, j, now);
  if (answer.verdict == PW_ADMIT_START)
    run_now(a, j, now);
  else
    pwcount_add(a->p->counters, PWC_QUEUED, 1);
  if (answer.evicted_job)
    pwag_refuse_queued(a, answer.evicted_job, PW_E_BUSY, now);
}

/* Handles a Run. One that becomes a job is taken out of the envelope. */
static void on_run(pw_agent *a, const pw_peer *from, Pw__Envelope *e,
                   int64_t now) {
  Pw__Run *run = e->run;
  if (is_duplicate(a, run->attempt)) {
    pwcount_add(a->p->counters, PWC_DUPLICATES, 1);
    return;
  }
  pw_code rc = check_run(a, run, now);
  if (rc != PW_OK) {
    pwag_refuse(a, from, run, &(pw_ag_refusal){.code = rc}, now);
    return;
  }
  if (refuse_without_prefix(a, run, from, now))
    return;
  e->run = NULL;
  e->body_case = PW__ENVELOPE__BODY__NOT_SET;
  admit_job(a, pwjob_new(run, from), now);
}

/* --- other messages from entries --- */

void pwag_cancel(pw_agent *a, pw_ag_job *h, int64_t now) {
  pw_job *j = h->job;
  if (!j->started) {
    if (pwqueue_remove(a->admit.queue, j)) {
      pwag_refuse(a, &j->peer, j->run, &(pw_ag_refusal){.code = PW_E_GONE},
                  now);
      pwag_release(a, h);
    }
    return;
  }
  if (j->run->never) {
    pwjob_orphan(j);
    return;
  }
  if (h->cancelled)
    return;
  h->cancelled = 1;
  pwcount_add(a->p->counters, PWC_CANCELS, 1);
  pwjob_cancel(j);
  if (!j->run->service)
    pwjob_cancel_at_target(a->workers, j->origin);
}

void pwag_on_listener(pw_agent *a, int64_t now) {
  pw_peer from;
  Pw__Envelope *e;
  while ((e = pwwire_recv(a->listener, &from)) != NULL) {
    pw_ag_job *h = NULL;
    switch (e->body_case) {
    case PW__ENVELOPE__BODY_RUN:
      on_run(a, &from, e, now);
      break;
    case PW__ENVELOPE__BODY_CREDIT:
      h = pwag_job(a, e->credit->attempt);
      if (h)
        pwjob_credit(h->job, e->credit->offset);
      break;
    case PW__ENVELOPE__BODY_CANCEL:
      h = pwag_job(a, e->cancel->attempt);
      if (h)
        pwag_cancel(a, h, now);
      break;
    case PW__ENVELOPE__BODY_POINTER:
      pwchat_put(a->pointers, e->pointer->chat, e->pointer->target, 0, now);
      break;
    case PW__ENVELOPE__BODY_PING:
      send_pong(a, &from, now);
      for (pw_ag_job *x = a->jobs; x; x = x->hh.next)
        if (pwwire_same_peer(&x->job->peer, &from))
          x->received_at = now;
      break;
    default:
      break;
    }
    if (h)
      h->received_at = now;
    pw__envelope__free_unpacked(e, NULL);
  }
}
