/* pwsub.c: the child's side of the distribution tree. */
#include "pwsub.h"

#include "pwbuf.h"
#include "pwlog.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define ADDR_MAX 96

typedef struct parent {
  char addr[ADDR_MAX];
  pw_peer peer;
  int dialled;
} parent;

struct pw_sub {
  pw_proc *p;
  pw_sock *sock;
  pw_res *res;
  parent parents[PW_LIST_MAX];
  int n;
  int at; /* index of the current parent */
  int follow_leader;
  int64_t stale_ms; /* ms without contact after which this process is cut off */
  int serve_cut_off;

  int64_t hello_at;     /* when the last Hello was sent */
  int64_t interval;     /* of Hellos, ms */
  int64_t welcomed_at;  /* when the parent last answered */
  int64_t since;        /* when this parent was chosen */
  int64_t as_of;        /* time of the newest Hello that was answered */
  int64_t confirmed_at; /* the same for the current parent and leader */
  int64_t same_since;   /* when parent or leader last changed */
  uint64_t parent_incarnation;
  int64_t contact_at; /* time of the last certain contact with a leader */
  int has_contact;    /* that time is not longer ago than `stale_ms` */
  int caught_up;      /* has had the complete configuration once */
  uint64_t term;
  uint64_t group; /* id of the first control group; others are ignored */
  int logged_other_group; /* another group was seen and logged */
  uint32_t entries;
  char leader_wire[ADDR_MAX];
  char leader_http[ADDR_MAX];
  parent leader; /* connection for claims when it is not the parent */
};

/* The first parent to use. A hash of the child's name spreads children over the
** parents. */
static int first_parent(const pw_sub *s) {
  const char *name = s->p->set->name;
  return s->n ? (int)(XXH3_64bits(name, strlen(name)) % (uint64_t)s->n) : 0;
}

pw_sub *pwsub_new(pw_proc *p, pw_sock *sock, const pw_list *parents,
                  int follow_leader, int64_t stale_ms, const char *cut_off) {
  pw_sub *s = pw_alloc(sizeof *s);
  s->p = p;
  s->sock = sock;
  s->res = pwres_new();
  s->follow_leader = follow_leader;
  s->stale_ms = stale_ms;
  s->serve_cut_off = !strcmp(cut_off, "serve");
  s->contact_at = INT64_MIN / 2;
  s->confirmed_at = INT64_MIN / 2;
  s->hello_at = INT64_MIN / 2;
  s->interval = PW_HELLO_MS;
  s->since = pwclock_ms();
  for (int i = 0; i < parents->n; i++)
    pw_copy(s->parents[s->n++].addr, ADDR_MAX, parents->item[i]);
  s->at = first_parent(s);
  return s;
}

void pwsub_free(pw_sub *s) {
  if (!s)
    return;
  pwres_free(s->res);
  free(s);
}

const pw_res *pwsub_resources(const pw_sub *s) {
  return s->res;
}

static void move_to(pw_sub *s, int at, int64_t now) {
  parent *old = &s->parents[s->at];
  if (old->dialled) {
    pwwire_disconnect(s->sock, old->addr);
    old->dialled = 0;
  }
  s->at = at;
  s->since = now;
  s->welcomed_at = now;
  s->hello_at = INT64_MIN / 2;
}

int pwsub_hello_due(const pw_sub *s, int64_t now) {
  return s->n > 0 && now - s->hello_at >= s->interval;
}

void pwsub_hello_now(pw_sub *s) {
  s->hello_at = INT64_MIN / 2;
}

static int send_to_parent(pw_sub *s, Pw__Envelope *e) {
  const parent *to = &s->parents[s->at];
  if (!s->n || !to->dialled)
    return -1;
  return pwwire_send(s->sock, &to->peer, e);
}

int pwsub_send_to_leader(pw_sub *s, Pw__Envelope *e) {
  const char *addr = s->leader_wire;
  if (!addr[0] || !strcmp(addr, s->parents[s->at].addr))
    return send_to_parent(s, e);
  if (strcmp(addr, s->leader.addr) != 0) {
    if (s->leader.dialled)
      pwwire_disconnect(s->sock, s->leader.addr);
    pw_copy(s->leader.addr, ADDR_MAX, addr);
    s->leader.dialled =
        pwwire_dial(s->sock, s->leader.addr, &s->leader.peer) == 0;
  }
  return s->leader.dialled ? pwwire_send(s->sock, &s->leader.peer, e) : -1;
}

const char *pwsub_leader_wire(const pw_sub *s) {
  return s->leader_wire;
}

void pwsub_hello(pw_sub *s, Pw__Hello *h, int64_t now) {
  int64_t answered_at = s->welcomed_at > s->since ? s->welcomed_at : s->since;
  if (now - answered_at > PW_PARENT_LOST + s->interval)
    move_to(s, (s->at + 1) % s->n, now);
  parent *to = &s->parents[s->at];
  if (!to->dialled)
    to->dialled = pwwire_dial(s->sock, to->addr, &to->peer) == 0;
  s->hello_at = now;
  h->revision = pwres_revision(s->res);
  h->clock = now;
  Pw__Envelope e = PW_ENVELOPE(HELLO, hello, h);
  send_to_parent(s, &e);
}

static void move_to_leader(pw_sub *s, const char *leader_wire, int64_t now) {
  if (!s->follow_leader || !leader_wire[0] ||
      !strcmp(leader_wire, s->parents[s->at].addr))
    return;
  int at = 0;
  while (at < s->n && strcmp(s->parents[at].addr, leader_wire) != 0)
    at++;
  if (at == s->n && s->n < PW_LIST_MAX)
    pw_copy(s->parents[s->n++].addr, ADDR_MAX, leader_wire);
  if (at < s->n)
    move_to(s, at, now);
}

static void note_contact(pw_sub *s, const Pw__Welcome *w, int64_t now) {
  if (w->touch_age == UINT32_MAX || w->echo == 0)
    return;
  int64_t at = w->echo - (int64_t)w->touch_age;
  if (at > s->contact_at)
    s->contact_at = at;
  if (!s->has_contact && now - s->contact_at <= s->stale_ms) {
    s->has_contact = 1;
    pwevent_add(s->p->events, PWE_IN_TOUCH, 0, NULL, NULL, NULL,
                "parent=%s revision=%llu", s->parents[s->at].addr,
                (unsigned long long)w->revision);
    pwlog(LOG_NOTICE, "in-touch", "parent=%s", s->parents[s->at].addr);
  }
}

/* Whether a Welcome is from the control group that this process belongs to.
** Revisions of different groups cannot be compared, so a process must restart,
** without the old resources, to change to a group that was created anew. */
static int is_own_group(pw_sub *s, uint64_t group) {
  if (!group || !s->group)
    s->group = group ? group : s->group;
  if (!group || s->group == group)
    return group != 0;
  if (!s->logged_other_group)
    pwlog(LOG_ERR, "another-group",
          "parent=%s; restart this process to change to that group",
          s->parents[s->at].addr);
  s->logged_other_group = 1;
  return 0;
}

/* Records which Hello the parent has answered. Answers to Hellos that were in
** flight when the parent or the leader changed do not count: these Hellos
** omitted what the previous parent or leader had confirmed. */
static void note_confirmed(pw_sub *s, const Pw__Envelope *e, int64_t now) {
  const Pw__Welcome *w = e->welcome;
  int same = s->parent_incarnation == e->incarnation && s->term == w->term;
  s->parent_incarnation = e->incarnation;
  if (!same) {
    s->confirmed_at = INT64_MIN / 2;
    s->same_since = now;
  } else if (w->echo > s->same_since && w->echo > s->confirmed_at) {
    s->confirmed_at = w->echo;
  }
}

int pwsub_welcome(pw_sub *s, const pw_peer *from, const Pw__Envelope *e,
                  int64_t now) {
  const Pw__Welcome *w = e->welcome;
  if (!s->n || !pwwire_same_peer(from, &s->parents[s->at].peer))
    return 0;
  if (!is_own_group(s, w->group) || w->term < s->term)
    return 0;
  note_confirmed(s, e, now);
  s->term = w->term;
  s->welcomed_at = now;
  s->entries = w->entries;
  if (w->hello_ms)
    s->interval = w->hello_ms;
  if (w->echo > s->as_of)
    s->as_of = w->echo;
  pw_copy(s->leader_wire, sizeof s->leader_wire, w->leader_wire);
  pw_copy(s->leader_http, sizeof s->leader_http, w->leader_http);
  int merged = pwres_merge(s->res, w->full, w->since, w->revision, w->resources,
                           w->n_resources);
  if (merged < 0)
    pwsub_hello_now(s);
  if (pwres_revision(s->res) >= w->revision) {
    s->caught_up |= w->touch_age != UINT32_MAX;
    note_contact(s, w, now);
  }
  move_to_leader(s, w->leader_wire, now);
  if (merged != 1)
    return 0;
  pwevent_add(s->p->events, PWE_REVISION, 0, NULL, NULL, NULL,
              "revision=%llu resources=%zu%s", (unsigned long long)w->revision,
              w->n_resources, w->full ? " full" : "");
  pwsub_hello_now(s);
  return 1;
}

int64_t pwsub_contact_age(const pw_sub *s, int64_t now) {
  return s->contact_at < 0 ? -1 : now - s->contact_at;
}

int pwsub_may_serve(pw_sub *s, int64_t now) {
  if (s->has_contact && now - s->contact_at > s->stale_ms) {
    s->has_contact = 0;
    pwevent_add(s->p->events, PWE_CUT_OFF, 0, NULL, NULL, NULL,
                "no leader for %lld ms", (long long)(now - s->contact_at));
    pwlog(LOG_WARNING, "cut-off", "last_in_touch_ms=%lld",
          (long long)(now - s->contact_at));
  }
  return s->caught_up && (s->has_contact || s->serve_cut_off);
}

int64_t pwsub_as_of(const pw_sub *s) {
  return s->as_of;
}

int64_t pwsub_confirmed_at(const pw_sub *s) {
  return s->confirmed_at;
}

uint64_t pwsub_term(const pw_sub *s) {
  return s->term;
}

uint64_t pwsub_group(const pw_sub *s) {
  return s->group;
}

uint32_t pwsub_entries(const pw_sub *s) {
  return s->entries;
}

const char *pwsub_leader_http(const pw_sub *s) {
  return s->leader_http;
}
