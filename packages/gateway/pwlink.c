/* pwlink.c: a gateway's links to control instances: configuration, targets,
** other gateways. It is in touch with all of them; whoever has news tells it. */
#include "pwgate.h"

#include "pwdoc.h"
#include "pwlog.h"
#include "pwwatch.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <zmq.h>

#define WATCH_MS 500     /* control is told so often that we are there */
#define ASK_AGAIN_MS 300 /* a document that did not come is asked for again */
#define FRESH_MS 1500    /* what control said so long ago still counts */
#define FORGET_MS 20000  /* a control instance silent for so long is dropped */
#define ALONE_MS 1500    /* with a configuration, but nobody to confirm it */
#define POLL_S 0.05      /* in case an edge of the socket was missed */
#define GATEWAYS_MAX 256

typedef struct contact {
  char addr[PW_NAME_MAX];
  pw_peer peer;
  int is_seed;
  uint64_t site; /* version it has told */
  int in_touch;
  int64_t heard_at; /* 0: never */
  int64_t asked_at, wanted_at, dialled_at;
  char **gateways;
  size_t ngateways;
  struct contact *next;
} contact;

struct pw_link {
  pw_gate *g;
  pw_sock *sock;
  pw_doc *doc;
  contact *contacts;
  int64_t site_at; /* when the configuration in force came */
  int ngateways;
  ev_io io;
  ev_timer poll;
};

static contact *contact_of(pw_link *l, const char *addr, int64_t now) {
  for (contact *c = l->contacts; c; c = c->next)
    if (!strcmp(c->addr, addr))
      return c;
  contact *c = pw_alloc(sizeof *c);
  pw_copy(c->addr, sizeof c->addr, addr);
  pwwire_dial(l->sock, addr, &c->peer);
  c->dialled_at = now;
  c->next = l->contacts;
  l->contacts = c;
  return c;
}

static void free_gateways(contact *c) {
  for (size_t i = 0; i < c->ngateways; i++)
    free(c->gateways[i]);
  free(c->gateways);
  c->gateways = NULL;
  c->ngateways = 0;
}

static void send_watch(pw_link *l, contact *c, int want, int64_t now) {
  Pw__Watch m = PW__WATCH__INIT;
  m.site = pwdoc_version(l->doc);
  m.want = want;
  m.gossip = l->g->p->set->gateway_gossip;
  Pw__Envelope e = PW_ENVELOPE(WATCH, watch, &m);
  pwwire_send(l->sock, &c->peer, &e);
  c->asked_at = now;
  if (want)
    c->wanted_at = now;
}

/* --- what control tells --- */

static void log_target(pw_gate *g, const pw_beat *b, pw_fleet_news what,
                       int64_t now) {
  static const char *const name[] = {[PWFLEET_JOINED] = "target-joined",
                                     [PWFLEET_LEAVING] = "target-leaving",
                                     [PWFLEET_GONE] = "target-gone"};
  if (what >= PWFLEET_JOINED)
    pwtrace_line(g->trace, PWTRACE_STATE, now, name[what],
                 "target=%s service=%s addr=%s seq=%llu", b->id, b->service,
                 b->address, (unsigned long long)b->seq);
}

static void take_beats(pw_link *l, const Pw__Notice *n, int64_t now) {
  for (size_t i = 0; i < n->n_beats; i++) {
    pw_beat b;
    pwwatch_unpack(n->beats[i], &b);
    log_target(l->g, &b,
               pwfleet_beat(l->g->fleet, &b, n->beats[i]->gone,
                            now - n->beats[i]->age),
               now);
  }
}

static int cmp_text(const void *a, const void *b) {
  return strcmp(*(char *const *)a, *(char *const *)b);
}

/* The gateways that any control instance in touch has told of. */
static void tell_gossip(pw_link *l, int64_t now) {
  char *all[GATEWAYS_MAX];
  size_t n = 0, kept = 0;
  for (contact *c = l->contacts; c; c = c->next)
    for (size_t i = 0; now - c->heard_at < FRESH_MS * 2 && i < c->ngateways &&
                       n < GATEWAYS_MAX;
         i++)
      all[n++] = c->gateways[i];
  qsort(all, n, sizeof all[0], cmp_text);
  for (size_t i = 0; i < n; i++)
    if (kept == 0 || strcmp(all[kept - 1], all[i]) != 0)
      all[kept++] = all[i];
  l->ngateways = (int)kept;
  pwgossip_peers(l->g->gossip, all, kept);
}

static void take_lists(pw_link *l, contact *from, const Pw__Notice *n,
                       int64_t now) {
  for (size_t i = 0; i < n->n_control; i++)
    contact_of(l, n->control[i], now);
  if (!n->n_gateways)
    return;
  free_gateways(from);
  from->gateways = pw_alloc(sizeof(char *) * n->n_gateways);
  for (size_t i = 0; i < n->n_gateways; i++)
    from->gateways[from->ngateways++] = pw_dup(n->gateways[i]);
}

static void on_notice(pw_link *l, contact *c, const Pw__Notice *n,
                      int64_t now) {
  c->site = n->site;
  c->in_touch = n->in_touch;
  take_beats(l, n, now);
  take_lists(l, c, n, now);
  if (n->site > pwdoc_version(l->doc) && now - c->wanted_at >= ASK_AGAIN_MS)
    send_watch(l, c, 1, now);
}

static void on_document(pw_link *l, contact *c, const Pw__Document *d,
                        int64_t now) {
  char why[160] = "";
  uint64_t before = pwdoc_version(l->doc);
  pw_code rc = pwdoc_take(l->doc, d);
  if (rc == PW_E_STALE) { /* its base is not kept here: the whole, please */
    c->wanted_at = 0;
    pwdoc_clear(l->doc);
  }
  if (rc != PW_OK || pwdoc_version(l->doc) == before)
    return;
  size_t n;
  pw_site *site;
  const char *text = pwdoc_text(l->doc, &n);
  rc = l->g->dialect->read_site(text, n, &site, why, sizeof why);
  if (rc != PW_OK) {
    pwlog(LOG_ERR, "configuration-unreadable", "code=%d why=\"%s\"", (int)rc,
          why);
    return;
  }
  l->site_at = now;
  pwgate_adopt(l->g, site);
}

static contact *contact_by_peer(pw_link *l, const pw_peer *from) {
  for (contact *c = l->contacts; c; c = c->next)
    if (pwwire_same(&c->peer, from))
      return c;
  return NULL;
}

static void read_messages(pw_link *l) {
  pw_peer from;
  Pw__Envelope *e;
  while ((e = pwwire_recv(l->sock, &from)) != NULL) {
    int64_t now = pwclock_ms();
    contact *c = contact_by_peer(l, &from);
    if (c)
      c->heard_at = now;
    if (c && e->body_case == PW__ENVELOPE__BODY_NOTICE)
      on_notice(l, c, e->notice, now);
    else if (c && e->body_case == PW__ENVELOPE__BODY_DOCUMENT)
      on_document(l, c, e->document, now);
    pw__envelope__free_unpacked(e, NULL);
  }
}

static void on_io(struct ev_loop *ev, ev_io *w, int events) {
  (void)ev;
  (void)events;
  read_messages(w->data);
}

static void on_poll(struct ev_loop *ev, ev_timer *w, int events) {
  (void)ev;
  (void)events;
  read_messages(w->data);
}

/* --- time --- */

static void drop_silent(pw_link *l, int64_t now) {
  for (contact **at = &l->contacts; *at;) {
    contact *c = *at;
    int64_t since = c->heard_at ? c->heard_at : c->dialled_at;
    if (c->is_seed || now - since < FORGET_MS) {
      at = &c->next;
      continue;
    }
    *at = c->next;
    pwwire_hang_up(l->sock, c->addr);
    free_gateways(c);
    free(c);
  }
}

void pwlink_tick(pw_link *l, int64_t now) {
  for (contact *c = l->contacts; c; c = c->next) {
    int behind =
        c->site > pwdoc_version(l->doc) && now - c->wanted_at >= ASK_AGAIN_MS;
    if (behind || now - c->asked_at >= WATCH_MS)
      send_watch(l, c, behind, now);
  }
  drop_silent(l, now);
  tell_gossip(l, now);
}

int pwlink_is_current(const pw_link *l, int64_t now) {
  uint64_t held = pwdoc_version(l->doc);
  int newer = 0, confirmed = 0;
  if (!held)
    return 0;
  for (const contact *c = l->contacts; c; c = c->next) {
    if (!c->heard_at || now - c->heard_at > FRESH_MS)
      continue;
    newer |= c->site > held;
    confirmed |= c->in_touch && c->site <= held;
  }
  if (newer)
    return 0;
  return confirmed || now - l->site_at > ALONE_MS;
}

int pwlink_gateways(const pw_link *l) {
  return l->ngateways > 0 ? l->ngateways : 1;
}

/* --- making --- */

static int dial_seeds(pw_link *l, pw_buf *err) {
  const pw_settings *set = l->g->p->set;
  for (int i = 0; i < set->gateway_control.n; i++) {
    char ip[48], addr[PW_NAME_MAX];
    if (sscanf(set->gateway_control.item[i], "%40[0-9.]:", ip) != 1) {
      pwbuf_fmt(err, "gateway.control: \"%s\": IP:PORT is allowed\n",
                set->gateway_control.item[i]);
      return -1;
    }
    snprintf(addr, sizeof addr, "tcp://%s:%d", ip,
             (int)set->gateway_control_port);
    contact_of(l, addr, pwclock_ms())->is_seed = 1;
  }
  return 0;
}

pw_link *pwlink_new(pw_gate *g, pw_buf *err) {
  pw_link *l = pw_alloc(sizeof *l);
  int fd = -1;
  size_t len = sizeof fd;
  l->g = g;
  l->doc = pwdoc_new();
  l->sock = pwwire_dialler(g->p->wire);
  zmq_getsockopt(pwwire_raw(l->sock), ZMQ_FD, &fd, &len);
  ev_io_init(&l->io, on_io, fd, EV_READ);
  ev_timer_init(&l->poll, on_poll, POLL_S, POLL_S);
  l->io.data = l->poll.data = l;
  ev_io_start(g->ev, &l->io);
  ev_timer_start(g->ev, &l->poll);
  if (dial_seeds(l, err) == 0)
    return l;
  pwlink_free(l);
  return NULL;
}

void pwlink_free(pw_link *l) {
  if (!l)
    return;
  ev_io_stop(l->g->ev, &l->io);
  ev_timer_stop(l->g->ev, &l->poll);
  while (l->contacts) {
    contact *c = l->contacts;
    l->contacts = c->next;
    free_gateways(c);
    free(c);
  }
  pwwire_close(l->sock);
  pwdoc_free(l->doc);
  free(l);
}
