/* pwgossip.c: gateways tell each other how many requests each has at every
** target, so that all see the whole load. Datagrams: each replaces the one
** before, so a lost one does no harm. */
#define _GNU_SOURCE
#include "pwgate.h"

#include "pwlog.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* What another gateway said so long ago does not count any more, ms. */
#define STALE_MS 1000

/* How often loads are told: at least so far apart, and longer with more
** gateways, so that what each sends and takes stays bounded. */
#define TELL_MS 100
#define TELL_MS_A_PEER 8

#define DATAGRAM_MAX 1400
#define LOADS_MAX 90 /* fit a datagram, with ... */
#define MOVED_MAX 50

typedef struct peer {
  struct sockaddr_in addr;
  uint64_t incarnation;
  uint64_t seq;
  int64_t heard_at;
  uint32_t target[LOADS_MAX];
  uint32_t load[LOADS_MAX];
  size_t n;
} peer;

struct pw_gossip {
  pw_gate *g;
  int fd;
  struct sockaddr_in self;
  peer *peers;
  size_t npeers;
  uint64_t seq;
  int64_t told_at;
  uint64_t moved_key[MOVED_MAX]; /* since the others were told last */
  uint32_t moved_to[MOVED_MAX];
  size_t nmoved;
  ev_io io;
};

static int same_addr(const struct sockaddr_in *a, const struct sockaddr_in *b) {
  return a->sin_addr.s_addr == b->sin_addr.s_addr && a->sin_port == b->sin_port;
}

static peer *find(pw_gossip *s, const struct sockaddr_in *addr) {
  for (size_t i = 0; i < s->npeers; i++)
    if (same_addr(&s->peers[i].addr, addr))
      return &s->peers[i];
  return NULL;
}

void pwgossip_peers(pw_gossip *s, char **address, size_t n) {
  peer *next = pw_alloc(sizeof *next * (n + 1));
  size_t count = 0;
  for (size_t i = 0; i < n; i++) {
    struct sockaddr_in addr;
    if (pwtcp_address(address[i], &addr) != 0 || same_addr(&addr, &s->self))
      continue;
    const peer *old = find(s, &addr);
    if (old)
      next[count] = *old;
    next[count++].addr = addr;
  }
  free(s->peers);
  s->peers = next;
  s->npeers = count;
}

/* --- hearing --- */

static void take(pw_gossip *s, const struct sockaddr_in *from,
                 const Pw__Gossip *m) {
  peer *p = find(s, from);
  if (!p || m->n_targets != m->n_loads)
    return;
  if (p->incarnation == m->incarnation && m->seq <= p->seq)
    return;
  p->incarnation = m->incarnation;
  p->seq = m->seq;
  p->heard_at = pwclock_ms();
  p->n = m->n_targets < LOADS_MAX ? m->n_targets : LOADS_MAX;
  if (p->n) { /* none is a NULL pointer */
    memcpy(p->target, m->targets, sizeof p->target[0] * p->n);
    memcpy(p->load, m->loads, sizeof p->load[0] * p->n);
  }
  for (size_t i = 0; i < m->n_keys && i < m->n_places; i++)
    pwwhere_note(s->g->where, m->keys[i], m->places[i], p->heard_at);
}

static void on_io(struct ev_loop *ev, ev_io *w, int events) {
  (void)ev;
  (void)events;
  pw_gossip *s = w->data;
  uint8_t data[DATAGRAM_MAX];
  struct sockaddr_in from = {0};
  socklen_t len = sizeof from;
  ssize_t n =
      recvfrom(s->fd, data, sizeof data, 0, (struct sockaddr *)&from, &len);
  if (n <= 0)
    return;
  Pw__Gossip *m = pw__gossip__unpack(NULL, (size_t)n, data);
  if (!m)
    return;
  take(s, &from, m);
  pw__gossip__free_unpacked(m, NULL);
}

/* --- telling --- */

static void tell(pw_gossip *s) {
  uint32_t target[LOADS_MAX], load[LOADS_MAX];
  Pw__Gossip m = PW__GOSSIP__INIT;
  m.incarnation = pwwire_incarnation(s->g->p->wire);
  m.seq = ++s->seq;
  m.targets = target;
  m.loads = load;
  for (pw_target *t = pwfleet_first(s->g->fleet); t && m.n_targets < LOADS_MAX;
       t = t->hh.next) {
    if (t->inflight == 0)
      continue;
    target[m.n_targets++] = t->short_hash;
    load[m.n_loads++] = (uint32_t)t->inflight;
  }
  m.keys = s->moved_key;
  m.places = s->moved_to;
  m.n_keys = m.n_places = s->nmoved;
  s->nmoved = 0;
  uint8_t data[DATAGRAM_MAX];
  size_t n = pw__gossip__get_packed_size(&m);
  if (n > sizeof data)
    return;
  pw__gossip__pack(&m, data);
  for (size_t i = 0; i < s->npeers; i++)
    if (sendto(s->fd, data, n, MSG_DONTWAIT,
               (const struct sockaddr *)&s->peers[i].addr,
               sizeof s->peers[i].addr) < 0 &&
        errno != EAGAIN)
      pwtrace_line(s->g->trace, PWTRACE_STATE, pwclock_ms(), "gossip-failed",
                   "errno=%d", errno);
}

void pwgossip_moved(pw_gossip *s, uint64_t key, uint32_t target) {
  if (s->nmoved == MOVED_MAX) /* the others may read it again */
    return;
  s->moved_key[s->nmoved] = key;
  s->moved_to[s->nmoved++] = target;
}

static int64_t every_ms(const pw_gossip *s) {
  int64_t every = TELL_MS_A_PEER * (int64_t)s->npeers;
  return every > TELL_MS ? every : TELL_MS;
}

static void add_up(pw_gossip *s, int64_t now) {
  pwfleet_clear_others(s->g->fleet, every_ms(s));
  for (size_t i = 0; i < s->npeers; i++) {
    const peer *p = &s->peers[i];
    if (now - p->heard_at > STALE_MS)
      continue;
    for (size_t k = 0; k < p->n; k++)
      pwfleet_add_others(s->g->fleet, p->target[k], (int)p->load[k]);
  }
}

void pwgossip_tick(pw_gossip *s, int64_t now) {
  if (now - s->told_at < every_ms(s))
    return;
  s->told_at = now;
  tell(s);
  add_up(s, now);
}

/* --- making --- */

pw_gossip *pwgossip_new(pw_gate *g, pw_buf *err) {
  pw_gossip *s = pw_alloc(sizeof *s);
  const char *addr = g->p->set->gateway_gossip;
  s->g = g;
  s->fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (pwtcp_address(addr, &s->self) != 0 || s->fd < 0 ||
      bind(s->fd, (const struct sockaddr *)&s->self, sizeof s->self) != 0) {
    pwbuf_fmt(err, "gateway.gossip: \"%s\": cannot be bound: %s\n", addr,
              strerror(errno));
    pwgossip_free(s);
    return NULL;
  }
  ev_io_init(&s->io, on_io, s->fd, EV_READ);
  s->io.data = s;
  ev_io_start(g->ev, &s->io);
  return s;
}

void pwgossip_free(pw_gossip *s) {
  if (!s)
    return;
  if (ev_is_active(&s->io))
    ev_io_stop(s->g->ev, &s->io);
  if (s->fd >= 0)
    close(s->fd);
  free(s->peers);
  free(s);
}
