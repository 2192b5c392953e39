/* pwagent.c: the agent role: its sockets, its event loop and its periodic work. */
#include "pwagent.h"

#include "pwag.h"
#include "pwlog.h"

#include <stdlib.h>
#include <string.h>
#include <zmq.h>

#define TICK_MS 10
#define IDLE_TICK_MS 50    /* without jobs; a message ends the wait at once */
#define APPLY_MS 50        /* between calls of pwdesired_apply */
#define SPARE_WORKERS 2    /* for cancels, besides one worker per slot */
#define PEER_LOST_MS 10000 /* a silent entry counts as lost after this time */

/* --- configuration --- */

/* Refuses queued jobs of pools that the target is no longer in. */
static void refuse_removed_pools(pw_agent *a, int64_t now) {
  pw_ag_job *h, *tmp;
  HASH_ITER(hh, a->jobs, h, tmp) {
    pw_job *j = h->job;
    if (!j->started && !pwdesired_pool(&a->desired, j->run->pool) &&
        pwqueue_remove(a->admit.queue, j))
      pwag_refuse_queued(a, j, PW_E_NO_TARGET, now);
  }
}

static void resources_changed(pw_agent *a, int64_t now) {
  const pw_res *r = pwsub_resources(a->sub);
  if (pwdesired_update(&a->desired, r))
    pwcache_restarted(&a->cache); /* a cache belongs to one version */
  refuse_removed_pools(a, now);
  pwview_read_policy(r, &a->policy);
  a->admit.reuse = a->policy.reuse_worth;
  a->admit.bound = a->policy.bound;
  pwwire_set_revision(a->p->wire, pwres_revision(r));
  pwcount_set(a->p->counters, PWC_REVISION, (int64_t)pwres_revision(r));
}

static void on_dialler(pw_agent *a, int64_t now) {
  pw_peer from;
  Pw__Envelope *e;
  while ((e = pwwire_recv(a->dialler, &from)) != NULL) {
    if (e->body_case == PW__ENVELOPE__BODY_WELCOME) {
      if (pwsub_welcome(a->sub, &from, e, now))
        resources_changed(a, now);
      pwdesired_set_sums(&a->desired, e->welcome);
    }
    pw__envelope__free_unpacked(e, NULL);
  }
}

/* --- periodic work --- */

static void send_hello(pw_agent *a, int64_t now) {
  if (!pwsub_hello_due(a->sub, now))
    return;
  Pw__Load load;
  pwag_fill_load(a, &load, now);
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
  int has_changed = pwdesired_state_changed(&a->desired);
  a->state_changed_at = has_changed ? now : a->state_changed_at;
  int send_state = a->state_changed_at >= pwsub_confirmed_at(a->sub);
  if (send_state) {
    pwdesired_take_state(&a->desired, &state);
    h.states = states;
    h.n_states = 1;
  }
  pwsub_hello(a->sub, &h, now);
  if (send_state)
    pworder_state_clear(&state);
}

static int is_busy(void *arg, const char *model) {
  const pw_agent *a = arg;
  for (const pw_ag_job *h = a->jobs; h; h = h->hh.next)
    if (pwdesired_is_pool_of(h->job->run->pool, model))
      return 1;
  return 0;
}

/* Passes the desired state to the order thread, which may send orders as long as
** this process may serve. */
static void apply_desired(pw_agent *a, int64_t now) {
  if (now - a->applied_at < APPLY_MS)
    return;
  a->applied_at = now;
  int64_t contact_age = pwsub_contact_age(a->sub, now);
  int64_t left = contact_age < 0 ? 0 : a->p->set->agent_stale - contact_age;
  pwdesired_apply(&a->desired, is_busy, a, now + left);
  if (pwdesired_state_changed(&a->desired))
    pwsub_hello_now(a->sub);
}

/* Ends queued jobs whose deadline has passed, and jobs whose entry is lost while
** they wait for it. */
static void expire_jobs(pw_agent *a, int64_t now) {
  pw_job *j;
  while ((j = pwqueue_expired(a->admit.queue, now)) != NULL)
    pwag_refuse_queued(a, j, PW_E_DEADLINE, now);
  pw_ag_job *h, *tmp;
  HASH_ITER(hh, a->jobs, h, tmp) {
    int waiting = !h->job->started || pwjob_is_blocked(h->job);
    if (waiting && now - h->received_at > PEER_LOST_MS)
      pwag_cancel(a, h, now);
  }
}

/* Takes in cache events. Requests a snapshot when events are missing. */
static void read_cache_events(pw_agent *a) {
  pw_cache_update update;
  if (!pwkvfeed_take(a->kvfeed, &update))
    return;
  int is_complete = pwcache_update(&a->cache, &update);
  pwcount_add(a->p->counters, PWC_CACHE_EVENTS, (int64_t)update.n);
  if (!is_complete)
    pwcount_add(a->p->counters, PWC_CACHE_GAPS, 1);
  pwkvfeed_clear(&update);
  pwkvfeed_resume(a->kvfeed, a->cache.seen, !is_complete);
}

static void tick(pw_agent *a, int64_t now) {
  read_cache_events(a);
  send_hello(a, now);
  expire_jobs(a, now);
  pwag_expire_detached(a, now);
  pwag_start_queued(a, now);
  apply_desired(a, now);
  pwproc_set_ready(a->p, pwsub_may_serve(a->sub, now) && !pwag_is_leaving(a));
}

/* Counts the jobs that were not cancelled. */
static int count_live_jobs(const pw_agent *a) {
  int n = 0;
  for (const pw_ag_job *h = a->jobs; h; h = h->hh.next)
    n += !h->cancelled;
  return n;
}

/* Whether the loop may end: the limit has passed, or no job is left and the parent
** has had time to receive the last Hello. */
static int may_end(pw_agent *a, int64_t now) {
  int stopping = atomic_load(&a->p->stopping);
  if (!stopping)
    return 0;
  if (!a->stop_at) {
    a->stop_at = now;
    pwsub_hello_now(a->sub);
    pwevent_add(a->p->events, PWE_STOPPING, 0, NULL, NULL,
                a->p->set->agent_target, "jobs=%d", (int)HASH_COUNT(a->jobs));
    pwlog(LOG_NOTICE, "stopping", "jobs=%d", (int)HASH_COUNT(a->jobs));
  }
  if (stopping > 1 || now - a->stop_at > a->p->set->stop_limit)
    return 1;
  return count_live_jobs(a) == 0 && now - a->stop_at > PW_HELLO_MS;
}

static void loop(pw_agent *a) {
  zmq_pollitem_t items[3] = {{pwwire_raw(a->listener), 0, ZMQ_POLLIN, 0},
                             {pwwire_raw(a->dialler), 0, ZMQ_POLLIN, 0},
                             {NULL, pwmail_fd(a->mail), ZMQ_POLLIN, 0}};
  int64_t ticked = 0;
  while (!may_end(a, pwclock_ms())) {
    zmq_poll(items, 3, a->jobs ? TICK_MS : IDLE_TICK_MS);
    int64_t now = pwclock_ms();
    on_dialler(a, now);
    pwag_on_mail(a, now);
    pwag_on_listener(a, now);
    pwag_start_queued(a, now);
    if (now - ticked >= TICK_MS) {
      ticked = now;
      tick(a, now);
    }
  }
}

static void on_http(void *arg, pw_http *h, int again) {
  pw_agent *a = arg;
  (void)again;
  if (!pwproc_handle(a->p, h))
    pwproc_refuse(h, PW_E_PATH, "", "not-run", 0);
}

static int start_http(pw_agent *a, pw_buf *err) {
  if (!a->p->set->agent_http[0])
    return 0;
  pw_serve_setup setup = {.addr = a->p->set->agent_http,
                          .threads = 1,
                          .max_body = 1024,
                          .max_connections = 64,
                          .idle_timeout = 10,
                          .memory = a->p->memory,
                          .is_reserved = 1,
                          .tls_cert = "",
                          .tls_key = "",
                          .arg = a,
                          .handle = on_http};
  a->http = pwserve_start(&setup, err);
  return a->http ? 0 : -1;
}

static void make_parts(pw_agent *a) {
  const pw_settings *set = a->p->set;
  int64_t now = pwclock_ms();
  a->dialler = pwwire_dialler(a->p->wire);
  a->mail = pwmail_new();
  a->detached = pwdetached_new();
  a->sub = pwsub_new(a->p, a->dialler, &set->agent_upstream, 0,
                     set->agent_stale, set->agent_when_cut_off);
  a->workers = pwjob_workers(a->mail, set->agent_url,
                             (int)set->agent_slots + SPARE_WORKERS,
                             (int)set->agent_engine_timeout);
  int is_engine =
      !strcmp(set->agent_kind, "engine"); /* a service has no cache */
  a->kvfeed =
      pwkvfeed_start(set->agent_url, is_engine ? set->agent_cache_events : 0);
  pwadmit_init(&a->admit, (int)set->agent_slots, (int)set->agent_queue,
               (double)set->agent_decode_rate, now);
  pwdesired_init(&a->desired, a->p);
  pwcache_init(&a->cache);
  pwmove_init(&a->move, !strcmp(set->agent_kv_cache, "moves"));
  a->pointers = pwchat_new(PW_POINTERS_MAX, PW_POINTER_KEEP_MS);
}

/* Cancels the remaining jobs and waits for the workers. Returns -1, and leaves the
** jobs and the mailbox in place, when a worker still waits for an unresponsive
** target. */
static int end_jobs(pw_agent *a) {
  pw_ag_job *h, *tmp;
  HASH_ITER(hh, a->jobs, h, tmp) {
    pwjob_cancel(h->job);
  }
  int is_blocked = pwjob_workers_free(a->workers);
  if (!is_blocked)
    pwag_on_mail(a, pwclock_ms());
  HASH_ITER(hh, a->jobs, h, tmp) {
    HASH_DEL(a->jobs, h);
    if (!is_blocked)
      pwjob_free(h->job);
    free(h);
  }
  return is_blocked;
}

static void free_parts(pw_agent *a) {
  pw_seen *s, *tmp;
  HASH_ITER(hh, a->seen, s, tmp) {
    HASH_DEL(a->seen, s);
    free(s);
  }
  pwdetached_free(a->detached);
  pwadmit_free(&a->admit);
  pwcache_free(&a->cache);
  pwchat_free(a->pointers);
  pwsub_free(a->sub);
  pwwire_close(a->dialler);
}

pw_code pwagent_run(pw_proc *p, pw_buf *err) {
  pw_agent a = {.p = p};
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
  pwdesired_stop(&a.desired); /* a blocked thread ends with the process */
  pwkvfeed_stop(a.kvfeed);
  pwserve_stop(a.http);
  free_parts(&a);
  pwwire_close(a.listener);
  return rc;
}
