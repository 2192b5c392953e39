/* pwcontrol.c: event loop, start and stop of the control role. */
#include "pwcontrol.h"

#include "pwbuf.h"
#include "pwctl.h"
#include "pwfile.h"
#include "pwlog.h"
#include "pwsitecall.h"

#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <zmq.h>

#define TICK_MS 10
#define ITERATION_MS 100 /* ms; a longer iteration of the loop was stalled */
/* The loop counts as stalled if its latest iteration began longer ago, ms. */
#define STALL_MS 200
#define BODY_MAX (16 * 1024 * 1024)
/* Open HTTP connections: every target may keep one for its heartbeats. */
#define CONNECTIONS_MAX 3000
#define TRANSFER_MS 2000  /* limit of a leadership transfer before a stop */
#define END_CALLS_MS 1000 /* time for answers to reach slow callers */
/* A planned change that is not decided within this time counts as lost, ms. */
#define PLAN_MS 5000

static void fill_feed_state(const pw_control *c, pw_feed_state *st,
                            int64_t now) {
  int leads = pwgroup_lease(c->group, now);
  const pw_child *child = pwfeed_children(c->feed);
  *st = (pw_feed_state){.leader = leads,
                        .touch_age = leads ? 0 : -1,
                        .leader_wire = pwgroup_leader_wire(c->group),
                        .leader_http = pwgroup_leader_http(c->group),
                        .term = pwgroup_term(c->group),
                        .group = pwgroup_number(c->group)};
  for (; child; child = child->next)
    st->entries += child->entries;
}

/* --- callbacks of the group --- */

static void end_plan(pw_control *c, pw_code code) {
  c->plan_index = 0;
  if (c->plan_is_rollout)
    pwcanaries_done(c->canaries);
  else
    pwplanner_done(c->planner, code);
  c->plan_is_rollout = 0;
}

static void on_applied(void *arg, const Pw__Entry *e, Pw__Outcome *o,
                       Pw__Claimed *cl) {
  pw_control *c = arg;
  pwctl_applied(c, e, o, cl);
  if (cl) {
    pwcount_add(c->p->counters, PWC_CLAIMS, 1);
    pwcount_set(c->p->counters, PWC_ONCE_KEPT,
                (int64_t)pwonce_count(pwstate_once(pwgroup_state(c->group))));
  }
  pwpublish_applied(c->publish, e, o);
  if (e->index == c->plan_index)
    end_plan(c, o ? (pw_code)o->code : PW_E_CONFLICT);
  if (o && o->code == PW_OK)
    pwevent_add(c->p->events, PWE_CHANGE, 0, NULL, NULL, NULL,
                "revision=%llu resources=%zu", (unsigned long long)o->revision,
                o->n_resources);
  if (o)
    pw__outcome__free_unpacked(o, NULL);
  if (cl)
    pw__claimed__free_unpacked(cl, NULL);
}

static void on_leadership(void *arg, int leader) {
  pw_control *c = arg;
  if (!leader)
    return;
  c->leader_since = pwclock_ms();
  c->plan_index = 0;
  c->plan_is_rollout = 0;
  pwplanner_start_leading(c->planner, c->leader_since);
  pwcanaries_start_leading(c->canaries, c->leader_since);
  c->leader_since_revision = pwres_revision(pwctl_resources(c));
}

/* --- event loop --- */

static void on_messages(pw_control *c, pw_sock *sock, int64_t now) {
  pw_peer from;
  Pw__Envelope *e;
  while ((e = pwwire_recv(sock, &from)) != NULL) {
    pw_feed_state st;
    switch (e->body_case) {
    case PW__ENVELOPE__BODY_CONS:
      pwbusy_message(&c->busy, e->cons, now);
      pwgroup_message(c->group, e, now);
      break;
    case PW__ENVELOPE__BODY_JOIN:
      pwgroup_message(c->group, e, now);
      break;
    case PW__ENVELOPE__BODY_HELLO:
      pwtreereport_hello(c->treereport, e, now);
      fill_feed_state(c, &st, now);
      pwfeed_hello(c->feed, &from, e, &st, NULL, 0, now);
      break;
    case PW__ENVELOPE__BODY_CLAIM:
    case PW__ENVELOPE__BODY_RECORD:
      pwctl_ledger(c, &from, e, now);
      break;
    case PW__ENVELOPE__BODY_CONFIRM:
    case PW__ENVELOPE__BODY_CONFIRMED:
      pwreads_message(c->reads, sock, &from, e, now);
      break;
    case PW__ENVELOPE__BODY_WATCH:
      pwcanaries_report(c->canaries, e);
      pwwatch_message(c->watch, &from, e, now);
      break;
    case PW__ENVELOPE__BODY_STREAM_REPORT:
      pwstreams_message(c->streams, &from, e->stream_report, now);
      break;
    case PW__ENVELOPE__BODY_NOTICE:
      pwwatch_message(c->watch, &from, e, now);
      break;
    default:
      break;
    }
    pw__envelope__free_unpacked(e, NULL);
  }
}

static void on_mail(pw_control *c, int64_t now) {
  pwmail_clear(c->mail);
  pw_api_call *call;
  while ((call = (pw_api_call *)pwmail_take(c->mail)) != NULL)
    pwctl_call(c, call, now);
}

static void push(pw_control *c, int64_t now) {
  uint64_t revision = pwres_revision(pwctl_resources(c));
  if (revision == c->pushed_revision)
    return;
  c->pushed_revision = revision;
  pwwire_set_revision(c->p->wire, revision);
  pwcount_set(c->p->counters, PWC_REVISION, (int64_t)revision);
  pw_feed_state st;
  fill_feed_state(c, &st, now);
  if (st.leader)
    pwfeed_push(c->feed, &st, now);
}

/* The next change of a service rollout, or else of a model rollout. */
static Pw__Change *next_plan(pw_control *c, int64_t now) {
  if (c->plan_index)
    return NULL;
  Pw__Change *ch = pwcanaries_next(c->canaries, now);
  c->plan_is_rollout = ch != NULL;
  return ch ? ch : pwplanner_next(c->planner, pwgroup_term(c->group), now);
}

/* Proposes the next change that the leader plans; one at a time. The log
** fences the change: it takes effect only if this instance still leads when
** it is committed. */
static void propose_plan(pw_control *c, int64_t now) {
  if (!pwgroup_lease(c->group, now) || atomic_load(&c->p->stopping))
    return;
  if (c->plan_index && now - c->plan_at > PLAN_MS)
    end_plan(c, PW_E_UNKNOWN);
  Pw__Change *ch = next_plan(c, now);
  if (!ch)
    return;
  Pw__Command cmd = PW__COMMAND__INIT;
  uint64_t term;
  cmd.wall = (uint64_t)pwclock_wall_ms();
  cmd.body_case = PW__COMMAND__BODY_CHANGE;
  cmd.change = ch;
  c->plan_at = now;
  pw_code rc = pwgroup_propose(c->group, &cmd, &c->plan_index, &term);
  if (rc != PW_OK)
    end_plan(c, rc);
  pw__change__free_unpacked(ch, NULL);
}

static void on_child_left(void *arg, const pw_child *child) {
  pw_control *c = arg;
  pwtreereport_child_left(c->treereport, child, pwclock_ms());
}

static void update_watchers(pw_control *c, int64_t now) {
  char members[PWCONS_MEMBERS][PW_NAME_MAX];
  int n = pwgroup_members(c->group, members);
  int is_member = pwgroup_is_member(c->group);
  pwwatch_group(c->watch, members, n, is_member, now);
  pwwatch_tick(c->watch, pwgroup_has_contact(c->group, now),
               pwgroup_is_leader(c->group), now);
  pwleave_expire(c->leave, is_member, now);
  atomic_store(&c->is_connected, pwwatch_is_connected(c->watch, now));
}

/* Does everything that depends on how long a peer has been silent. */
static void check_silence(pw_control *c, int64_t now) {
  pwfeed_expire(c->feed, on_child_left, c, now);
  pwctl_expire(c, now);
  pwreads_expire(c->reads, now);
  update_watchers(c, now);
  propose_plan(c, now);
  if (!atomic_load(&c->p->stopping))
    pwservedrecord_tick(c->served, now);
}

static void tick(pw_control *c, int64_t now) {
  pwgroup_tick(c->group, now);
  pwbusy_tick(&c->busy, c->p, now);
  pwpublish_tick(c->publish, now);
  pwreads_ask_again(c->reads, now);
  pwstreams_tick(c->streams, now);
  if (pwlag_catch_up(&c->lag, now) == 0)
    check_silence(c, now);
  pwproc_set_ready(c->p, pwgroup_leader_http(c->group)[0] != 0);
}

static int may_stop(pw_control *c, int64_t now) {
  int stopping = atomic_load(&c->p->stopping);
  if (!stopping)
    return 0;
  if (!c->stop_at) {
    c->stop_at = now;
    pwevent_add(c->p->events, PWE_STOPPING, 0, NULL, NULL, NULL, "waiters=%d",
                (int)HASH_COUNT(c->waiters));
    pwlog(LOG_NOTICE, "stopping", "%s", "");
  }
  if (stopping > 1 || now - c->stop_at > TRANSFER_MS)
    return 1;
  if (HASH_COUNT(c->waiters))
    return 0;
  if (!pwgroup_is_leader(c->group))
    return now - c->stop_at > c->p->set->control_heartbeat * 2;
  /* A leader without other members cannot transfer its leadership. */
  return !pwgroup_transfer_leadership(c->group, now) &&
         pwserve_active(c->http) == 0;
}

/* Time in which this process was stalled, as by a disk that hangs, does not
** count as silence of its peers. */
static void note_iteration(pw_control *c, int64_t now) {
  int64_t stalled_ms = pwlag_iteration(&c->lag, now);
  atomic_store(&c->iteration_at, now);
  if (stalled_ms == 0)
    return;
  pwwatch_discount_stall(c->watch, stalled_ms);
  pwfeed_discount_stall(c->feed, stalled_ms);
  pwreads_discount_stall(c->reads, stalled_ms);
  pwleave_discount_stall(c->leave, stalled_ms);
}

static pw_code loop(pw_control *c) {
  zmq_pollitem_t items[3] = {{pwwire_raw(c->listener), 0, ZMQ_POLLIN, 0},
                             {pwwire_raw(c->dialler), 0, ZMQ_POLLIN, 0},
                             {NULL, pwmail_fd(c->mail), ZMQ_POLLIN, 0}};
  pw_code rc = PW_OK;
  int64_t ticked = 0;
  while (rc == PW_OK && !may_stop(c, pwclock_ms())) {
    zmq_poll(items, 3, TICK_MS);
    int64_t now = pwclock_ms();
    note_iteration(c, now);
    on_messages(c, c->listener, now);
    on_messages(c, c->dialler, now);
    rc = pwgroup_work(c->group, now); /* reads see what is committed by now */
    if (rc != PW_OK)
      break;
    pwreads_answer(c->reads, now);
    pwleave_answer(c->leave);
    on_mail(c, pwclock_ms());
    if (now - ticked >= TICK_MS) {
      ticked = now;
      tick(c, now);
    }
    rc = pwgroup_work(c->group, now);
    push(c, pwclock_ms());
    pwctl_answer_long_polls(c, now);
  }
  if (rc != PW_OK)
    pwlog(LOG_CRIT, "store-failed", "code=%d", (int)rc);
  return rc;
}

/* Whether a call is a plain heartbeat of a target that does not leave: it is
** answered at once, and applied with others in the next iteration of the
** loop. While the loop is stalled (a disk that hangs) the heartbeat waits
** like any call, so that the target times out and turns to another instance. */
static int is_plain_heartbeat(const pw_control *c, const pw_api_call *call) {
  return call->op == PW_API_BEAT && !call->beat.leaving &&
         atomic_load(&c->is_connected) &&
         pwclock_ms() - atomic_load(&c->iteration_at) <= STALL_MS;
}

static void answer_early(pw_control *c, pw_http *h, pw_api_call *call) {
  pwserve_reply(h, 200, "application/json", "{}", 2);
  pwapi_post_detached(call, c->mail);
}

static void respond(pw_control *c, pw_api_call *call) {
  pwcount_add(c->p->counters, PWC_CALL_OUT, (int64_t)call->text.len);
  pwapi_respond(call);
}

#define UNUSABLE_LOG_MS 1000

/* Counts and logs a heartbeat that cannot be used, from a target or from
** another writer in its place. It changes nothing; other heartbeats still
** count. At most one log line a second. */
static void note_unusable_heartbeat(pw_control *c, const pw_http *h, pw_code rc,
                                    const char *message) {
  int64_t now = pwclock_ms(), logged_at = atomic_load(&c->unusable_logged_at);
  pwcount_add(c->p->counters,
              rc == PW_E_SCHEMA ? PWC_BEATS_ASIDE : PWC_BEATS_UNREADABLE, 1);
  if (now - logged_at < UNUSABLE_LOG_MS ||
      !atomic_compare_exchange_strong(&c->unusable_logged_at, &logged_at, now))
    return;
  pwlog(LOG_WARNING, "heartbeat-set-aside", "path=%.80s code=%d why=\"%s\"",
        pwserve_path(h), (int)rc, message);
}

static void on_http(void *arg, pw_http *h, int again) {
  pw_control *c = arg;
  if (again) {
    respond(c, pwserve_get(h));
    return;
  }
  if (pwproc_handle(c->p, h))
    return;
  pw_api_call *call;
  char message[160] = "";
  int is_heartbeat;
  pw_code rc = pwsitecall_read(h, c->p->dialect, &call, &is_heartbeat, message,
                               sizeof message);
  if (rc != PW_OK && is_heartbeat)
    note_unusable_heartbeat(c, h, rc, message);
  if (rc == PW_E_PATH)
    rc = pwapi_read(h, c->operators, &call, message, sizeof message);
  if (rc == PW_OK && is_plain_heartbeat(c, call))
    answer_early(c, h, call);
  else if (rc == PW_OK)
    pwapi_begin(call, h, c->mail);
  else
    pwproc_refuse(h, rc, message, "not-run", 0);
}

static void on_http_done(void *arg, void *request, int complete) {
  (void)arg;
  (void)complete;
  pwapi_request_done(request);
}

static char *read_operators(const char *path, pw_buf *err) {
  if (!path[0])
    return NULL;
  size_t n;
  char *text = (char *)pwfile_read(path, &n);
  if (!text)
    pwbuf_fmt(err, "control.operators_file: %s cannot be read\n", path);
  return text;
}

static int start_http(pw_control *c, pw_buf *err) {
  const pw_settings *set = c->p->set;
  c->operators = read_operators(set->control_operators_file, err);
  if (set->control_operators_file[0] && !c->operators)
    return -1;
  pw_serve_setup setup = {.addr = set->control_http,
                          .threads = 2,
                          .max_body = BODY_MAX,
                          .max_connections = CONNECTIONS_MAX,
                          .idle_timeout = 60,
                          .memory = c->p->memory,
                          .tls_cert = "",
                          .tls_key = "",
                          .arg = c,
                          .handle = on_http,
                          .done = on_http_done};
  c->http = pwserve_start(&setup, err);
  return c->http ? 0 : -1;
}

/* Answers the calls that wait, and those that were just posted, before the
** server stops. */
static void end_calls(pw_control *c) {
  int64_t until = pwclock_ms() + END_CALLS_MS;
  atomic_store(&c->p->stopping, 1);
  pwserve_quiesce(c->http);
  do {
    pwctl_fail_all(c);
    poll(NULL, 0, TICK_MS);
  } while (pwserve_active(c->http) > 0 && pwclock_ms() < until);
  pwctl_fail_all(c);
}

pw_code pwcontrol_run(pw_proc *p, pw_buf *err) {
  pw_control c = {.p = p, .lag.iteration_max_ms = ITERATION_MS};
  pw_code rc = PW_E_SETTINGS;
  pw_group_callbacks callbacks = {&c, on_applied, on_leadership};
  c.mail = pwmail_new();
  c.dialler = pwwire_dialler(p->wire);
  c.listener = pwwire_listen(p->wire, p->set->control_wire, err);
  if (!c.listener)
    goto out;
  rc = pwgroup_open(p, c.dialler, &callbacks, &c.group, err);
  if (rc != PW_OK)
    goto out;
  c.feed = pwfeed_new(p, c.listener, pwctl_resources(&c));
  c.treereport = pwtreereport_new();
  c.planner = pwplanner_new(pwctl_resources(&c), c.treereport);
  const pw_state *state = pwgroup_state(c.group);
  c.watch = pwwatch_new(p, c.listener, c.dialler, state);
  c.streams = pwstreams_new(p, c.listener, c.group);
  c.served = pwservedrecord_new(c.group, c.watch);
  c.canaries = pwcanaries_new(pwctl_resources(&c), c.watch,
                              p->set->control_expose_share);
  c.leave = pwleave_new(c.watch, p->counters);
  c.publish = pwpublish_new(c.group, pwstate_document(state));
  c.reads = pwreads_new(c.group);
  rc = PW_E_SETTINGS;
  if (pwproc_serve_metrics(p, &c.metrics, err) == 0 && start_http(&c, err) == 0)
    rc = loop(&c);
  if (c.http)
    end_calls(&c);
out:
  pwserve_stop(c.http);
  pwserve_stop(c.metrics);
  pwplanner_free(c.planner);
  pwpublish_free(c.publish);
  pwreads_free(c.reads);
  pwleave_free(c.leave);
  pwcanaries_free(c.canaries);
  pwservedrecord_free(c.served);
  pwstreams_free(c.streams);
  pwwatch_free(c.watch);
  pwtreereport_free(c.treereport);
  pwfeed_free(c.feed);
  pwgroup_close(c.group);
  pwwire_close(c.listener);
  pwwire_close(c.dialler);
  pwmail_free(c.mail);
  free(c.operators);
  return rc;
}
