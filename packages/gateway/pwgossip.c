/* pwgossip.c: gateways tell each other how many requests each has at every
** target, so that all see the whole load; many of them in groups (pwsight).
** Datagrams: each replaces the one before, so a lost one does no harm. */
#define _GNU_SOURCE
#include "pwgate.h"

#include "pwlog.h"
#include "pwsight.h"
#include "pwsuspects.h"
#include "pwtold.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <xxhash.h>

/* What another gateway said so long ago does not count any more, ms. */
#define STALE_MS 1000

/* Loads are told so often, and the sums of groups and of all, ms: half as often, what is known
** is 60 ms older and credit at six times the load 0.02 less (make bench-overload); more
** often is paid with processor time. */
#define TELL_MS 100
#define SUM_MS 50

/* How old what is known of the others is, about: told directly, and through firsts, ms. */
#define AGE_DIRECT_MS 100
#define AGE_GROUPS_MS 150

typedef struct peer {
  struct sockaddr_in addr;
  pw_told_loads own; /* as it told: its own loads */
  pw_told_loads sum; /* those of its group */
} peer;

struct pw_gossip {
  pw_gate *g;
  int fd;
  peer *peers; /* the first is this gateway itself */
  pw_sight_peer *sight;
  int npeers;
  uint64_t seq;
  int64_t told_at, summed_at;
  pw_told_prompts
      up; /* since the first of the group was told, or the other firsts */
  pw_told_prompts down; /* since the members were told */
  pw_loads own;         /* as told last */
  pw_loads sum, all;
  pw_loads room;       /* what finds room of what is told now */
  pw_told_loads total; /* of all, as the first of the group told */
  ev_io io;
};

static int same_addr(const struct sockaddr_in *a, const struct sockaddr_in *b) {
  return a->sin_addr.s_addr == b->sin_addr.s_addr && a->sin_port == b->sin_port;
}

static int find(const pw_gossip *s, const struct sockaddr_in *addr) {
  for (int i = 0; i < s->npeers; i++)
    if (same_addr(&s->peers[i].addr, addr))
      return i;
  return -1;
}

static uint64_t hash_of(const struct sockaddr_in *addr) {
  uint64_t both[2] = {addr->sin_addr.s_addr, addr->sin_port};
  return XXH3_64bits(both, sizeof both);
}

/* Keeps what is known of those that stay. */
static void take_peer(pw_gossip *s, const struct sockaddr_in *addr, peer *peers,
                      pw_sight_peer *sight, int at) {
  int old = find(s, addr);
  sight[at] = (pw_sight_peer){.hash = hash_of(addr), .is_self = at == 0};
  peers[at].addr = *addr;
  if (old < 0)
    return;
  peers[at] = s->peers[old];
  sight[at] = s->sight[old];
  s->peers[old] = (peer){0};
}

static void free_peers(pw_gossip *s) {
  for (int i = 0; i < s->npeers; i++) {
    pwtold_free(&s->peers[i].own);
    pwtold_free(&s->peers[i].sum);
  }
  free(s->peers);
  free(s->sight);
}

void pwgossip_peers(pw_gossip *s, char **address, size_t n) {
  peer *peers = pw_alloc(sizeof *peers * (n + 1));
  pw_sight_peer *sight = pw_alloc(sizeof *sight * (n + 1));
  struct sockaddr_in self = s->peers[0].addr;
  int count = 1;
  take_peer(s, &self, peers, sight, 0);
  for (size_t i = 0; i < n; i++) {
    struct sockaddr_in addr;
    if (pwtcp_address(address[i], &addr) == 0 && !same_addr(&addr, &self))
      take_peer(s, &addr, peers, sight, count++);
  }
  free_peers(s);
  s->peers = peers;
  s->sight = sight;
  s->npeers = count;
}

/* --- what is told --- */

static int is_fresh(const pw_told_loads *t, int64_t now) {
  return t->at && now - t->at <= STALE_MS;
}

/* A service's requests a second travel beside targets' loads. */
static uint32_t key_of(const pw_gate_service *service) {
  return (uint32_t)XXH3_64bits(service->name, strlen(service->name));
}

static void count_own(pw_gossip *s, int64_t now) {
  pwloads_clear(&s->own);
  for (pw_target *t = pwfleet_first(s->g->fleet); t; t = t->hh.next) {
    pwloads_add(&s->own, t->short_hash, (uint32_t)t->inflight);
    pwloads_add(&s->own, t->reject_hash,
                (uint32_t)pwreject_is_recent(&t->rejects, now));
    pwloads_add(&s->own, t->miss_hash,
                (uint32_t)pwreject_is_recent(&t->misses, now));
  }
  for (pw_gate_service *one = s->g->services; one; one = one->next)
    pwloads_add(&s->own, key_of(one),
                (uint32_t)(pwshare_rate(&one->share, now) + 0.5));
}

static void add_all(pw_loads *to, const pw_loads *from) {
  size_t at = 0;
  const pw_load_row *row;
  while ((row = pwloads_next(from, &at)) != NULL)
    pwloads_add(to, row->key, row->load);
}

/* Believes what all have together. */
static void believe(pw_gossip *s, int64_t age_ms) {
  pwfleet_note_loads(s->g->fleet, &s->all, &s->own, age_ms);
  int64_t others = 0;
  for (pw_target *t = pwfleet_first(s->g->fleet); t; t = t->hh.next)
    others += t->others;
  pwcount_set(s->g->p->counters, PWC_GW_OTHERS, others);
  for (pw_gate_service *one = s->g->services; one; one = one->next) {
    uint32_t key = key_of(one), mine = pwloads_get(&s->own, key);
    uint32_t sum = pwloads_get(&s->all, key);
    one->others_rate = sum > mine ? sum - mine : 0;
  }
}

typedef struct letter {
  pw_gossip *s;
  const int *to; /* indices of peers */
  int n;
} letter;

static void post(void *arg, const uint8_t *data, size_t n) {
  const letter *l = arg;
  for (int i = 0; i < l->n; i++) {
    const struct sockaddr_in *addr = &l->s->peers[l->to[i]].addr;
    if (sendto(l->s->fd, data, n, MSG_DONTWAIT, (const struct sockaddr *)addr,
               sizeof *addr) < 0 &&
        errno != EAGAIN)
      pwtrace_line(l->s->g->trace, PWTRACE_STATE, pwclock_ms(), "gossip-failed",
                   "errno=%d", errno);
  }
}

/* Fills s->room with what finds room in a telling: loads first. Beyond some thousand targets what was not
** taken finds none, and pushed loads out of the datagrams, so that old ones were believed for good. */
static const pw_loads *with_room(pw_gossip *s, const pw_loads *loads) {
  if (loads->n <= PWTOLD_ROWS)
    return loads;
  pw_loads refusals = {0};
  size_t at = 0;
  const pw_load_row *row;
  for (pw_target *t = pwfleet_first(s->g->fleet); t; t = t->hh.next) {
    pwloads_add(&refusals, t->reject_hash, 1);
    pwloads_add(&refusals, t->miss_hash, 1);
  }
  pwloads_clear(&s->room);
  while ((row = pwloads_next(loads, &at)) != NULL)
    if (!pwloads_get(&refusals, row->key))
      pwloads_add(&s->room, row->key, row->load);
  pwloads_free(&refusals);
  return &s->room;
}

static void tell(pw_gossip *s, pw_told_kind kind, const pw_loads *loads,
                 const pw_told_prompts *moved, const int *to, int n) {
  letter l = {s, to, n};
  if (n)
    pwtold_pack(kind, pwwire_incarnation(s->g->p->wire), &s->seq,
                with_room(s, loads), moved, post, &l);
}

/* Requests under which targets ended: every instance tells what it knows, so that it goes on from
** one to the next. */
static void tell_suspects(pw_gossip *s, const int *to, int n, int64_t now) {
  pw_suspects told;
  letter l = {s, to, n};
  if (n && pwsuspects_fill(&told, s->g->quarantine, now))
    pwtold_pack_suspects(pwwire_incarnation(s->g->p->wire), told.list, told.n,
                         post, &l);
}

/* --- few gateways: each tells each --- */

static void tell_each(pw_gossip *s, int64_t now) {
  if (now - s->told_at < TELL_MS)
    return;
  s->told_at = now;
  count_own(s, now);
  int *to = pw_alloc(sizeof *to * (size_t)s->npeers);
  for (int i = 1; i < s->npeers; i++)
    to[i - 1] = i;
  tell(s, PWTOLD_OWN, &s->own, &s->up, to, s->npeers - 1);
  tell_suspects(s, to, s->npeers - 1, now);
  free(to);
  s->up.n = s->down.n = 0;
  pwloads_clear(&s->all);
  add_all(&s->all, &s->own);
  for (int i = 1; i < s->npeers; i++)
    if (is_fresh(&s->peers[i].own, now))
      pwtold_add(&s->peers[i].own, &s->all);
  believe(s, AGE_DIRECT_MS);
}

/* --- many: through the firsts of groups --- */

static int first_of(const pw_gossip *s, uint32_t groups, uint32_t group,
                    int64_t now) {
  return pwsight_first(s->sight, s->npeers, groups, group, now);
}

static void report(pw_gossip *s, int first, int64_t now) {
  if (now - s->told_at < TELL_MS)
    return;
  s->told_at = now;
  count_own(s, now);
  tell(s, PWTOLD_REPORT, &s->own, &s->up, &first, 1);
  tell_suspects(s, &first, 1, now);
  s->up.n = 0;
  pwsight_asked(&s->sight[first], now);
  if (!is_fresh(&s->total, now)) { /* nobody answers: its own is all it knows */
    pwloads_clear(&s->all);
    add_all(&s->all, &s->own);
    believe(s, STALE_MS);
  }
}

/* The members that report here; gives how many. */
static int reporters(const pw_gossip *s, int *who, int64_t now) {
  int n = 0;
  for (int i = 1; i < s->npeers; i++)
    if (is_fresh(&s->peers[i].own, now))
      who[n++] = i;
  return n;
}

/* The sum of the group goes to the firsts of the others, and from who is not the first by
** its own sight to the one who is. Fills `to` with them; gives how many. */
static int tell_firsts(pw_gossip *s, uint32_t groups, uint32_t own_group,
                       int is_first, int *to, int64_t now) {
  static const pw_told_prompts none = {.n = 0};
  int n = 0;
  for (uint32_t group = 0; group < groups; group++) {
    int first = first_of(s, groups, group, now);
    if (first < 0 || (group == own_group && is_first))
      continue;
    to[n++] = first;
    if (is_first)
      pwsight_asked(&s->sight[first], now);
  }
  tell(s, PWTOLD_SUM, &s->sum, is_first ? &s->up : &none, to, n);
  if (is_first)
    s->up.n = 0;
  return n;
}

static void sum_up(pw_gossip *s, uint32_t groups, uint32_t own_group,
                   int is_first, int64_t now) {
  if (now - s->summed_at < SUM_MS)
    return;
  s->summed_at = now;
  int *who = pw_alloc(sizeof *who * ((size_t)s->npeers + groups));
  int n = reporters(s, who, now), firsts = 0;
  pwloads_clear(&s->sum);
  if (is_first) {
    count_own(s, now);
    add_all(&s->sum, &s->own);
  }
  for (int i = 0; i < n; i++)
    pwtold_add(&s->peers[who[i]].own, &s->sum);
  if (is_first || n)
    firsts = tell_firsts(s, groups, own_group, is_first, who + n, now);
  if (is_first) {
    pwloads_clear(&s->all);
    add_all(&s->all, &s->sum);
    for (int i = 1; i < s->npeers; i++)
      if (is_fresh(&s->peers[i].sum, now))
        pwtold_add(&s->peers[i].sum, &s->all);
    believe(s, AGE_GROUPS_MS);
  }
  tell(s, PWTOLD_TOTAL, &s->all, &s->down, who, n);
  tell_suspects(s, who, n + firsts, now);
  s->down.n = 0;
  free(who);
}

void pwgossip_tick(pw_gossip *s, int64_t now) {
  uint32_t groups = pwsight_groups(s->npeers);
  if (groups == 1) {
    tell_each(s, now);
    return;
  }
  uint32_t group = pwsight_group(s->sight[0].hash, groups);
  int first = first_of(s, groups, group, now);
  if (first > 0)
    report(s, first, now);
  sum_up(s, groups, group, first == 0, now);
}

void pwgossip_moved(pw_gossip *s, uint64_t key, uint32_t target) {
  pwtold_moved(&s->up, key, target);
  pwtold_moved(&s->down, key, target);
}

/* --- hearing --- */

static void take_total(pw_gossip *s, const Pw__Gossip *m, int64_t now) {
  if (!pwtold_take(&s->total, m, now))
    return;
  pwloads_clear(&s->all);
  pwtold_add(&s->total, &s->all);
  believe(s, AGE_GROUPS_MS);
}

/* Prompts go on from a member to the other groups and to the own, from another group to
** the own. */
static void take_moved(pw_gossip *s, const Pw__Gossip *m, int64_t now) {
  for (size_t i = 0; i < m->n_keys && i < m->n_places; i++) {
    pwwhere_note(s->g->where, m->keys[i], m->places[i], now);
    if (m->kind == PWTOLD_REPORT)
      pwtold_moved(&s->up, m->keys[i], m->places[i]);
    if (m->kind == PWTOLD_REPORT || m->kind == PWTOLD_SUM)
      pwtold_moved(&s->down, m->keys[i], m->places[i]);
  }
}

static void heard_suspect(void *arg, uint64_t sign, pw_quar_news news) {
  pwgate_note_suspect(arg, sign, news, "told");
}

static void take(pw_gossip *s, const struct sockaddr_in *from,
                 const Pw__Gossip *m) {
  int64_t now = pwclock_ms();
  int i = find(s, from);
  if (i <= 0)
    return;
  if (m->kind == PWTOLD_SUSPECTS) {
    pwsuspects_take(s->g->quarantine, m->suspects, m->n_suspects, now,
                    heard_suspect, s->g);
    return;
  }
  if (m->kind == PWTOLD_TOTAL || m->kind == PWTOLD_SUM)
    pwsight_heard(&s->sight[i]);
  if (m->kind == PWTOLD_TOTAL)
    take_total(s, m, now);
  else if (m->kind == PWTOLD_SUM)
    pwtold_take(&s->peers[i].sum, m, now);
  else
    pwtold_take(&s->peers[i].own, m, now);
  take_moved(s, m, now);
}

static void on_io(struct ev_loop *ev, ev_io *w, int events) {
  (void)ev;
  (void)events;
  pw_gossip *s = w->data;
  uint8_t data[PWTOLD_BYTES];
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

/* --- making --- */

pw_gossip *pwgossip_new(pw_gate *g, pw_buf *err) {
  pw_gossip *s = pw_alloc(sizeof *s);
  const char *addr = g->p->set->gateway_gossip;
  struct sockaddr_in self;
  s->g = g;
  s->peers = pw_alloc(sizeof *s->peers);
  s->sight = pw_alloc(sizeof *s->sight);
  s->npeers = 1;
  s->fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (pwtcp_address(addr, &self) != 0 || s->fd < 0 ||
      bind(s->fd, (const struct sockaddr *)&self, sizeof self) != 0) {
    pwbuf_fmt(err, "gateway.gossip: \"%s\": cannot be bound: %s\n", addr,
              strerror(errno));
    pwgossip_free(s);
    return NULL;
  }
  s->peers[0].addr = self;
  s->sight[0] = (pw_sight_peer){.hash = hash_of(&self), .is_self = 1};
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
  free_peers(s);
  pwtold_free(&s->total);
  pwloads_free(&s->own);
  pwloads_free(&s->sum);
  pwloads_free(&s->all);
  pwloads_free(&s->room);
  free(s);
}
