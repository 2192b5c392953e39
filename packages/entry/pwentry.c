/* pwentry.c: the entry role: its sockets, HTTP server and wire thread. */
#include "pwentry.h"

#include "pwbuf.h"
#include "pwcall.h"
#include "pwfeed.h"
#include "pwfetch.h"
#include "pwflight.h"
#include "pwlag.h"
#include "pwlog.h"
#include "pwreport.h"
#include "pwrequest.h"
#include "pwsub.h"
#include "pwtargets.h"
#include "pwtreereport.h"
#include "pwview.h"

#include <stdlib.h>
#include <string.h>
#include <urcu-bp.h>
#include <zmq.h>

#define TICK_MS 20
#define SUM_MS 50       /* between updates of the pools' load sums */
#define SNAPSHOT_MS 250 /* between updates of the HTTP threads' snapshot */
#define ITERATION_MAX_MS                                                       \
  100                      /* a longer iteration of the event loop is a stall */
#define POOLS_PER_AGENT 16 /* load sums sent to an agent at most */
#define FORWARD_TIMEOUT_S 40
#define FORWARD_MAX (64 * 1024 * 1024) /* bytes of a forwarded answer */
#define STOP_GRACE_MS 300 /* from failing /ready to closing the listener */

typedef struct entry {
  pw_proc *p;
  pw_sock *listener;
  pw_sock *dialler;
  pw_mail *mail;
  pw_server *http;
  pw_sub *sub;
  pw_feed *feed;
  pw_targets *targets;
  pw_flights *flights;
  pw_reports *reports;
  pw_treereport *treereport;
  pw_view *view; /* published with RCU */
  pw_policy policy;
  uint64_t in_force;    /* revision that the view and the targets have */
  int64_t summed_at;    /* last pwtargets_sum_up */
  pw_lag lag;           /* stalls of the event loop */
  int64_t unread_ms;    /* how long a message read now may have waited */
  int64_t stop_at;      /* when stopping began; 0: not stopping */
  int64_t snapshot_at;  /* last update of `children` */
  char leader_http[96]; /* protected by the lock */
  json_t *children;     /* protected by the lock */
  pthread_mutex_t lock;
} entry;

/* --- HTTP threads --- */

static void refuse(pw_proc *p, pw_http *h, pw_code code, const char *message) {
  pwcount_add(p->counters, PWC_NOT_RUN, 1);
  pwproc_refuse(h, code, message, "not-run", 0);
}

/* Forwards the leader's answer, with its error code repeated as a header. */
static void reply_forwarded(pw_http *h, int status, const pw_buf *out) {
  char number[16];
  json_t *doc = status == 200 ? NULL : json_loadb(out->data, out->len, 0, NULL);
  json_int_t code = json_integer_value(
      json_object_get(json_object_get(doc, "error"), "code"));
  if (code) {
    snprintf(number, sizeof number, "%d", (int)code);
    pwserve_add_header(h, "Peatwell-Code", number);
    pwserve_add_header(h, "Peatwell-Outcome",
                       code == PW_E_UNKNOWN ? "unknown" : "not-run");
  }
  json_decref(doc);
  pwserve_reply(h, status, "application/json", out->data, out->len);
}

/* Forwards a resource request to the control leader. */
static void forward(entry *en, pw_http *h) {
  char url[128] = "";
  pthread_mutex_lock(&en->lock);
  if (en->leader_http[0])
    snprintf(url, sizeof url, "http://%s", en->leader_http);
  pthread_mutex_unlock(&en->lock);
  if (!url[0]) {
    refuse(en->p, h, PW_E_NOT_LEADER, "");
    return;
  }
  static const char *const names[] = {"Authorization", "Idempotency-Key",
                                      "Content-Type"};
  pw_fetch_header headers[3];
  int n = 0;
  for (int i = 0; i < 3; i++) {
    const char *v = pwserve_header(h, names[i]);
    if (v)
      headers[n++] = (pw_fetch_header){names[i], v};
  }
  pw_buf path = {0};
  pw_buf out = {0};
  pwbuf_str(&path, pwserve_path(h));
  const char *since = pwserve_query(h, "since");
  if (since)
    pwbuf_fmt(&path, "?since=%llu", strtoull(since, NULL, 10));
  size_t len;
  const char *body = pwserve_body(h, &len);
  int status = 0;
  pw_code rc = pwfetch_text(url, pwserve_method(h), path.data, headers, n,
                            len ? body : NULL, FORWARD_TIMEOUT_S, FORWARD_MAX,
                            &status, &out);
  if (rc == PW_OK)
    reply_forwarded(h, status, &out);
  else
    pwproc_refuse(h, PW_E_NOT_LEADER, "the control leader did not answer",
                  rc == PW_E_CONNECT ? "not-run" : "unknown", 1000);
  pwbuf_free(&path);
  pwbuf_free(&out);
}

static void start_call(entry *en, pw_http *h) {
  pw_call *c = pwcall_new(en->p, en->mail);
  char message[160] = "";
  pwcount_add(en->p->counters, PWC_REQUESTS, 1);
  urcu_bp_read_lock();
  const pw_view *view = rcu_dereference(en->view);
  pw_code rc = view ? pwrequest_read(h, view, c, message, sizeof message)
                    : PW_E_NOT_READY;
  urcu_bp_read_unlock();
  if (rc == PW_OK && atomic_load(&en->p->stopping) && en->p->stopping > 1)
    rc = PW_E_LEAVING;
  if (rc == PW_OK) {
    pwcall_begin(c, h);
    return;
  }
  refuse(en->p, h, rc, message);
  pwcall_unref(c);
}

static void reply_children(entry *en, pw_http *h) {
  pthread_mutex_lock(&en->lock);
  json_t *copy = json_deep_copy(en->children);
  pthread_mutex_unlock(&en->lock);
  pwproc_json(h, 200, copy);
}

static void on_http(void *arg, pw_http *h, int again) {
  entry *en = arg;
  if (again) {
    pwcall_respond(pwserve_get(h));
    return;
  }
  if (pwproc_handle(en->p, h))
    return;
  const char *path = pwserve_path(h);
  if (!strncmp(path, "/v1/resources", 13) || !strncmp(path, "/v1/status", 10))
    forward(en, h);
  else if (!strcmp(path, "/v1/children"))
    reply_children(en, h);
  else
    start_call(en, h);
}

static void on_http_done(void *arg, void *request, int complete) {
  (void)arg;
  (void)complete;
  pwcall_end(request);
}

/* --- wire thread --- */

static void feed_state(entry *en, pw_feed_state *st, int64_t now) {
  *st = (pw_feed_state){.touch_age = pwsub_contact_age(en->sub, now),
                        .leader_wire = pwsub_leader_wire(en->sub),
                        .leader_http = pwsub_leader_http(en->sub),
                        .term = pwsub_term(en->sub),
                        .entries = pwsub_entries(en->sub),
                        .group = pwsub_group(en->sub)};
}

static void publish_view(entry *en) {
  const pw_res *r = pwsub_resources(en->sub);
  pw_view *fresh = pwview_build(r);
  pw_view *old = en->view;
  rcu_assign_pointer(en->view, fresh);
  urcu_bp_synchronize_rcu();
  pwview_free(old);
  pwview_read_policy(r, &en->policy);
}

static int targets_changed(const pw_res *r, uint64_t since) {
  for (const pw_resource *one = pwres_after(r, since); one; one = one->next)
    if (!strcmp(one->kind, "target") || !strcmp(one->kind, "assignment"))
      return 1;
  return since < pwres_floor(r);
}

/* Applies the newest revision of the resources; revisions that arrived together
** are applied in one step. */
static void resources_changed(entry *en, int64_t now) {
  pw_feed_state st;
  const pw_res *r = pwsub_resources(en->sub);
  if (pwres_revision(r) == en->in_force)
    return;
  publish_view(en);
  if (targets_changed(r, en->in_force))
    pwtargets_update(en->targets, r, now);
  en->in_force = pwres_revision(r);
  pwwire_set_revision(en->p->wire, en->in_force);
  pwcount_set(en->p->counters, PWC_REVISION, (int64_t)en->in_force);
  feed_state(en, &st, now);
  pwfeed_push(en->feed, &st, now);
  pwsub_hello_now(en->sub);
}

/* Takes in an agent's load and answers with the load sums of its pools. */
static void on_hello(entry *en, const pw_peer *from, const Pw__Envelope *e,
                     int64_t now) {
  const char *names[POOLS_PER_AGENT];
  pw_pool_sum sums[POOLS_PER_AGENT];
  Pw__PoolLoad rows[POOLS_PER_AGENT];
  Pw__PoolLoad *list[POOLS_PER_AGENT];
  int n = 0;
  if (e->hello->load) {
    const Pw__Load *load = e->hello->load;
    pwreport_child(en->reports, load, now - en->unread_ms, now);
    n = pwtargets_sums_for(en->targets, load->target, names, sums,
                           POOLS_PER_AGENT);
  }
  for (int i = 0; i < n; i++) {
    pw__pool_load__init(&rows[i]);
    rows[i].pool = (char *)names[i];
    rows[i].tokens = (uint64_t)sums[i].tokens;
    rows[i].rate = (uint64_t)sums[i].rate;
    rows[i].age = (uint32_t)(sums[i].age + now - sums[i].at);
    rows[i].targets = (uint32_t)sums[i].targets;
    list[i] = &rows[i];
  }
  pwtreereport_hello(en->treereport, e, now);
  pw_feed_state st;
  feed_state(en, &st, now);
  pwfeed_hello(en->feed, from, e, &st, list, (size_t)n, now);
}

static void on_loads(entry *en, const Pw__Envelope *e, int64_t now) {
  pwreport_peer(en->reports, e, now - en->unread_ms, now);
  pwflight_take_suspects(en->flights, e->loads, now);
}

static void on_listener(entry *en, int64_t now) {
  pw_peer from;
  Pw__Envelope *e;
  while ((e = pwwire_recv(en->listener, &from)) != NULL) {
    if (e->body_case == PW__ENVELOPE__BODY_HELLO)
      on_hello(en, &from, e, now);
    else if (e->body_case == PW__ENVELOPE__BODY_LOADS)
      on_loads(en, e, now);
    pw__envelope__free_unpacked(e, NULL);
  }
}

static void on_dialler(entry *en, int64_t now) {
  pw_peer from;
  Pw__Envelope *e;
  while ((e = pwwire_recv(en->dialler, &from)) != NULL) {
    if (e->body_case == PW__ENVELOPE__BODY_WELCOME) {
      pwsub_welcome(en->sub, &from, e, now);
    } else if (e->body_case == PW__ENVELOPE__BODY_CLAIMED) {
      pwflight_claimed(en->flights, e->claimed, &en->policy, now);
    } else {
      pwflight_message(en->flights, &from, e, &en->policy, now);
    }
    pw__envelope__free_unpacked(e, NULL);
  }
}

static void on_link_lost(entry *en, int64_t now) {
  char addr[128];
  while (pwwire_next_lost(en->dialler, addr, sizeof addr))
    pwflight_link_lost(en->flights, addr, &en->policy, now);
}

static void on_mail(entry *en, int64_t now) {
  pwmail_clear(en->mail);
  int serve = pwsub_may_serve(en->sub, now);
  pwproc_set_ready(en->p, serve); /* before any request is refused */
  pw_note *n;
  while ((n = (pw_note *)pwmail_take(en->mail)) != NULL) {
    pwflight_note(en->flights, n, &en->policy, serve, now);
    pwcall_unref(n->call);
    free(n);
  }
}

static void send_hello(entry *en, int64_t now) {
  if (!pwsub_hello_due(en->sub, now))
    return;
  pw_feed_sum sum;
  pwfeed_sum(en->feed, en->in_force, &sum);
  Pw__Hello h = PW__HELLO__INIT;
  h.role = "entry";
  h.availability_zone = en->p->set->availability_zone;
  h.region = en->p->set->region;
  h.http = en->p->set->entry_http;
  h.below = sum.count;
  h.entries = 1 + sum.entries;
  h.below_revision = sum.revision;
  h.behind = sum.behind;
  h.stopping = atomic_load(&en->p->stopping) != 0;
  pwtreereport_fill(en->treereport, &h, pwsub_confirmed_at(en->sub), now);
  pwsub_hello(en->sub, &h, now);
  pwtreereport_clear(&h);
}

static void on_child_left(void *arg, const pw_child *c) {
  entry *en = arg;
  pwtreereport_child_left(en->treereport, c, pwclock_ms());
}

/* Copies the wire thread's state for the HTTP threads. The leader's address is
** copied at each call, so that an entry that is ready can forward. */
static void update_snapshot(entry *en, int64_t now) {
  int due = now - en->snapshot_at >= SNAPSHOT_MS;
  json_t *children = due ? pwfeed_json(en->feed, now) : NULL;
  pthread_mutex_lock(&en->lock);
  if (due) {
    json_decref(en->children);
    en->children = children;
  }
  pw_copy(en->leader_http, sizeof en->leader_http, pwsub_leader_http(en->sub));
  pthread_mutex_unlock(&en->lock);
  if (due)
    en->snapshot_at = now;
}

/* Reloads the certificate. The previous one stays in use if that fails. */
static void renew_certificate(entry *en) {
  pw_buf err = {0};
  if (!atomic_exchange(&en->p->renew, 0) || !en->p->set->entry_tls_cert[0])
    return;
  if (atomic_load(&en->p->stopping))
    return;
  if (pwserve_reload_keys(en->http, &err) == 0)
    pwlog(LOG_NOTICE, "certificate-renewed", "file=%s",
          en->p->set->entry_tls_cert);
  else
    pwlog(LOG_ERR, "certificate-refused", "code=%d reason=%s", PW_E_SETTINGS,
          err.data);
  pwbuf_free(&err);
}

/* Handles heartbeats and time-outs. It is not called while the loop catches up
** after a stall, when messages of peers wait unread and peers seem silent. */
static void check_timeouts(entry *en, int64_t now) {
  send_hello(en, now);
  pwfeed_expire(en->feed, on_child_left, en, now);
  if (now - en->summed_at >= SUM_MS) {
    pwtargets_sum_up(en->targets, now);
    en->summed_at = now;
  }
  pwreport_tick(en->reports, now);
  pwreport_suspects(en->reports, pwflight_quarantine(en->flights),
                    pwflight_parts(en->flights), now);
  pwflight_tick(en->flights, &en->policy, now);
}

static void tick(entry *en, int64_t now) {
  renew_certificate(en);
  if (pwlag_catch_up(&en->lag, now) == 0)
    check_timeouts(en, now);
  update_snapshot(en, now);
  pwproc_set_ready(en->p, pwsub_may_serve(en->sub, now));
}

/* Whether the loop may end. When stopping, /ready fails first, then the listener
** closes, then the requests in progress end. */
static int may_end(entry *en, int64_t now) {
  int stopping = atomic_load(&en->p->stopping);
  if (!stopping)
    return 0;
  if (!en->stop_at) {
    en->stop_at = now;
    pwsub_hello_now(en->sub);
    pwevent_add(en->p->events, PWE_STOPPING, 0, NULL, NULL, NULL,
                "in_flight=%d", pwflight_count(en->flights));
    pwlog(LOG_NOTICE, "stopping", "in_flight=%d", pwflight_count(en->flights));
  }
  int64_t waited = now - en->stop_at;
  if (waited < STOP_GRACE_MS)
    return 0;
  if (en->stop_at > 0 && waited < STOP_GRACE_MS + 2 * TICK_MS)
    pwserve_quiesce(en->http);
  if (stopping > 1 || waited > en->p->set->stop_limit)
    return 1;
  return pwflight_count(en->flights) == 0 && pwserve_active(en->http) == 0;
}

/* Messages that are read after a stall may have waited unread for as long as it
** lasted, so the loads that they report are dated back by its length. */
static void note_stall(entry *en, int64_t now) {
  int64_t stall_ms = pwlag_iteration(&en->lag, now);
  en->unread_ms = stall_ms ? stall_ms + ITERATION_MAX_MS : 0;
  pwfeed_discount_stall(en->feed, stall_ms);
}

static void loop(entry *en) {
  zmq_pollitem_t items[4] = {
      {pwwire_raw(en->listener), 0, ZMQ_POLLIN, 0},
      {pwwire_raw(en->dialler), 0, ZMQ_POLLIN, 0},
      {pwwire_monitor_raw(en->dialler), 0, ZMQ_POLLIN, 0},
      {NULL, pwmail_fd(en->mail), ZMQ_POLLIN, 0}};
  int64_t ticked = 0;
  while (!may_end(en, pwclock_ms())) {
    zmq_poll(items, 4, TICK_MS);
    int64_t now = pwclock_ms();
    note_stall(en, now);
    on_listener(en, now);
    on_dialler(en, now);
    resources_changed(en, now);
    on_link_lost(en, now);
    on_mail(en, now);
    if (now - ticked >= TICK_MS) {
      ticked = now;
      tick(en, now);
    }
  }
}

static void make_parts(entry *en) {
  const pw_settings *set = en->p->set;
  en->dialler = pwwire_dialler(en->p->wire);
  en->mail = pwmail_new();
  int direct = set->entry_parents.n == 0;
  en->sub = pwsub_new(en->p, en->dialler,
                      direct ? &set->entry_control : &set->entry_parents,
                      direct, set->entry_stale, set->entry_when_cut_off);
  en->feed = pwfeed_new(en->p, en->listener, pwsub_resources(en->sub));
  en->targets = pwtargets_new(en->p, en->dialler);
  en->treereport = pwtreereport_new();
  en->flights =
      pwflight_new(en->p, en->dialler, en->targets, en->sub, en->treereport);
  en->reports = pwreport_new(en->p, en->dialler, en->targets);
  pwview_read_policy(pwsub_resources(en->sub), &en->policy);
  en->children = json_array();
}

static int start_http(entry *en, pw_buf *err) {
  const pw_settings *set = en->p->set;
  pw_serve_setup setup = {.addr = set->entry_http,
                          .threads = (int)set->entry_threads,
                          .max_body = (size_t)set->entry_max_body,
                          .max_connections = (int)set->entry_max_connections,
                          .idle_timeout = (int)set->entry_idle_timeout,
                          .memory = en->p->memory,
                          .tls_cert = set->entry_tls_cert,
                          .tls_key = set->entry_tls_key,
                          .arg = en,
                          .handle = on_http,
                          .done = on_http_done};
  en->http = pwserve_start(&setup, err);
  return en->http ? 0 : -1;
}

pw_code pwentry_run(pw_proc *p, pw_buf *err) {
  entry en = {.p = p, .lag.iteration_max_ms = ITERATION_MAX_MS};
  pw_code rc = PW_E_SETTINGS;
  pthread_mutex_init(&en.lock, NULL);
  en.listener = pwwire_listen(p->wire, p->set->entry_wire, err);
  if (!en.listener)
    return rc;
  make_parts(&en);
  if (start_http(&en, err) == 0) {
    loop(&en);
    rc = PW_OK;
  }
  pwflight_free(en.flights);
  pwserve_stop(en.http);
  on_mail(&en, pwclock_ms());
  pwreport_free(en.reports);
  pwtreereport_free(en.treereport);
  pwtargets_free(en.targets);
  pwfeed_free(en.feed);
  pwsub_free(en.sub);
  pwmail_free(en.mail);
  pwwire_close(en.dialler);
  pwwire_close(en.listener);
  pwview_free(en.view);
  json_decref(en.children);
  pthread_mutex_destroy(&en.lock);
  return rc;
}
