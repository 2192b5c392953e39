/* pwagent.c: the agent role. */
#include "pwagent.h"

#include "pwadmit.h"
#include "pwbuf.h"
#include "pwcache.h"
#include "pwcarry.h"
#include "pwchat.h"
#include "pwjob.h"
#include "pwkvfeed.h"
#include "pwlog.h"
#include "pwmove.h"
#include "pwsub.h"
#include "pwunheard.h"
#include "pwview.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>
#include <zmq.h>

#define TICK_MS 10
#define SPARE_WORKERS 2 /* for cancels */
#define PEER_LOST_MS 10000
#define NS_PER_MS 1000000

/* Attempt ids seen, in order of arrival. */
typedef struct seen {
  char attempt[PW_NAME_MAX];
  UT_hash_handle hh;
} seen;

typedef struct held {
  char attempt[PW_NAME_MAX];
  pw_job *job;
  int cancelled; /* the entry gave it up */
  int64_t heard; /* last word from the entry about it */
  UT_hash_handle hh;
} held;

typedef struct agent {
  pw_proc *p;
  pw_sock *listener;
  pw_sock *dialler;
  pw_mail *mail;
  pw_server *http;
  pw_sub *sub;
  pw_workers *workers;
  pw_admit admit;
  pw_cache cache;     /* what the target is believed to have cached */
  pw_kvfeed *kvfeed;  /* its cache events */
  pw_move move;       /* prices of computing and moving prefixes */
  pw_chats *pointers; /* chats displaced from here */
  held *jobs;
  pw_unheard *unheard;
  seen *seen;
  pw_carry carry;  /* what the target is to carry */
  int64_t news_at; /* when its state last changed */
  pw_policy policy;
  int64_t stop_at;
} agent;

/* --- what it tells others --- */

static int is_leaving(const agent *a) {
  return a->carry.drain || atomic_load(&a->p->stopping);
}

static void fill_load(agent *a, Pw__Load *l, int64_t now) {
  pw__load__init(l);
  l->target = a->p->set->agent_target;
  l->tokens = (uint64_t)pwload_now(&a->admit.load, now);
  l->rate = (uint64_t)a->admit.load.rate;
  l->queued = (uint32_t)pwqueue_count(a->admit.queue);
  l->running = (uint32_t)a->admit.running;
  l->leaving = is_leaving(a);
  l->clock = now;
  l->incarnation = pwwire_incarnation(a->p->wire);
  l->retry_after = pwadmit_wait(&a->admit, "", 1, 0);
  pwcount_set(a->p->counters, PWC_LOAD, (int64_t)l->tokens);
  pwcount_set(a->p->counters, PWC_QUEUE, l->queued);
}

/* Why, and what may help elsewhere. */
typedef struct refusal {
  pw_code code;
  uint32_t wait, worth; /* ms, as pw_admit_answer has them */
  uint32_t kv_tokens;   /* prefix that another engine may take over */
  const char *pointer;  /* target that has the prefix, or NULL */
} refusal;

static void refuse(agent *a, const pw_peer *to, const Pw__Run *run,
                   const refusal *why, int64_t now) {
  Pw__Load load;
  fill_load(a, &load, now);
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

static void send_pong(agent *a, const pw_peer *to, int64_t now) {
  Pw__Load load;
  fill_load(a, &load, now);
  Pw__Load *list[1] = {&load};
  Pw__Loads l = PW__LOADS__INIT;
  l.loads = list;
  l.n_loads = 1;
  Pw__Envelope e = PW_ENVELOPE(LOADS, loads, &l);
  pwwire_send(a->listener, to, &e);
}

/* --- jobs --- */

static const pw_pool_sum *sum_of_job(void *arg, void *job) {
  const agent *a = arg;
  const pw_job *j = job;
  static const pw_pool_sum alone = {.targets = 1}; /* the pool was taken away */
  const pw_pool_sum *sum = pwcarry_pool(&a->carry, j->run->pool);
  return sum ? sum : &alone;
}

static held *held_of(agent *a, const char *attempt) {
  held *h;
  HASH_FIND_STR(a->jobs, attempt, h);
  return h;
}

static held *hold(agent *a, pw_job *j, int64_t now) {
  held *h = pw_alloc(sizeof *h);
  pw_copy(h->attempt, sizeof h->attempt, j->run->attempt);
  h->job = j;
  h->heard = now;
  HASH_ADD_STR(a->jobs, attempt, h);
  pwcount_set(a->p->counters, PWC_ACTIVE, HASH_COUNT(a->jobs));
  return h;
}

static void let_go(agent *a, held *h) {
  HASH_DEL(a->jobs, h);
  pwjob_free(h->job);
  free(h);
  pwcount_set(a->p->counters, PWC_ACTIVE, HASH_COUNT(a->jobs));
}

static void run_now(agent *a, pw_job *j, int64_t now) {
  pwcount_add(a->p->counters, PWC_ADMITTED, 1);
  pwcount_observe(a->p->counters, PWH_WAIT, (now - j->since) * 1000);
  j->since = now;
  pwjob_start(a->workers, j);
}

static void start_queued(agent *a, int64_t now) {
  pw_job *j;
  while ((j = pwadmit_next(&a->admit, sum_of_job, a, now)) != NULL)
    run_now(a, j, now);
}

/* A queued job that will not be started: refused with proof. */
static void refuse_queued(agent *a, pw_job *j, pw_code code, int64_t now) {
  held *h = held_of(a, j->run->attempt);
  uint32_t wait = pwadmit_wait(&a->admit, j->run->workspace, j->run->weight,
                               j->run->priority);
  refuse(a, &j->peer, j->run, &(refusal){.code = code, .wait = wait}, now);
  let_go(a, h);
}

/* --- a Run arrives --- */

static int is_known(const agent *a, const char *attempt) {
  seen *s;
  HASH_FIND_STR(a->seen, attempt, s);
  return s != NULL;
}

static int was_seen(agent *a, const char *attempt) {
  if (is_known(a, attempt))
    return 1;
  seen *s = pw_alloc(sizeof *s);
  pw_copy(s->attempt, sizeof s->attempt, attempt);
  HASH_ADD_STR(a->seen, attempt, s);
  if (HASH_COUNT(a->seen) > PW_SEEN_MAX) {
    seen *oldest = a->seen;
    HASH_DEL(a->seen, oldest);
    free(oldest);
  }
  return 0;
}

static pw_code check_run(agent *a, const Pw__Run *run, int64_t now) {
  if (run->incarnation != pwwire_incarnation(a->p->wire))
    return PW_E_STALE;
  if (now >= run->start_by)
    return PW_E_STALE;
  if (is_leaving(a))
    return PW_E_LEAVING;
  if (!pwsub_may_serve(a->sub, now))
    return PW_E_NOT_READY;
  if (!a->carry.known || !pwcarry_pool(&a->carry, run->pool))
    return PW_E_NO_TARGET;
  return PW_OK;
}

/* Cost in tokens: what of the prompt is neither cached nor taken over from
** another engine, and the output. */
static void reckon(agent *a, pw_job *j, double *recompute, int64_t now) {
  const Pw__Run *run = j->run;
  uint32_t cached =
      run->service ? 0 : pwcache_expect(&a->cache, run->chat, now);
  double share = pwmove_share(&a->move);
  j->expected = cached;
  if (cached > run->prompt_tokens)
    cached = run->prompt_tokens;
  double prompt = run->prompt_tokens - cached;
  j->import = !cached && run->kv_tokens <= run->prompt_tokens &&
              pwmove_takes(&a->move, run->kv_tokens);
  if (j->import)
    prompt -= run->kv_tokens * (1 - share);
  j->cost = PWBOUND_PROMPT_WEIGHT * prompt + run->output_tokens;
  j->left = j->cost;
  *recompute = cached * share;
}

/* What the answer's head says about the price of prompts. */
static void learn_prices(agent *a, const pw_job *j, int64_t now) {
  double ms = (double)(now - j->since);
  uint32_t computed = j->prompt > j->cached ? j->prompt - j->cached : 0;
  if (!j->import) {
    pwmove_computed(&a->move, computed, ms);
    return;
  }
  double rest = computed * a->move.compute;
  pwmove_imported(&a->move, j->run->kv_tokens, j->cached,
                  ms > rest ? ms - rest : 0);
  pwcount_add(a->p->counters, PWC_KV_MOVED, j->cached);
}

static int lacks_prefix(agent *a, const Pw__Run *run, const pw_peer *from,
                        int64_t now) {
  char where[PW_NAME_MAX] = "";
  if (!run->need_prefix || pwcache_expect(&a->cache, run->chat, now))
    return 0;
  pwchat_get(a->pointers, run->chat, where, NULL, now);
  refuse(a, from, run, &(refusal){.code = PW_E_MISS, .pointer = where}, now);
  return 1;
}

/* A resumed stream takes over from its earlier attempt, with no new place in
** the queue: its tokens are in progress at the engine already. */
static void resume(agent *a, pw_job *j, int64_t now) {
  held *h, *tmp;
  pwunheard_forget(a->unheard, j->origin);
  HASH_ITER(hh, a->jobs, h, tmp) {
    if (!strcmp(h->job->origin, j->origin) && h->job != j) {
      pwjob_cancel(h->job);
      h->cancelled = 1;
    }
  }
  pwload_add(&a->admit.load, j->cost, now);
  a->admit.running++;
  hold(a, j, now);
  run_now(a, j, now);
}

static void decide(agent *a, pw_job *j, int64_t now) {
  const Pw__Run *run = j->run;
  double recompute;
  reckon(a, j, &recompute, now);
  j->since = now;
  j->deadline = now + run->deadline;
  if (j->deadline > run->start_by)
    j->deadline = run->start_by;
  if (run->resume_of[0] && is_known(a, run->resume_of)) {
    resume(a, j, now);
    return;
  }
  pw_admit_ask ask = {.workspace = run->workspace,
                      .weight = run->weight,
                      .priority = run->priority,
                      .cost = j->cost,
                      .recompute = recompute,
                      .deadline = j->deadline,
                      .may_queue = run->may_queue,
                      .job = j};
  pw_admit_answer ans =
      pwadmit_ask(&a->admit, &ask, pwcarry_pool(&a->carry, run->pool), now);
  if (ans.by_bound)
    pwcount_add(a->p->counters, PWC_BOUND, 1);
  if (ans.verdict == PW_ADMIT_REFUSED) {
    refusal why = {.code = ans.code,
                   .wait = ans.wait,
                   .worth = ans.worth,
                   .kv_tokens = a->move.may_import ? j->expected : 0};
    refuse(a, &j->peer, run, &why, now);
    pwjob_free(j);
    return;
  }
  hold(a, j, now);
  if (ans.verdict == PW_ADMIT_START)
    run_now(a, j, now);
  else
    pwcount_add(a->p->counters, PWC_QUEUED, 1);
  if (ans.pushed_out)
    refuse_queued(a, ans.pushed_out, PW_E_BUSY, now);
}

/* Takes the Run out of the envelope when it becomes a job. */
static void on_run(agent *a, const pw_peer *from, Pw__Envelope *e,
                   int64_t now) {
  Pw__Run *run = e->run;
  if (was_seen(a, run->attempt)) {
    pwcount_add(a->p->counters, PWC_DUPLICATES, 1);
    return;
  }
  pw_code rc = check_run(a, run, now);
  if (rc != PW_OK) {
    refuse(a, from, run, &(refusal){.code = rc}, now);
    return;
  }
  if (lacks_prefix(a, run, from, now))
    return;
  e->run = NULL;
  e->body_case = PW__ENVELOPE__BODY__NOT_SET;
  decide(a, pwjob_new(run, from), now);
}

/* --- other words from entries --- */

static void cancel(agent *a, held *h, int64_t now) {
  pw_job *j = h->job;
  if (!j->started) {
    if (pwqueue_remove(a->admit.queue, j)) {
      refuse(a, &j->peer, j->run, &(refusal){.code = PW_E_GONE}, now);
      let_go(a, h);
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

static void on_listener(agent *a, int64_t now) {
  pw_peer from;
  Pw__Envelope *e;
  while ((e = pwwire_recv(a->listener, &from)) != NULL) {
    held *h = NULL;
    switch (e->body_case) {
    case PW__ENVELOPE__BODY_RUN:
      on_run(a, &from, e, now);
      break;
    case PW__ENVELOPE__BODY_CREDIT:
      h = held_of(a, e->credit->attempt);
      if (h)
        pwjob_credit(h->job, e->credit->offset);
      break;
    case PW__ENVELOPE__BODY_CANCEL:
      h = held_of(a, e->cancel->attempt);
      if (h)
        cancel(a, h, now);
      break;
    case PW__ENVELOPE__BODY_POINTER:
      pwchat_put(a->pointers, e->pointer->chat, e->pointer->target, 0, now);
      break;
    case PW__ENVELOPE__BODY_PING:
      send_pong(a, &from, now);
      for (held *x = a->jobs; x; x = x->hh.next)
        if (pwwire_same(&x->job->peer, &from))
          x->heard = now;
      break;
    default:
      break;
    }
    if (h)
      h->heard = now;
    pw__envelope__free_unpacked(e, NULL);
  }
}

/* --- words from the workers --- */

/* The entry cannot be reached: stops reading, and lets the stream rest. */
static void abandon(agent *a, held *h, int64_t now) {
  pw_job *j = h->job;
  if (j->run->never || j->run->service || h->cancelled) {
    cancel(a, h, now);
    return;
  }
  h->cancelled = 1;
  pwjob_cancel(j);
  pwunheard_put(a->unheard, j->origin, now);
}

static void expire_unheard(agent *a, int64_t now) {
  char origin[PW_NAME_MAX];
  while (pwunheard_expired(a->unheard, now, origin))
    pwjob_cancel_at_target(a->workers, origin);
}

static void send_or_abandon(agent *a, held *h, Pw__Envelope *e, int64_t now) {
  if (pwwire_send(a->listener, &h->job->peer, e) != 0)
    abandon(a, h, now);
}

static void on_head(agent *a, held *h, pw_job_note *n, int64_t now) {
  pw_job *j = h->job;
  for (size_t i = 0; i < n->nheader; i++) {
    if (!strcmp(n->header[i]->name, "X-Cached-Tokens"))
      j->cached = (uint32_t)strtoul(n->header[i]->value, NULL, 10);
    if (!strcmp(n->header[i]->name, "X-Prompt-Tokens"))
      j->prompt = (uint32_t)strtoul(n->header[i]->value, NULL, 10);
  }
  double prompt = j->cost - j->run->output_tokens;
  if (!j->run->service && prompt > 0) {
    pwadmit_progress(&a->admit, prompt, now);
    j->left -= prompt;
  }
  if (n->status == 200 && !j->run->service && j->run->chat[0]) {
    uint32_t tokens = j->prompt ? j->prompt : j->run->prompt_tokens;
    learn_prices(a, j, now);
    if (j->cached < j->expected / 2)
      pwcount_add(a->p->counters, PWC_CACHE_WRONG, 1);
    pwcache_seen(&a->cache, j->run->chat, tokens, j->cached, j->expected, now);
    pwchat_forget(a->pointers, j->run->chat);
  }
  Pw__Load load;
  fill_load(a, &load, now);
  Pw__Head head = PW__HEAD__INIT;
  head.attempt = j->run->attempt;
  head.status = (uint32_t)n->status;
  head.headers = n->header;
  head.n_headers = n->nheader;
  head.load = &load;
  Pw__Envelope e = PW_ENVELOPE(HEAD, head, &head);
  send_or_abandon(a, h, &e, now);
}

/* Tokens in a piece of a stream: one an event. */
static uint32_t count_tokens(const pw_job_note *n) {
  uint32_t count = 0;
  for (size_t i = 0; i + 5 <= n->len; i++)
    count += !memcmp(n->data + i, "data:", 5);
  return count;
}

static void on_data(agent *a, held *h, const pw_job_note *n, int64_t now) {
  pw_job *j = h->job;
  if (j->run->stream) {
    double tokens = count_tokens(n);
    if (tokens > j->left)
      tokens = j->left;
    j->output += (uint32_t)tokens;
    j->left -= tokens;
    pwadmit_progress(&a->admit, tokens, now);
  }
  if (j->orphan || h->cancelled)
    return;
  Pw__Chunk c = PW__CHUNK__INIT;
  c.attempt = j->run->attempt;
  c.offset = n->offset;
  c.data.data = (uint8_t *)n->data;
  c.data.len = n->len;
  Pw__Envelope e = PW_ENVELOPE(CHUNK, chunk, &c);
  send_or_abandon(a, h, &e, now);
}

static void on_end(agent *a, held *h, const pw_job_note *n, int64_t now) {
  pw_job *j = h->job;
  pwadmit_end(&a->admit, j->left, now);
  int proof = n->code == PW_E_CONNECT && !n->sent && !j->run->resume_of[0];
  if (proof) {
    refuse(a, &j->peer, j->run, &(refusal){.code = PW_E_CONNECT}, now);
  } else {
    Pw__Load load;
    fill_load(a, &load, now);
    Pw__End end = PW__END__INIT;
    end.attempt = j->run->attempt;
    end.length = j->sent;
    end.code = n->code;
    end.cached_tokens = j->cached;
    end.prompt_tokens = j->prompt;
    end.output_tokens = j->output;
    end.started = 1;
    end.load = &load;
    Pw__Envelope e = PW_ENVELOPE(END, end, &end);
    pwwire_send(a->listener, &j->peer, &e);
  }
  if (n->code == PW_E_CONNECT)
    pwcache_restarted(&a->cache); /* a target that went away forgot it all */
  let_go(a, h);
}

static void on_mail(agent *a, int64_t now) {
  pwmail_clear(a->mail);
  pw_job_note *n;
  while ((n = (pw_job_note *)pwmail_take(a->mail)) != NULL) {
    held *h = held_of(a, n->job->run->attempt);
    if (n->event == PW_JOB_HEAD && !h->cancelled)
      on_head(a, h, n, now);
    else if (n->event == PW_JOB_DATA)
      on_data(a, h, n, now);
    else if (n->event == PW_JOB_END)
      on_end(a, h, n, now);
    pwjob_note_free(n);
  }
}

/* --- configuration --- */

/* Queued for a pool that the target is in no longer: refused with proof. */
static void refuse_outside(agent *a, int64_t now) {
  held *h, *tmp;
  HASH_ITER(hh, a->jobs, h, tmp) {
    pw_job *j = h->job;
    if (!j->started && !pwcarry_pool(&a->carry, j->run->pool) &&
        pwqueue_remove(a->admit.queue, j))
      refuse_queued(a, j, PW_E_NO_TARGET, now);
  }
}

static void resources_changed(agent *a, int64_t now) {
  const pw_res *r = pwsub_resources(a->sub);
  if (pwcarry_update(&a->carry, r))
    pwcache_restarted(&a->cache); /* a version's cache is no other's */
  refuse_outside(a, now);
  pwview_read_policy(r, &a->policy);
  a->admit.reuse = a->policy.reuse_worth;
  a->admit.bound = a->policy.bound;
  pwwire_set_revision(a->p->wire, pwres_revision(r));
  pwcount_set(a->p->counters, PWC_REVISION, (int64_t)pwres_revision(r));
}

static void on_dialler(agent *a, int64_t now) {
  pw_peer from;
  Pw__Envelope *e;
  while ((e = pwwire_recv(a->dialler, &from)) != NULL) {
    if (e->body_case == PW__ENVELOPE__BODY_WELCOME) {
      if (pwsub_welcome(a->sub, &from, e, now))
        resources_changed(a, now);
      pwcarry_sums(&a->carry, e->welcome);
    }
    pw__envelope__free_unpacked(e, NULL);
  }
}

/* --- time --- */

static void say_hello(agent *a, int64_t now) {
  if (!pwsub_due(a->sub, now))
    return;
  Pw__Load load;
  fill_load(a, &load, now);
  Pw__Hello h = PW__HELLO__INIT;
  h.role = "agent";
  h.availability_zone = a->p->set->availability_zone;
  h.region = a->p->set->region;
  h.http = a->p->set->agent_http;
  h.below = 1;
  h.below_revision = pwres_revision(pwsub_resources(a->sub));
  h.behind = a->p->set->name;
  h.load = &load;
  h.stopping = atomic_load(&a->p->stopping) != 0;
  Pw__TargetState state;
  Pw__TargetState *states[1] = {&state};
  int news = pwcarry_has_news(&a->carry);
  a->news_at = news ? now : a->news_at;
  int tell = a->news_at >= pwsub_told_at(a->sub);
  if (tell) {
    pwcarry_state(&a->carry, &state);
    h.states = states;
    h.n_states = 1;
  }
  pwsub_hello(a->sub, &h, now);
  if (tell)
    pworder_state_clear(&state);
}

static int is_busy(void *arg, const char *model) {
  const agent *a = arg;
  for (const held *h = a->jobs; h; h = h->hh.next)
    if (pwcarry_is_of(h->job->run->pool, model))
      return 1;
  return 0;
}

/* Orders may go out as long as this process may serve. */
static void act(agent *a, int64_t now) {
  int64_t touch = pwsub_touch_age(a->sub, now);
  int64_t left = touch < 0 ? 0 : a->p->set->agent_stale - touch;
  pwcarry_act(&a->carry, is_busy, a, now + left);
  if (pwcarry_has_news(&a->carry))
    pwsub_hurry(a->sub);
}

/* Jobs whose deadline has passed in the queue, and those whose entry is lost.
 */
static void expire_jobs(agent *a, int64_t now) {
  pw_job *j;
  while ((j = pwqueue_expired(a->admit.queue, now)) != NULL)
    refuse_queued(a, j, PW_E_DEADLINE, now);
  held *h, *tmp;
  HASH_ITER(hh, a->jobs, h, tmp) {
    int waiting = !h->job->started || pwjob_is_blocked(h->job);
    if (waiting && now - h->heard > PEER_LOST_MS)
      cancel(a, h, now);
  }
}

/* Cache events: what is missing between two of them is asked for as a whole. */
static void hear_cache(agent *a) {
  pw_cache_news news;
  if (!pwkvfeed_take(a->kvfeed, &news))
    return;
  int whole = pwcache_news(&a->cache, &news);
  pwcount_add(a->p->counters, PWC_CACHE_EVENTS, (int64_t)news.n);
  if (!whole)
    pwcount_add(a->p->counters, PWC_CACHE_GAPS, 1);
  pwkvfeed_clear(&news);
  pwkvfeed_go_on(a->kvfeed, a->cache.seen, !whole);
}

static void tick(agent *a, int64_t now) {
  hear_cache(a);
  say_hello(a, now);
  expire_jobs(a, now);
  expire_unheard(a, now);
  start_queued(a, now);
  act(a, now);
  pwproc_set_ready(a->p, pwsub_may_serve(a->sub, now) && !is_leaving(a));
}

/* Jobs that somebody still waits for. */
static int live_jobs(const agent *a) {
  int n = 0;
  for (const held *h = a->jobs; h; h = h->hh.next)
    n += !h->cancelled;
  return n;
}

static int may_end(agent *a, int64_t now) {
  int stopping = atomic_load(&a->p->stopping);
  if (!stopping)
    return 0;
  if (!a->stop_at) {
    a->stop_at = now;
    pwsub_hurry(a->sub);
    pwevent_add(a->p->events, PWE_STOPPING, 0, NULL, NULL,
                a->p->set->agent_target, "jobs=%d", (int)HASH_COUNT(a->jobs));
    pwlog(LOG_NOTICE, "stopping", "jobs=%d", (int)HASH_COUNT(a->jobs));
  }
  if (stopping > 1 || now - a->stop_at > a->p->set->stop_limit)
    return 1;
  return live_jobs(a) == 0 && now - a->stop_at > PW_HELLO_MS;
}

static void loop(agent *a) {
  zmq_pollitem_t items[3] = {{pwwire_raw(a->listener), 0, ZMQ_POLLIN, 0},
                             {pwwire_raw(a->dialler), 0, ZMQ_POLLIN, 0},
                             {NULL, pwmail_fd(a->mail), ZMQ_POLLIN, 0}};
  int64_t ticked = 0;
  while (!may_end(a, pwclock_ms())) {
    zmq_poll(items, 3, TICK_MS);
    int64_t now = pwclock_ms();
    on_dialler(a, now);
    on_mail(a, now);
    on_listener(a, now);
    start_queued(a, now);
    if (now - ticked >= TICK_MS) {
      ticked = now;
      tick(a, now);
    }
  }
}

static void on_http(void *arg, pw_http *h, int again) {
  agent *a = arg;
  (void)again;
  if (!pwproc_handle(a->p, h))
    pwproc_refuse(h, PW_E_PATH, "", "not-run", 0);
}

static int start_http(agent *a, pw_buf *err) {
  if (!a->p->set->agent_http[0])
    return 0;
  pw_serve_setup setup = {.addr = a->p->set->agent_http,
                          .threads = 1,
                          .max_body = 1024,
                          .max_connections = 64,
                          .idle_timeout = 10,
                          .tls_cert = "",
                          .tls_key = "",
                          .arg = a,
                          .handle = on_http};
  a->http = pwserve_start(&setup, err);
  return a->http ? 0 : -1;
}

static void make_parts(agent *a) {
  const pw_settings *set = a->p->set;
  int64_t now = pwclock_ms();
  a->dialler = pwwire_dialler(a->p->wire);
  a->mail = pwmail_new();
  a->unheard = pwunheard_new();
  a->sub = pwsub_new(a->p, a->dialler, &set->agent_upstream, 0,
                     set->agent_stale, set->agent_when_cut_off);
  a->workers = pwjob_workers(a->mail, set->agent_url,
                             (int)set->agent_slots + SPARE_WORKERS,
                             (int)set->agent_engine_timeout);
  int is_engine = !strcmp(set->agent_kind, "engine"); /* a service has none */
  a->kvfeed = pwkvfeed_start(a->p, set->agent_url,
                             is_engine ? set->agent_cache_events : 0);
  pwadmit_init(&a->admit, (int)set->agent_slots, (int)set->agent_queue,
               (double)set->agent_decode_rate, now);
  pwcarry_init(&a->carry, a->p);
  pwcache_init(&a->cache);
  pwmove_init(&a->move, !strcmp(set->agent_kv_cache, "moves"));
  a->pointers = pwchat_new(PW_POINTERS_MAX, PW_POINTER_KEEP_MS);
}

/* Breaks off what is left and waits for the workers. A worker that waits for a
** silent target keeps its job and the mailbox. */
static int end_jobs(agent *a) {
  held *h, *tmp;
  HASH_ITER(hh, a->jobs, h, tmp) {
    pwjob_cancel(h->job);
  }
  int stuck = pwjob_workers_free(a->workers);
  if (!stuck)
    on_mail(a, pwclock_ms());
  HASH_ITER(hh, a->jobs, h, tmp) {
    HASH_DEL(a->jobs, h);
    if (!stuck)
      pwjob_free(h->job);
    free(h);
  }
  return stuck;
}

static void free_parts(agent *a) {
  seen *s, *tmp;
  HASH_ITER(hh, a->seen, s, tmp) {
    HASH_DEL(a->seen, s);
    free(s);
  }
  pwunheard_free(a->unheard);
  pwadmit_free(&a->admit);
  pwcache_free(&a->cache);
  pwchat_free(a->pointers);
  pwsub_free(a->sub);
  pwwire_close(a->dialler);
}

pw_code pwagent_run(pw_proc *p, pw_buf *err) {
  agent a = {.p = p};
  pw_code rc = PW_E_SETTINGS;
  a.listener = pwwire_listen(p->wire, p->set->agent_wire, err);
  if (!a.listener)
    return rc;
  make_parts(&a);
  if (start_http(&a, err) == 0) {
    loop(&a);
    rc = PW_OK;
  }
  if (end_jobs(&a) == 0)
    pwmail_free(a.mail);
  pwcarry_end(&a.carry); /* a thread that is stuck ends with the process */
  pwkvfeed_stop(a.kvfeed);
  pwserve_stop(a.http);
  free_parts(&a);
  pwwire_close(a.listener);
  return rc;
}
