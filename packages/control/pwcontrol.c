/* pwcontrol.c: the control role. */
#include "pwcontrol.h"

#include "pwapi.h"
#include "pwbuf.h"
#include "pwfeed.h"
#include "pwfile.h"
#include "pwgroup.h"
#include "pwlog.h"
#include "pwnews.h"
#include "pwplanner.h"
#include "pwpublish.h"
#include "pwsitecall.h"
#include "pwwatch.h"

#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>
#include <zmq.h>

#define TICK_MS 10
#define WAIT_MS 10000  /* for a proposal to be decided */
#define WATCH_MS 25000 /* a watch is answered by then, changed or not */
#define BODY_MAX (16 * 1024 * 1024)
#define CONNECTIONS_MAX 3000 /* every target may keep one for its heartbeats */
#define HAND_OVER_MS 2000
#define END_CALLS_MS 1000 /* for answers to reach slow callers */
#define PLAN_MS 5000 /* a plan's change that is not decided by then is lost */
#define NS_PER_US 1000

/* Who waits for the entry at an index. */
typedef struct waiter {
  uint64_t index;
  uint64_t term;
  int64_t since;
  pw_api_call *call; /* or NULL: */
  pw_peer peer;      /* an entry that claims or records */
  char id[PW_NAME_MAX];
  UT_hash_handle hh;
} waiter;

typedef struct watcher {
  pw_api_call *call;
  int64_t since;
  struct watcher *next;
} watcher;

typedef struct control {
  pw_proc *p;
  pw_sock *listener;
  pw_sock *dialler;
  pw_mail *mail;
  pw_server *http;
  pw_group *group;
  pw_feed *feed;
  pw_news *news;
  pw_planner *planner;
  pw_watch *watch;
  pw_publish *publish;
  uint64_t planned; /* index of the planner's change; 0: none is under way */
  int64_t planned_at;
  waiter *waiters;
  watcher *watchers;
  char *operators;
  uint64_t pushed;       /* revision the children were sent */
  uint64_t led_revision; /* when leadership began */
  int64_t led_at;
  int64_t stop_at;
  atomic_int closing; /* calls are refused at once */
} control;

static const pw_res *resources(const control *c) {
  return pwstate_resources(pwgroup_state(c->group));
}

static void feed_state(const control *c, pw_feed_state *st, int64_t now) {
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

/* --- what is in force where --- */

/* After a change of leader, children not yet heard again may still hold an
** older revision until they have cut themselves off. */
static int is_settled(const control *c, int64_t now) {
  return c->led_revision == 0 || now - c->led_at > PW_CHILD_KEEP;
}

static json_t *in_force(control *c, int64_t now) {
  pw_feed_sum sum;
  pwfeed_sum(c->feed, pwres_revision(resources(c)), &sum);
  return json_pack("{s:I,s:i,s:i,s:s,s:b}", "revision",
                   (json_int_t)sum.revision, "processes", (int)sum.count,
                   "entries", (int)sum.entries, "behind", sum.behind, "settled",
                   is_settled(c, now));
}

static json_t *status_json(control *c, int64_t now) {
  char group[24];
  snprintf(group, sizeof group, "%016llx",
           (unsigned long long)pwgroup_number(c->group));
  return json_pack("{s:I,s:s,s:I,s:s,s:o,s:o,s:o,s:o,s:i}", "revision",
                   (json_int_t)pwres_revision(resources(c)), "group", group,
                   "term", (json_int_t)pwgroup_term(c->group), "leader",
                   pwgroup_leader_http(c->group), "in_force", in_force(c, now),
                   "members", pwgroup_json(c->group), "children",
                   pwfeed_json(c->feed, now), "rollouts",
                   pwplanner_json(c->planner, now), "once_claims",
                   (int)pwonce_count(pwstate_once(pwgroup_state(c->group))));
}

/* --- reads --- */

static json_t *with_observed(control *c, const pw_resource *one, int64_t now) {
  json_t *o = pwapi_resource(one);
  json_t *force = in_force(c, now);
  json_int_t revision = json_integer_value(json_object_get(force, "revision"));
  int everywhere = revision >= (json_int_t)one->revision &&
                   json_is_true(json_object_get(force, "settled"));
  json_object_set_new(o, "observed", force);
  json_object_set_new(o, "status",
                      json_pack("{s:b}", "in_force_everywhere", everywhere));
  return o;
}

static json_t *list_json(const control *c, uint64_t since, int full) {
  const pw_res *r = resources(c);
  json_t *list = json_array();
  const pw_resource *one = full ? pwres_first(r) : pwres_after(r, since);
  for (; one; one = one->next)
    if (!full || !one->deleted)
      json_array_append_new(list, pwapi_resource(one));
  return json_pack("{s:I,s:o}", "revision", (json_int_t)pwres_revision(r),
                   "resources", list);
}

static void watch(control *c, pw_api_call *call, int64_t now) {
  const pw_res *r = resources(c);
  if (call->since < pwres_floor(r)) {
    pwapi_fail(call, PW_E_COMPACTED, "", "not-run", NULL);
    return;
  }
  if (pwres_revision(r) > call->since) {
    pwapi_answer(call, 200, list_json(c, call->since, 0));
    return;
  }
  watcher *w = pw_alloc(sizeof *w);
  *w = (watcher){call, now, c->watchers};
  c->watchers = w;
}

static void answer_watchers(control *c, int64_t now) {
  watcher **at = &c->watchers;
  while (*at) {
    watcher *w = *at;
    int changed = pwres_revision(resources(c)) > w->call->since;
    if (!changed && now - w->since < WATCH_MS &&
        !atomic_load(&c->p->stopping)) {
      at = &w->next;
      continue;
    }
    *at = w->next;
    pwapi_answer(w->call, 200, list_json(c, w->call->since, 0));
    free(w);
  }
}

static void read_call(control *c, pw_api_call *call, int64_t now) {
  if (call->op == PW_API_STATUS) {
    pwapi_answer(call, 200, status_json(c, now));
  } else if (call->op == PW_API_LIST && call->has_since) {
    watch(c, call, now);
  } else if (call->op == PW_API_LIST) {
    pwapi_answer(call, 200, list_json(c, 0, 1));
  } else {
    const pw_resource *one = pwres_get(resources(c), call->kind, call->name);
    if (one)
      pwapi_answer(call, 200, with_observed(c, one, now));
    else
      pwapi_fail(call, PW_E_NOT_FOUND, "", "not-run", NULL);
  }
}

/* --- writes --- */

static waiter *add_waiter(control *c, uint64_t index, uint64_t term,
                          int64_t now) {
  waiter *w = pw_alloc(sizeof *w);
  waiter *old;
  w->index = index;
  w->term = term;
  w->since = now;
  HASH_FIND(hh, c->waiters, &index, sizeof index, old);
  if (old) { /* of an earlier term: it was overwritten */
    HASH_DEL(c->waiters, old);
    if (old->call)
      pwapi_fail(old->call, PW_E_NOT_LEADER, "", "not-run", NULL);
    free(old);
  }
  HASH_ADD(hh, c->waiters, index, sizeof w->index, w);
  return w;
}

static void change(control *c, pw_api_call *call, int64_t now) {
  Pw__Command cmd = PW__COMMAND__INIT;
  cmd.wall = (uint64_t)pwclock_wall_ms();
  cmd.body_case = PW__COMMAND__BODY_CHANGE;
  cmd.change = call->change;
  uint64_t index, term;
  pw_code rc = pwgroup_propose(c->group, &cmd, &index, &term);
  if (rc == PW_OK)
    add_waiter(c, index, term, now)->call = call;
  else
    pwapi_fail(call, rc, "", "not-run", NULL);
}

static void on_call(control *c, pw_api_call *call, int64_t now) {
  if (call->op >= PW_API_SITE_READ) {
    pwsitecall_take(call, c->group, c->publish, c->watch, now);
    return;
  }
  if (!pwgroup_lease(c->group, now)) {
    pw_copy(call->leader, sizeof call->leader,
            pwgroup_is_leader(c->group) ? "" : pwgroup_leader_http(c->group));
    pwapi_fail(call, PW_E_NOT_LEADER, "", "not-run", NULL);
  } else if (call->op == PW_API_CHANGE) {
    change(c, call, now);
  } else {
    read_call(c, call, now);
  }
}

static void send_claimed(control *c, const pw_peer *to, Pw__Claimed *cl) {
  Pw__Envelope e = PW_ENVELOPE(CLAIMED, claimed, cl);
  pwwire_send(c->listener, to, &e);
}

static void on_ledger(control *c, const pw_peer *from, const Pw__Envelope *e,
                      int64_t now) {
  int claims = e->body_case == PW__ENVELOPE__BODY_CLAIM;
  Pw__Command cmd = PW__COMMAND__INIT;
  cmd.wall = (uint64_t)pwclock_wall_ms();
  cmd.body_case = claims ? PW__COMMAND__BODY_CLAIM : PW__COMMAND__BODY_RECORD;
  if (claims)
    cmd.claim = e->claim;
  else
    cmd.record = e->record;
  const char *id = claims ? e->claim->id : e->record->id;
  uint64_t index, term;
  pw_code rc = pwgroup_propose(c->group, &cmd, &index, &term);
  if (rc == PW_OK) {
    waiter *w = add_waiter(c, index, term, now);
    w->peer = *from;
    pw_copy(w->id, sizeof w->id, id);
    return;
  }
  Pw__Claimed cl = PW__CLAIMED__INIT;
  cl.id = (char *)id;
  cl.code = PW_E_NOT_LEADER;
  send_claimed(c, from, &cl);
}

/* --- the group's calls --- */

static json_t *outcome_json(const Pw__Outcome *o) {
  json_t *list = json_array();
  for (size_t i = 0; i < o->n_resources; i++)
    json_array_append_new(list, pwapi_packed(o->resources[i]));
  return json_pack("{s:I,s:o}", "revision", (json_int_t)o->revision,
                   "resources", list);
}

static void answer_change(control *c, pw_api_call *call, const Pw__Outcome *o) {
  pwcount_observe(c->p->counters, PWH_ACCEPT,
                  (pwclock_ns() - call->started) / NS_PER_US);
  if (o->code == PW_OK) {
    pwcount_add(c->p->counters, PWC_CHANGES, 1);
    pwapi_answer(call, 200, outcome_json(o));
    return;
  }
  pwcount_add(c->p->counters, PWC_CONFLICTS, o->code == PW_E_CONFLICT);
  pwapi_fail(call, (pw_code)o->code, o->message, "not-run", outcome_json(o));
}

static void answer_waiter(control *c, waiter *w, const Pw__Entry *e,
                          const Pw__Outcome *o, Pw__Claimed *cl) {
  int ours = e->term == w->term;
  if (w->call) {
    if (ours && o)
      answer_change(c, w->call, o);
    else
      pwapi_fail(w->call, PW_E_NOT_LEADER, "", "not-run", NULL);
    return;
  }
  Pw__Claimed plain = PW__CLAIMED__INIT;
  plain.id = w->id;
  plain.code = ours ? PW_OK : PW_E_NOT_LEADER;
  send_claimed(c, &w->peer, ours && cl ? cl : &plain);
}

static void on_applied(void *arg, const Pw__Entry *e, Pw__Outcome *o,
                       Pw__Claimed *cl) {
  control *c = arg;
  waiter *w;
  uint64_t index = e->index;
  HASH_FIND(hh, c->waiters, &index, sizeof index, w);
  if (w) {
    HASH_DEL(c->waiters, w);
    answer_waiter(c, w, e, o, cl);
    free(w);
  }
  if (cl) {
    pwcount_add(c->p->counters, PWC_CLAIMS, 1);
    pwcount_set(c->p->counters, PWC_ONCE_KEPT,
                (int64_t)pwonce_count(pwstate_once(pwgroup_state(c->group))));
  }
  pwpublish_applied(c->publish, e, o);
  if (index == c->planned) {
    c->planned = 0;
    pwplanner_done(c->planner, o ? (pw_code)o->code : PW_E_CONFLICT);
  }
  if (o && o->code == PW_OK)
    pwevent_add(c->p->events, PWE_CHANGE, 0, NULL, NULL, NULL,
                "revision=%llu resources=%zu", (unsigned long long)o->revision,
                o->n_resources);
  if (o)
    pw__outcome__free_unpacked(o, NULL);
  if (cl)
    pw__claimed__free_unpacked(cl, NULL);
}

static void on_led(void *arg, int leader) {
  control *c = arg;
  if (!leader)
    return;
  c->led_at = pwclock_ms();
  c->planned = 0;
  pwplanner_lead(c->planner, c->led_at);
  c->led_revision = pwres_revision(resources(c));
}

/* --- the loop --- */

static void on_messages(control *c, pw_sock *sock, int64_t now) {
  pw_peer from;
  Pw__Envelope *e;
  while ((e = pwwire_recv(sock, &from)) != NULL) {
    pw_feed_state st;
    switch (e->body_case) {
    case PW__ENVELOPE__BODY_CONS:
    case PW__ENVELOPE__BODY_JOIN:
      pwgroup_message(c->group, e, now);
      break;
    case PW__ENVELOPE__BODY_HELLO:
      pwnews_hello(c->news, e, now);
      feed_state(c, &st, now);
      pwfeed_hello(c->feed, &from, e, &st, NULL, 0, now);
      break;
    case PW__ENVELOPE__BODY_CLAIM:
    case PW__ENVELOPE__BODY_RECORD:
      on_ledger(c, &from, e, now);
      break;
    case PW__ENVELOPE__BODY_WATCH:
    case PW__ENVELOPE__BODY_NOTICE:
      pwwatch_message(c->watch, &from, e, now);
      break;
    default:
      break;
    }
    pw__envelope__free_unpacked(e, NULL);
  }
}

static void on_mail(control *c, int64_t now) {
  pwmail_clear(c->mail);
  pw_api_call *call;
  while ((call = (pw_api_call *)pwmail_take(c->mail)) != NULL)
    on_call(c, call, now);
}

/* Proposals not decided in time: what became of them is not known. */
static void expire_waiters(control *c, int64_t now) {
  waiter *w, *tmp;
  HASH_ITER(hh, c->waiters, w, tmp) {
    if (now - w->since < WAIT_MS)
      continue;
    HASH_DEL(c->waiters, w);
    if (w->call)
      pwapi_fail(w->call, PW_E_UNKNOWN, "", "unknown", NULL);
    free(w);
  }
}

static void push(control *c, int64_t now) {
  uint64_t revision = pwres_revision(resources(c));
  if (revision == c->pushed)
    return;
  c->pushed = revision;
  pwwire_set_revision(c->p->wire, revision);
  pwcount_set(c->p->counters, PWC_REVISION, (int64_t)revision);
  pw_feed_state st;
  feed_state(c, &st, now);
  if (st.leader)
    pwfeed_push(c->feed, &st, now);
}

/* Proposes the planner's next change; one at a time. The log fences it: it has
** an effect only if this instance still leads when it is committed. */
static void plan(control *c, int64_t now) {
  if (!pwgroup_lease(c->group, now) || atomic_load(&c->p->stopping))
    return;
  if (c->planned && now - c->planned_at > PLAN_MS) {
    c->planned = 0;
    pwplanner_done(c->planner, PW_E_UNKNOWN);
  }
  Pw__Change *ch = pwplanner_next(c->planner, pwgroup_term(c->group), now);
  if (!ch)
    return;
  Pw__Command cmd = PW__COMMAND__INIT;
  uint64_t term;
  cmd.wall = (uint64_t)pwclock_wall_ms();
  cmd.body_case = PW__COMMAND__BODY_CHANGE;
  cmd.change = ch;
  c->planned_at = now;
  pw_code rc = pwgroup_propose(c->group, &cmd, &c->planned, &term);
  if (rc != PW_OK) {
    c->planned = 0;
    pwplanner_done(c->planner, rc);
  }
  pw__change__free_unpacked(ch, NULL);
}

static void on_child_left(void *arg, const pw_child *child) {
  control *c = arg;
  pwnews_child_left(c->news, child, pwclock_ms());
}

static void tell_watchers(control *c, int64_t now) {
  char members[PWCONS_MEMBERS][PW_NAME_MAX];
  int n = pwgroup_members(c->group, members);
  pwwatch_others(c->watch, members, n);
  pwwatch_tick(c->watch, pwgroup_in_touch(c->group, now), now);
}

static void tick(control *c, int64_t now) {
  pwgroup_tick(c->group, now);
  pwfeed_expire(c->feed, on_child_left, c, now);
  expire_waiters(c, now);
  pwpublish_tick(c->publish, now);
  tell_watchers(c, now);
  plan(c, now);
  pwproc_set_ready(c->p, pwgroup_leader_http(c->group)[0] != 0);
}

static int may_end(control *c, int64_t now) {
  int stopping = atomic_load(&c->p->stopping);
  if (!stopping)
    return 0;
  if (!c->stop_at) {
    c->stop_at = now;
    pwevent_add(c->p->events, PWE_STOPPING, 0, NULL, NULL, NULL, "waiters=%d",
                (int)HASH_COUNT(c->waiters));
    pwlog(LOG_NOTICE, "stopping", "%s", "");
  }
  if (stopping > 1 || now - c->stop_at > HAND_OVER_MS)
    return 1;
  if (HASH_COUNT(c->waiters))
    return 0;
  if (!pwgroup_is_leader(c->group))
    return now - c->stop_at > c->p->set->control_heartbeat * 2;
  /* A leader alone has nobody to hand over to. */
  return !pwgroup_hand_over(c->group, now) && pwserve_active(c->http) == 0;
}

static pw_code loop(control *c) {
  zmq_pollitem_t items[3] = {{pwwire_raw(c->listener), 0, ZMQ_POLLIN, 0},
                             {pwwire_raw(c->dialler), 0, ZMQ_POLLIN, 0},
                             {NULL, pwmail_fd(c->mail), ZMQ_POLLIN, 0}};
  pw_code rc = PW_OK;
  int64_t ticked = 0;
  while (rc == PW_OK && !may_end(c, pwclock_ms())) {
    zmq_poll(items, 3, TICK_MS);
    int64_t now = pwclock_ms();
    on_messages(c, c->listener, now);
    on_messages(c, c->dialler, now);
    rc = pwgroup_work(c->group, now); /* reads see what is committed by now */
    if (rc != PW_OK)
      break;
    on_mail(c, pwclock_ms());
    if (now - ticked >= TICK_MS) {
      ticked = now;
      tick(c, now);
    }
    rc = pwgroup_work(c->group, now);
    push(c, pwclock_ms());
    answer_watchers(c, now);
  }
  if (rc != PW_OK)
    pwlog(LOG_CRIT, "store-failed", "code=%d", (int)rc);
  return rc;
}

static void on_http(void *arg, pw_http *h, int again) {
  control *c = arg;
  if (again) {
    pwapi_respond(pwserve_get(h));
    return;
  }
  if (pwproc_handle(c->p, h))
    return;
  pw_api_call *call;
  char message[160] = "";
  pw_code rc =
      pwsitecall_read(h, c->p->dialect, &call, message, sizeof message);
  if (rc == PW_E_PATH)
    rc = pwapi_read(h, c->operators, &call, message, sizeof message);
  if (rc == PW_OK)
    pwapi_begin(call, h, c->mail);
  else
    pwproc_refuse(h, rc, message, "not-run", 0);
}

static void on_http_done(void *arg, void *request, int whole) {
  (void)arg;
  (void)whole;
  pwapi_over(request);
}

static char *read_operators(const char *path, pw_buf *err) {
  if (!path[0])
    return NULL;
  size_t n;
  char *text = (char *)pwfile_read(path, &n);
  if (!text)
    pwbuf_fmt(err, "%s: cannot be read\n", path);
  return text;
}

static int start_http(control *c, pw_buf *err) {
  const pw_settings *set = c->p->set;
  c->operators = read_operators(set->control_operators_file, err);
  if (set->control_operators_file[0] && !c->operators)
    return -1;
  pw_serve_setup setup = {.addr = set->control_http,
                          .threads = 2,
                          .max_body = BODY_MAX,
                          .max_connections = CONNECTIONS_MAX,
                          .idle_timeout = 60,
                          .tls_cert = "",
                          .tls_key = "",
                          .arg = c,
                          .handle = on_http,
                          .done = on_http_done};
  c->http = pwserve_start(&setup, err);
  return c->http ? 0 : -1;
}

/* Every call that waits gets its answer. */
static void fail_calls(control *c) {
  waiter *w, *tmp;
  HASH_ITER(hh, c->waiters, w, tmp) {
    HASH_DEL(c->waiters, w);
    if (w->call)
      pwapi_fail(w->call, PW_E_UNKNOWN, "", "unknown", NULL);
    free(w);
  }
  answer_watchers(c, pwclock_ms());
  pwpublish_end(c->publish);
  pw_api_call *call;
  while ((call = (pw_api_call *)pwmail_take(c->mail)) != NULL)
    pwapi_fail(call, PW_E_NOT_LEADER, "", "not-run", NULL);
}

/* The HTTP server cannot be stopped while a call waits in it: new ones are
** refused at once, and those that were just posted are waited for. */
static void end_calls(control *c) {
  int64_t until = pwclock_ms() + END_CALLS_MS;
  atomic_store(&c->p->stopping, 1);
  atomic_store(&c->closing, 1);
  pwserve_quiesce(c->http);
  do {
    fail_calls(c);
    poll(NULL, 0, TICK_MS);
  } while (pwserve_active(c->http) > 0 && pwclock_ms() < until);
  fail_calls(c);
}

pw_code pwcontrol_run(pw_proc *p, pw_buf *err) {
  control c = {.p = p};
  pw_code rc = PW_E_SETTINGS;
  pw_group_calls calls = {&c, on_applied, on_led};
  c.mail = pwmail_new();
  c.dialler = pwwire_dialler(p->wire);
  c.listener = pwwire_listen(p->wire, p->set->control_wire, err);
  if (!c.listener)
    goto out;
  rc = pwgroup_open(p, c.dialler, &calls, &c.group, err);
  if (rc != PW_OK)
    goto out;
  c.feed = pwfeed_new(p, c.listener, resources(&c));
  c.news = pwnews_new();
  c.planner = pwplanner_new(resources(&c), c.news);
  const pw_doc *doc = pwstate_document(pwgroup_state(c.group));
  c.watch = pwwatch_new(p, c.listener, c.dialler, doc);
  c.publish = pwpublish_new(c.group, doc);
  rc = PW_E_SETTINGS;
  if (start_http(&c, err) == 0)
    rc = loop(&c);
  if (c.http)
    end_calls(&c);
out:
  pwserve_stop(c.http);
  pwplanner_free(c.planner);
  pwpublish_free(c.publish);
  pwwatch_free(c.watch);
  pwnews_free(c.news);
  pwfeed_free(c.feed);
  pwgroup_close(c.group);
  pwwire_close(c.listener);
  pwwire_close(c.dialler);
  pwmail_free(c.mail);
  free(c.operators);
  return rc;
}
