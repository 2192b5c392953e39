/* pwfeed.c: the parent's side of the distribution tree. */
#include "pwfeed.h"

#include "pwbuf.h"
#include "pwlog.h"

#include <stdlib.h>
#include <string.h>

#define RESEND_MS 1000    /* a delta not confirmed by then is sent again */
#define WELCOME_BYTES 200 /* approximate size of a Hello and its Welcome */

struct pw_feed {
  pw_proc *p;
  pw_sock *sock;
  const pw_res *res;
  pw_child *children;
  int n;
};

pw_feed *pwfeed_new(pw_proc *p, pw_sock *sock, const pw_res *res) {
  pw_feed *f = pw_alloc(sizeof *f);
  f->p = p;
  f->sock = sock;
  f->res = res;
  return f;
}

void pwfeed_free(pw_feed *f) {
  if (!f)
    return;
  while (f->children) {
    pw_child *c = f->children;
    f->children = c->next;
    free(c);
  }
  free(f);
}

static pw_child *child_of(pw_feed *f, const char *name) {
  for (pw_child *c = f->children; c; c = c->next)
    if (!strcmp(c->name, name))
      return c;
  pw_child *c = pw_alloc(sizeof *c);
  pw_copy(c->name, sizeof c->name, name);
  c->next = f->children;
  f->children = c;
  f->n++;
  return c;
}

/* Whether a resource concerns a child. Agents need only their own target, its
** assignment and the policies; the rights of a workspace come with each Run. */
static int concerns_child(const pw_child *c, const pw_resource *one) {
  if (strcmp(c->role, "agent") != 0 || !strcmp(one->kind, "policy"))
    return 1;
  int is_target_kind =
      !strcmp(one->kind, "target") || !strcmp(one->kind, "assignment");
  return is_target_kind && !strcmp(one->name, c->target);
}

/* Whether a change newer than `since` concerns a child. */
static int lacks_changes(const pw_feed *f, const pw_child *c, uint64_t since) {
  if (since < pwres_floor(f->res))
    return 1;
  for (const pw_resource *one = pwres_after(f->res, since); one;
       one = one->next)
    if (concerns_child(c, one))
      return 1;
  return 0;
}

/* The newest revision that a child has or that was sent to it. */
static uint64_t known_revision(const pw_child *c) {
  return c->sent > c->revision ? c->sent : c->revision;
}

static void fill_resources(const pw_feed *f, const pw_child *c,
                           Pw__Welcome *w) {
  uint64_t since = known_revision(c);
  if (since > pwres_revision(f->res))
    since = pwres_revision(f->res); /* the child is newer: nothing to send */
  w->full = since < pwres_floor(f->res);
  if (w->full)
    since = 0;
  w->since = since;
  size_t n = 0;
  const pw_resource *first = pwres_after(f->res, since);
  for (const pw_resource *one = first; one; one = one->next)
    n++;
  w->resources = pw_alloc(sizeof *w->resources * (n + 1));
  for (const pw_resource *one = first; one; one = one->next)
    if (concerns_child(c, one))
      w->resources[w->n_resources++] = pwres_pack(one);
}

/* The interval of Hellos, in ms, at which all children together stay within
** PW_FEED_BYTES_PER_S. */
static uint32_t hello_interval(const pw_feed *f) {
  uint32_t ms = (uint32_t)(f->n * WELCOME_BYTES * 1000 / PW_FEED_BYTES_PER_S);
  if (ms > PW_HELLO_MAX_MS)
    return PW_HELLO_MAX_MS; /* over budget: the tree needs another level */
  return ms < PW_HELLO_MS ? PW_HELLO_MS : ms;
}

static void send_welcome(pw_feed *f, pw_child *c, const pw_feed_state *st,
                         Pw__PoolLoad **pools, size_t npools, int64_t now) {
  Pw__Welcome w = PW__WELCOME__INIT;
  w.echo = c->clock;
  w.leader = st->leader;
  w.touch_age = st->touch_age < 0 ? UINT32_MAX : (uint32_t)st->touch_age;
  if (strcmp(c->role, "agent") != 0) {
    w.leader_wire = (char *)st->leader_wire;
    w.leader_http = (char *)st->leader_http;
  }
  w.term = st->term;
  w.group = st->group;
  w.revision = pwres_revision(f->res);
  w.hello_ms = hello_interval(f);
  w.entries = st->entries;
  w.pools = pools;
  w.n_pools = npools;
  if (now - c->sent_at > RESEND_MS)
    c->sent = c->revision;
  fill_resources(f, c, &w);
  Pw__Envelope e = PW_ENVELOPE(WELCOME, welcome, &w);
  if (pwwire_send(f->sock, &c->peer, &e) == 0 && c->sent != w.revision) {
    c->sent = w.revision;
    c->sent_at = now;
  }
  for (size_t i = 0; i < w.n_resources; i++)
    pw__resource__free_unpacked(w.resources[i], NULL);
  free(w.resources);
}

void pwfeed_hello(pw_feed *f, const pw_peer *from, const Pw__Envelope *e,
                  const pw_feed_state *st, Pw__PoolLoad **pools, size_t npools,
                  int64_t now) {
  const Pw__Hello *h = e->hello;
  pw_child *c = child_of(f, e->from);
  if (c->incarnation != e->incarnation) {
    c->sent = 0;
    c->incarnation = e->incarnation;
    pwlog(LOG_NOTICE, "child-joined", "name=%s role=%s", e->from, h->role);
  }
  c->peer = *from;
  pw_copy(c->role, sizeof c->role, h->role);
  pw_copy(c->availability_zone, sizeof c->availability_zone,
          h->availability_zone);
  pw_copy(c->http, sizeof c->http, h->http);
  pw_copy(c->behind, sizeof c->behind, h->behind);
  pw_copy(c->target, sizeof c->target, h->load ? h->load->target : "");
  c->revision = h->revision;
  c->below = h->below;
  c->below_revision = h->below_revision;
  c->entries = h->entries;
  c->clock = h->clock;
  c->stopping = h->stopping;
  c->last_hello_at = now;
  send_welcome(f, c, st, pools, npools, now);
}

void pwfeed_push(pw_feed *f, const pw_feed_state *st, int64_t now) {
  uint64_t revision = pwres_revision(f->res);
  for (pw_child *c = f->children; c; c = c->next)
    if (known_revision(c) < revision && lacks_changes(f, c, known_revision(c)))
      send_welcome(f, c, st, NULL, 0, now);
}

void pwfeed_discount_stall(pw_feed *f, int64_t ms) {
  for (pw_child *c = f->children; c; c = c->next)
    c->last_hello_at += ms;
}

void pwfeed_expire(pw_feed *f, void (*left)(void *arg, const pw_child *c),
                   void *arg, int64_t now) {
  pw_child **at = &f->children;
  while (*at) {
    pw_child *c = *at;
    int has_stopped = c->stopping && now - c->last_hello_at > PW_PARENT_LOST;
    if (now - c->last_hello_at <= PW_CHILD_KEEP && !has_stopped) {
      at = &c->next;
      continue;
    }
    pwlog(LOG_NOTICE, "child-left", "name=%s", c->name);
    left(arg, c);
    *at = c->next;
    f->n--;
    free(c);
  }
}

const pw_child *pwfeed_children(const pw_feed *f) {
  return f->children;
}

json_t *pwfeed_json(const pw_feed *f, int64_t now) {
  json_t *list = json_array();
  for (const pw_child *c = f->children; c; c = c->next)
    json_array_append_new(
        list, json_pack("{s:s,s:s,s:s,s:s,s:I,s:I,s:i,s:I,s:b}", "name",
                        c->name, "role", c->role, "availability_zone",
                        c->availability_zone, "http", c->http, "revision",
                        (json_int_t)c->revision, "below_revision",
                        (json_int_t)c->below_revision, "below", (int)c->below,
                        "silent_ms", (json_int_t)(now - c->last_hello_at),
                        "stopping", c->stopping));
  return list;
}

void pwfeed_sum(const pw_feed *f, uint64_t own_revision, pw_feed_sum *out) {
  *out = (pw_feed_sum){.count = 1, .revision = own_revision};
  pw_copy(out->behind, sizeof out->behind, f->p->set->name);
  for (const pw_child *c = f->children; c; c = c->next) {
    out->count += c->below;
    out->entries += c->entries;
    if (c->below_revision >= out->revision ||
        !lacks_changes(f, c, c->below_revision))
      continue; /* none of the changes that it lacks concerns it */
    out->revision = c->below_revision;
    pw_copy(out->behind, sizeof out->behind,
            c->behind[0] ? c->behind : c->name);
  }
}
