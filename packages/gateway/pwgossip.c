/* pwgossip.c: gateways send each other the number of requests that each has in flight at every
** target, so that all know the total load; many gateways exchange them in groups (pwtopology).
** Each datagram replaces the one before, so a lost one does no harm. */
#define _GNU_SOURCE
#include "pwgossipint.h"

#include "pwlog.h"
#include "pwpartsmsg.h"
#include "pwsuspects.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <xxhash.h>

/* Loads reported by another gateway are ignored after this time, ms. */
#define STALE_MS 1000

/* Interval of load reports, and of the sums of groups and of all gateways, ms. At twice these
** intervals the known loads are 60 ms older and the value of answers at six times the load is 0.02 lower;
** shorter intervals cost processor time. */
#define REPORT_MS 100
#define SUM_MS 50

/* Approximate age of the known loads of the others, ms: received directly, and through aggregators. */
#define AGE_DIRECT_MS 100
#define AGE_GROUPS_MS 150

/* Largest count of tokens that is reported of a target, in PWFLEET_PREFILL_UNIT. */
#define UNITS_MAX 1000000

static int same_addr(const struct sockaddr_in *a, const struct sockaddr_in *b) {
  return a->sin_addr.s_addr == b->sin_addr.s_addr && a->sin_port == b->sin_port;
}

static int find(const pw_gossip *s, const struct sockaddr_in *addr) {
  for (int i = 0; i < s->npeers; i++)
    if (same_addr(&s->peers[i].addr, addr))
      return i;
  return -1;
}

uint64_t pwgsp_hash_of(const struct sockaddr_in *addr) {
  uint64_t both[2] = {addr->sin_addr.s_addr, addr->sin_port};
  return XXH3_64bits(both, sizeof both);
}

/* Puts a peer at index `at` of the new lists, with its state if it is in the old ones. */
static void move_peer(pw_gossip *s, const struct sockaddr_in *addr,
                      pw_gossip_peer *peers, pw_topology_peer *topology,
                      int at) {
  int old = find(s, addr);
  topology[at] =
      (pw_topology_peer){.hash = pwgsp_hash_of(addr), .is_self = at == 0};
  peers[at].addr = *addr;
  if (old < 0)
    return;
  peers[at] = s->peers[old];
  topology[at] = s->topology[old];
  s->peers[old] = (pw_gossip_peer){0};
}

static void free_peers(pw_gossip *s) {
  for (int i = 0; i < s->npeers; i++) {
    pwgossipmsg_free(&s->peers[i].own);
    pwgossipmsg_free(&s->peers[i].sum);
  }
  free(s->peers);
  free(s->topology);
  free(s->other_hash);
}

void pwgossip_set_peers(pw_gossip *s, char **address, size_t n) {
  pw_gossip_peer *peers = pw_alloc(sizeof *peers * (n + 1));
  pw_topology_peer *topology = pw_alloc(sizeof *topology * (n + 1));
  struct sockaddr_in self = s->peers[0].addr;
  int count = 1;
  move_peer(s, &self, peers, topology, 0);
  for (size_t i = 0; i < n; i++) {
    struct sockaddr_in addr;
    if (pwtcp_address(address[i], &addr) == 0 && !same_addr(&addr, &self))
      move_peer(s, &addr, peers, topology, count++);
  }
  free_peers(s);
  if (count != s->npeers)
    s->peers_changed_at = pwclock_ms();
  s->peers = peers;
  s->topology = topology;
  s->other_hash = pw_alloc(sizeof *s->other_hash * (size_t)count);
  for (int i = 1; i < count; i++)
    s->other_hash[i - 1] = topology[i].hash;
  s->npeers = count;
}

int64_t pwgossip_peers_changed_at(const pw_gossip *s) {
  return s->peers_changed_at;
}

/* --- outgoing messages --- */

static int is_fresh(const pw_gossip_loads *t, int64_t now) {
  return t->at && now - t->at <= STALE_MS;
}

/* Key of a service, whose request rate is sent in a row beside the targets' loads. */
static uint32_t key_of(const pw_gate_service *service) {
  return (uint32_t)XXH3_64bits(service->name, strlen(service->name));
}

/* Tokens in the unit of reports. Callers state the sizes of their prompts, so they may be of any size: what is beyond
** the limit, which no engine could hold, is not reported. */
static uint32_t units_of(double tokens) {
  double units = tokens / PWFLEET_PREFILL_UNIT + 0.5;
  return units < UNITS_MAX ? (uint32_t)units : UNITS_MAX;
}

static void count_own(pw_gossip *s, int64_t now) {
  pwloads_clear(&s->own);
  for (pw_target *t = pwfleet_first(s->g->fleet); t; t = t->hh.next) {
    pwloads_add(&s->own, t->short_hash, (uint32_t)t->inflight);
    pwloads_add(&s->own, t->prefill_hash, units_of(t->prefill));
    pwloads_add(&s->own, t->copies_hash, units_of(t->copies));
    pwloads_add(&s->own, t->reject_hash,
                (uint32_t)pwreject_is_recent(&t->rejects, now));
    pwloads_add(&s->own, t->connect_failure_hash,
                (uint32_t)pwreject_is_recent(&t->connect_failures, now));
    pwloads_add(&s->own, t->unanswered_hash,
                pwunanswered_report(&t->unanswered, now));
  }
  for (pw_gate_service *one = s->g->services; one; one = one->next)
    pwloads_add(&s->own, key_of(one),
                (uint32_t)(pwshare_rate(&one->share, now) + 0.5));
  pwworkspaces_report(s->g, &s->own, now);
}

static void add_all(pw_loads *to, const pw_loads *from) {
  size_t at = 0;
  const pw_load_row *row;
  while ((row = pwloads_next(from, &at)) != NULL)
    pwloads_add(to, row->key, row->load);
}

/* Adds a report to the loads of all gateways if it is current. Returns whether it was. */
static int add_if_fresh(pw_gossip *s, const pw_gossip_loads *report,
                        int64_t now) {
  if (!is_fresh(report, now))
    return 0;
  pwgossipmsg_sum(report, &s->all);
  return 1;
}

/* Applies the sum of all gateways to the targets and services. `knows_most`: the reports of most other gateways
** are in it. */
static void apply_loads(pw_gossip *s, int64_t age_ms, int knows_most,
                        int64_t now) {
  s->g->knows_most_loads = knows_most;
  pwfleet_note_loads(s->g->fleet, &s->all, &s->own, age_ms);
  pwfleet_note_unanswered(s->g->fleet, &s->all, &s->own, now);
  int64_t others = 0;
  for (pw_target *t = pwfleet_first(s->g->fleet); t; t = t->hh.next)
    others += t->others;
  pwcount_set(s->g->p->counters, PWC_GW_OTHERS, others);
  for (pw_gate_service *one = s->g->services; one; one = one->next) {
    uint32_t key = key_of(one), mine = pwloads_get(&s->own, key);
    uint32_t sum = pwloads_get(&s->all, key);
    one->others_rate = sum > mine ? sum - mine : 0;
  }
  pwworkspaces_receive(s->g, &s->all, &s->own, pwclock_ms());
}

void pwgsp_send_to(const pw_gossip *s, const struct sockaddr_in *addr,
                   const uint8_t *data, size_t n) {
  if (sendto(s->fd, data, n, MSG_DONTWAIT, (const struct sockaddr *)addr,
             sizeof *addr) < 0 &&
      errno != EAGAIN)
    pwtrace_line(s->g->trace, PWTRACE_STATE, pwclock_ms(), "gossip-failed",
                 "errno=%d", errno);
}

void pwgsp_send_to_peers(void *arg, const uint8_t *data, size_t n) {
  const pw_gossip_receivers *l = arg;
  for (int i = 0; i < l->n; i++)
    pwgsp_send_to(l->s, &l->s->peers[l->to[i]].addr, data, n);
}

/* Adds the keys of a target's rows other than that of its load. */
static void add_secondary_keys(const pw_target *t, pw_loads *keys) {
  pwloads_add(keys, t->prefill_hash, 1);
  pwloads_add(keys, t->copies_hash, 1);
  pwloads_add(keys, t->reject_hash, 1);
  pwloads_add(keys, t->connect_failure_hash, 1);
  pwloads_add(keys, t->unanswered_hash, 1);
}

/* Adds the keys of the rows of all targets and services. */
static void add_known_keys(const pw_gossip *s, pw_loads *keys) {
  for (pw_target *t = pwfleet_first(s->g->fleet); t; t = t->hh.next) {
    pwloads_add(keys, t->short_hash, 1);
    add_secondary_keys(t, keys);
  }
  for (pw_gate_service *one = s->g->services; one; one = one->next)
    pwloads_add(keys, key_of(one), 1);
}

/* Leaves out rows of workspaces if there are too many, in s->fitted_workspaces. */
static const pw_loads *fit_workspaces(pw_gossip *s, const pw_loads *loads) {
  if (loads->n <= PWGOSSIPMSG_ROWS &&
      pwworkspaces_count(loads) <= PWWORKSPACES_ROWS)
    return loads;
  pw_loads known = {0};
  add_known_keys(s, &known);
  pwworkspaces_fit(&s->fitted_workspaces, loads, &known, PWGOSSIPMSG_ROWS);
  pwloads_free(&known);
  return &s->fitted_workspaces;
}

/* Returns the rows that fit into a message: if there are too many, only loads, in s->fitted. With more
** than some thousand targets the other rows would push loads out of the datagrams, and receivers would keep
** outdated loads for good. */
static const pw_loads *fit_rows(pw_gossip *s, const pw_loads *loads) {
  if (loads->n <= PWGOSSIPMSG_ROWS)
    return loads;
  pw_loads secondary = {0};
  size_t at = 0;
  const pw_load_row *row;
  for (pw_target *t = pwfleet_first(s->g->fleet); t; t = t->hh.next)
    add_secondary_keys(t, &secondary);
  pwloads_clear(&s->fitted);
  while ((row = pwloads_next(loads, &at)) != NULL)
    if (!pwloads_get(&secondary, row->key))
      pwloads_add(&s->fitted, row->key, row->load);
  pwloads_free(&secondary);
  return &s->fitted;
}

static void send_loads(pw_gossip *s, pw_gossip_kind kind, const pw_loads *loads,
                       const pw_gossip_prompts *moved, const int *to, int n) {
  pw_gossip_receivers l = {s, to, n};
  if (n)
    pwgossipmsg_pack(kind, pwwire_incarnation(s->g->p->wire), &s->seq,
                     fit_rows(s, fit_workspaces(s, loads)), moved,
                     pwgsp_send_to_peers, &l);
}

/* Sends the fingerprints of requests whose targets crashed, and the parts of their prompts. Every instance forwards
** all that it knows of, so that they reach every other one. */
static void send_suspects(pw_gossip *s, const int *to, int n, int64_t now) {
  pw_suspects suspects;
  pw_partsmsg parts;
  pw_gossip_receivers l = {s, to, n};
  uint64_t incarnation = pwwire_incarnation(s->g->p->wire);
  if (n && pwsuspects_due(&suspects, s->g->quarantine, now))
    pwgossipmsg_pack_suspects(incarnation, suspects.list, suspects.n,
                              pwgsp_send_to_peers, &l);
  if (n && pwpartsmsg_due(&parts, s->g->parts, now))
    pwgossipmsg_pack_parts(incarnation, parts.list, parts.n,
                           pwgsp_send_to_peers, &l);
}

/* Adds prefixes for gateways that have just started to a message. All gateways that notice the start share the work;
** of a group only the aggregator may notice it, and then announces all. */
static void add_synced_prefixes(pw_gossip *s, int is_aggregator, int64_t now,
                                pw_gossip_prompts *out) {
  pw_prefix_share share = {.part = 0, .parts = 1};
  for (int i = 1; i < s->npeers && !is_aggregator; i++) {
    share.parts++;
    share.part += s->topology[i].hash < s->topology[0].hash;
  }
  pwprefixsync_add(&s->sync, s->g->affinity, share, now,
                   s->calls->prefix_keep_ms(s->g), out);
}

/* --- few gateways: direct exchange --- */

static void exchange_direct(pw_gossip *s, int64_t now) {
  if (now - s->reported_at < REPORT_MS)
    return;
  s->reported_at = now;
  count_own(s, now);
  int *to = pw_alloc(sizeof *to * (size_t)s->npeers);
  for (int i = 1; i < s->npeers; i++)
    to[i - 1] = i;
  add_synced_prefixes(s, 0, now, &s->prompts_up);
  send_loads(s, PWGOSSIPMSG_OWN, &s->own, &s->prompts_up, to, s->npeers - 1);
  send_suspects(s, to, s->npeers - 1, now);
  free(to);
  s->prompts_up.n = s->prompts_down.n = 0;
  pwloads_clear(&s->all);
  add_all(&s->all, &s->own);
  int known = 0;
  for (int i = 1; i < s->npeers; i++)
    known += add_if_fresh(s, &s->peers[i].own, now);
  apply_loads(s, AGE_DIRECT_MS, 2 * known >= s->npeers - 1, now);
}

/* --- many gateways: through the aggregators of groups --- */

static int aggregator_of(const pw_gossip *s, uint32_t groups, uint32_t group,
                         int64_t now) {
  return pwtopology_aggregator(s->topology, s->npeers, groups, group, now);
}

static void report_loads(pw_gossip *s, int aggregator, int64_t now) {
  if (now - s->reported_at < REPORT_MS)
    return;
  s->reported_at = now;
  count_own(s, now);
  send_loads(s, PWGOSSIPMSG_REPORT, &s->own, &s->prompts_up, &aggregator, 1);
  send_suspects(s, &aggregator, 1, now);
  s->prompts_up.n = 0;
  pwtopology_sent(&s->topology[aggregator], now);
  /* Without an answer of the aggregator only the loads of this gateway are known. */
  if (!is_fresh(&s->total, now)) {
    pwloads_clear(&s->all);
    add_all(&s->all, &s->own);
    apply_loads(s, STALE_MS, 0, now);
  }
}

/* Fills `members` with the gateways that report here; returns their number. */
static int reporters(const pw_gossip *s, int *members, int64_t now) {
  int n = 0;
  for (int i = 1; i < s->npeers; i++)
    if (is_fresh(&s->peers[i].own, now))
      members[n++] = i;
  return n;
}

/* Sends the sum of the group to the aggregators of the other groups. A gateway that has received reports
** although it takes another one for the aggregator of its group sends the sum to that one, too. Fills `to`
** with the receivers; returns their number. */
static int send_group_sum(pw_gossip *s, uint32_t groups, uint32_t own_group,
                          int is_aggregator, int *to, int64_t now) {
  static const pw_gossip_prompts none = {.n = 0};
  int n = 0;
  for (uint32_t group = 0; group < groups; group++) {
    int aggregator = aggregator_of(s, groups, group, now);
    if (aggregator < 0 || (group == own_group && is_aggregator))
      continue;
    to[n++] = aggregator;
    if (is_aggregator)
      pwtopology_sent(&s->topology[aggregator], now);
  }
  send_loads(s, PWGOSSIPMSG_SUM, &s->sum,
             is_aggregator ? &s->prompts_up : &none, to, n);
  if (is_aggregator)
    s->prompts_up.n = 0;
  return n;
}

static void aggregate(pw_gossip *s, uint32_t groups, uint32_t own_group,
                      int is_aggregator, int64_t now) {
  if (now - s->summed_at < SUM_MS)
    return;
  s->summed_at = now;
  int *members = pw_alloc(sizeof *members * ((size_t)s->npeers + groups));
  int n = reporters(s, members, now), naggregators = 0;
  pwloads_clear(&s->sum);
  if (is_aggregator) {
    count_own(s, now);
    add_all(&s->sum, &s->own);
  }
  for (int i = 0; i < n; i++)
    pwgossipmsg_sum(&s->peers[members[i]].own, &s->sum);
  if (is_aggregator || n)
    naggregators =
        send_group_sum(s, groups, own_group, is_aggregator, members + n, now);
  if (is_aggregator) {
    pwloads_clear(&s->all);
    add_all(&s->all, &s->sum);
    int known = 0;
    for (int i = 1; i < s->npeers; i++)
      known += add_if_fresh(s, &s->peers[i].sum, now);
    apply_loads(s, AGE_GROUPS_MS, 2 * known >= naggregators, now);
  }
  if (is_aggregator)
    add_synced_prefixes(s, 1, now, &s->prompts_down);
  send_loads(s, PWGOSSIPMSG_TOTAL, &s->all, &s->prompts_down, members, n);
  send_suspects(s, members, n + naggregators, now);
  s->prompts_down.n = 0;
  free(members);
}

void pwgossip_tick(pw_gossip *s, int64_t now) {
  uint32_t groups = pwtopology_groups(s->npeers);
  if (groups == 1) {
    exchange_direct(s, now);
    return;
  }
  uint32_t group = pwtopology_group(s->topology[0].hash, groups);
  int aggregator = aggregator_of(s, groups, group, now);
  if (aggregator > 0)
    report_loads(s, aggregator, now);
  aggregate(s, groups, group, aggregator == 0, now);
}

void pwgossip_announce_prefix(pw_gossip *s, uint64_t key, uint32_t target) {
  pwgossipmsg_add_prompt(&s->prompts_up, key, target);
  pwgossipmsg_add_prompt(&s->prompts_down, key, target);
}

/* --- incoming messages --- */

static void handle_total(pw_gossip *s, const Pw__Gossip *m, int64_t now) {
  if (!pwgossipmsg_take(&s->total, m, now))
    return;
  pwloads_clear(&s->all);
  pwgossipmsg_sum(&s->total, &s->all);
  apply_loads(s, AGE_GROUPS_MS, 1, now);
}

/* Records announced prompts. Those from a member are forwarded to all groups, those from another
** group to the members of this one. */
static void handle_prompts(pw_gossip *s, const Pw__Gossip *m, int64_t now) {
  for (size_t i = 0; i < m->n_keys && i < m->n_places; i++) {
    pwaffinity_learn(s->g->affinity, m->keys[i], m->places[i], now);
    s->calls->prefix_cached(s->g, m->keys[i]);
    if (m->kind == PWGOSSIPMSG_REPORT)
      pwgossipmsg_add_prompt(&s->prompts_up, m->keys[i], m->places[i]);
    if (m->kind == PWGOSSIPMSG_REPORT || m->kind == PWGOSSIPMSG_SUM)
      pwgossipmsg_add_prompt(&s->prompts_down, m->keys[i], m->places[i]);
  }
}

/* A new incarnation of a gateway knows no prefixes. */
static void handle_own(pw_gossip *s, pw_gossip_loads *loads,
                       const Pw__Gossip *m, int64_t now) {
  if (loads->incarnation != m->incarnation)
    pwprefixsync_begin(&s->sync);
  pwgossipmsg_take(loads, m, now);
}

static void on_suspect(void *arg, uint64_t fingerprint, pw_quar_change change) {
  pwgate_log_suspect(arg, fingerprint, change, "told");
}

static void handle_message(pw_gossip *s, const struct sockaddr_in *from,
                           const Pw__Gossip *m) {
  /* Lists of gateways lag behind starts and pauses, when streams break: these messages count from any gateway. */
  if (pwgsp_is_about_streams(m->kind)) {
    pwgsp_receive_streams(s, from, m);
    return;
  }
  int64_t now = pwclock_ms();
  int i = find(s, from);
  if (i <= 0)
    return;
  if (m->kind == PWGOSSIPMSG_SUSPECTS) {
    pwsuspects_receive(s->g->quarantine, m->suspects, m->n_suspects, now,
                       on_suspect, s->g);
    return;
  }
  if (m->kind == PWGOSSIPMSG_CRASHING_PARTS) {
    pwpartsmsg_receive(s->g->parts, m->crashing_parts, m->n_crashing_parts,
                       now);
    return;
  }
  if (m->kind == PWGOSSIPMSG_TOTAL || m->kind == PWGOSSIPMSG_SUM)
    pwtopology_answered(&s->topology[i]);
  if (m->kind == PWGOSSIPMSG_TOTAL)
    handle_total(s, m, now);
  else if (m->kind == PWGOSSIPMSG_SUM)
    pwgossipmsg_take(&s->peers[i].sum, m, now);
  else
    handle_own(s, &s->peers[i].own, m, now);
  handle_prompts(s, m, now);
}

static void on_io(struct ev_loop *ev, ev_io *w, int events) {
  (void)ev;
  (void)events;
  pw_gossip *s = w->data;
  uint8_t data[PWGOSSIPMSG_BYTES];
  struct sockaddr_in from = {0};
  socklen_t len = sizeof from;
  ssize_t n =
      recvfrom(s->fd, data, sizeof data, 0, (struct sockaddr *)&from, &len);
  if (n <= 0)
    return;
  Pw__Gossip *m = pw__gossip__unpack(NULL, (size_t)n, data);
  if (!m)
    return;
  handle_message(s, &from, m);
  pw__gossip__free_unpacked(m, NULL);
}

/* --- creation --- */

pw_gossip *pwgossip_new(pw_gate *g, const pw_gossip_callbacks *calls,
                        pw_buf *err) {
  pw_gossip *s = pw_alloc(sizeof *s);
  const char *addr = g->p->set->gateway_gossip;
  struct sockaddr_in self;
  s->g = g;
  s->calls = calls;
  s->peers = pw_alloc(sizeof *s->peers);
  s->topology = pw_alloc(sizeof *s->topology);
  s->npeers = 1;
  s->fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (pwtcp_address(addr, &self) != 0 || s->fd < 0 ||
      bind(s->fd, (const struct sockaddr *)&self, sizeof self) != 0) {
    pwbuf_fmt(err, "gateway.gossip: cannot bind \"%s\": %s\n", addr,
              strerror(errno));
    pwgossip_free(s);
    return NULL;
  }
  s->peers[0].addr = self;
  s->topology[0] =
      (pw_topology_peer){.hash = pwgsp_hash_of(&self), .is_self = 1};
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
  pwgossipmsg_free(&s->total);
  pwloads_free(&s->own);
  pwloads_free(&s->sum);
  pwloads_free(&s->all);
  pwloads_free(&s->fitted);
  pwloads_free(&s->fitted_workspaces);
  free(s);
}
