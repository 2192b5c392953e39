/* test_topology.c: load exchange between many gateways: groups and their
** aggregators, loads and prompts in datagrams, shares of the slots of a
** service. */
#include "pwgate.h"
#include "pwgossipmsg.h"
#include "pwshare.h"
#include "pwtest.h"
#include "pwtopology.h"

#include <string.h>

#define GATEWAYS 103
#define PERIOD_MS 50

/* --- groups --- */

static void test_groups(void) {
  uint32_t before = 0;
  for (int n = 1; n <= 1000; n++) {
    uint32_t groups = pwtopology_groups(n);
    CHECK(groups >= before); /* gateways agree while some join and leave */
    CHECK((groups == 1) == (n <= PWTOPOLOGY_DIRECT_MAX));
    double messages = groups == 1 ? 0 : (double)n / groups + groups;
    CHECK(messages * messages < 16.0 * n);
    before = groups;
  }
  CHECK(pwtopology_groups(80) == pwtopology_groups(110));
}

/* Each gateway with its own state of the others. */
typedef struct fleet {
  pw_topology_peer seen[GATEWAYS][GATEWAYS];
  int is_dead[GATEWAYS];
} fleet;

static void init_fleet(fleet *f) {
  memset(f, 0, sizeof *f);
  for (int i = 0; i < GATEWAYS; i++)
    for (int k = 0; k < GATEWAYS; k++) {
      uint64_t in = (uint64_t)k;
      f->seen[i][k].hash = XXH3_64bits(&in, sizeof in);
      f->seen[i][k].is_self = i == k;
    }
}

/* The aggregator of a group as seen by one gateway. */
static int aggregator_by(const fleet *f, int who, uint32_t group, int64_t now) {
  return pwtopology_aggregator(f->seen[who], GATEWAYS,
                               pwtopology_groups(GATEWAYS), group, now);
}

/* One period: each gateway sends to the aggregator of its group, the
** aggregators to those of the other groups; the gateways that are alive
** answer. */
static void period(fleet *f, int64_t now) {
  uint32_t groups = pwtopology_groups(GATEWAYS);
  for (int i = 0; i < GATEWAYS; i++) {
    uint32_t mine = pwtopology_group(f->seen[i][i].hash, groups);
    int is_aggregator = aggregator_by(f, i, mine, now) == i;
    for (uint32_t group = 0; group < groups && !f->is_dead[i]; group++) {
      if (group != mine && !is_aggregator)
        continue;
      int to = aggregator_by(f, i, group, now);
      if (to < 0 || to == i)
        continue;
      pwtopology_sent(&f->seen[i][to], now);
      if (!f->is_dead[to])
        pwtopology_answered(&f->seen[i][to]);
    }
  }
}

/* Whether all live gateways of the group report to the same live one. */
static int agree(const fleet *f, uint32_t group, int64_t now) {
  int aggregator = -1;
  for (int i = 0; i < GATEWAYS; i++) {
    uint32_t mine =
        pwtopology_group(f->seen[i][i].hash, pwtopology_groups(GATEWAYS));
    if (f->is_dead[i] || mine != group)
      continue;
    int to = aggregator_by(f, i, group, now);
    if (f->is_dead[to] || (aggregator >= 0 && to != aggregator))
      return 0;
    aggregator = to;
  }
  return 1;
}

/* All gateways agree on the aggregators, also after those of two groups have
** died and again when these aggregators are back. */
static void test_aggregators(void) {
  static fleet f;
  init_fleet(&f);
  uint32_t groups = pwtopology_groups(GATEWAYS);
  int64_t now = 1000;
  for (uint32_t group = 0; group < groups; group++)
    CHECK(agree(&f, group, now));
  int gone[2] = {aggregator_by(&f, 0, 0, now), aggregator_by(&f, 0, 1, now)};
  f.is_dead[gone[0]] = f.is_dead[gone[1]] = 1;
  for (int64_t until = now + 600; now < until; now += PERIOD_MS)
    period(&f, now);
  CHECK(agree(&f, 0, now) && agree(&f, 1, now));
  f.is_dead[gone[0]] = f.is_dead[gone[1]] = 0;
  for (int64_t until = now + 5000; now < until; now += PERIOD_MS)
    period(&f, now);
  CHECK(agree(&f, 0, now) && agree(&f, 1, now));
  CHECK(aggregator_by(&f, 5, 0, now) == gone[0]);
}

/* --- datagrams --- */

#define DATAGRAMS 64

typedef struct line {
  Pw__Gossip *m[DATAGRAMS];
  size_t n;
} line;

static void on_datagram(void *arg, const uint8_t *data, size_t n) {
  line *l = arg;
  CHECK(n <= PWGOSSIPMSG_BYTES);
  l->m[l->n] = pw__gossip__unpack(NULL, n, data);
  CHECK(l->m[l->n] != NULL);
  l->n++;
}

static void clear(line *l) {
  while (l->n)
    pw__gossip__free_unpacked(l->m[--l->n], NULL);
}

static void fill(pw_loads *l, pw_random *r, int n) {
  pwloads_clear(l);
  for (int i = 0; i < n; i++)
    pwloads_add(l, (uint32_t)pwrand(r), 1 + (uint32_t)pwrand_below(r, 20));
}

static int same(const pw_loads *a, const pw_loads *b) {
  size_t at = 0;
  const pw_load_row *row;
  while ((row = pwloads_next(a, &at)) != NULL)
    if (pwloads_get(b, row->key) != row->load)
      return 0;
  return a->n == b->n;
}

/* Few and many targets and prompts arrive as they were sent; late or duplicate
** datagrams change nothing; a lost part leaves its earlier content. */
static void test_datagrams(void) {
  static const pw_gossip_prompts none = {.n = 0};
  pw_random r = {.seed = test_seed(4)};
  pw_loads loads = {0}, got = {0};
  pw_gossip_loads known = {0};
  line l = {.n = 0};
  uint64_t seq = 0;
  for (int n = 0; n < 1000; n += 37) {
    pw_gossip_prompts moved = {.n = 0};
    for (int i = 0; i < n / 8; i++)
      pwgossipmsg_add_prompt(&moved, pwrand(&r), (uint32_t)pwrand(&r));
    fill(&loads, &r, n);
    pwgossipmsg_pack(PWGOSSIPMSG_SUM, 7, &seq, &loads, &moved, on_datagram, &l);
    size_t prompts = 0;
    for (size_t i = 0; i < l.n; i++) {
      CHECK(pwgossipmsg_take(&known, l.m[i], n));
      CHECK(!pwgossipmsg_take(&known, l.m[i], n));
      prompts += l.m[i]->n_keys;
    }
    CHECK(prompts == moved.n);
    clear(&l);
    pwloads_clear(&got);
    pwgossipmsg_sum(&known, &got);
    CHECK(same(&loads, &got));
  }
  fill(&loads, &r, 300);
  pwgossipmsg_pack(PWGOSSIPMSG_SUM, 7, &seq, &loads, &none, on_datagram, &l);
  CHECK(l.n == 2);
  CHECK(pwgossipmsg_take(&known, l.m[1], 1)); /* the first part is lost */
  pwloads_clear(&got);
  pwgossipmsg_sum(&known, &got);
  CHECK(got.n > 100 && got.n < 200);
  clear(&l);
  l.n = 0;
  pwgossipmsg_free(&known);
  pwloads_free(&loads);
  pwloads_free(&got);
}

/* Thousands of targets and the most prompts that are sent: each part still
** arrives. It guards against this failure: a part that is too long for a
** datagram is not sent at all, so that the last loads of its targets are
** used for ever. With 300 instances before 3,000 targets nothing was
** served for 30 s after an availability zone was lost, as the targets there
** were sent as well. */
static void test_too_many(void) {
  pw_random r = {.seed = test_seed(5)};
  pw_loads loads = {0}, got = {0};
  pw_gossip_loads known = {0};
  pw_gossip_prompts moved = {.n = 0};
  line l = {.n = 0};
  uint64_t seq = 0;
  for (int i = 0; i < PWGOSSIPMSG_PROMPTS_ALL; i++)
    pwgossipmsg_add_prompt(&moved, UINT64_MAX - pwrand(&r), UINT32_MAX);
  fill(&loads, &r, 2000);
  pwgossipmsg_pack(PWGOSSIPMSG_TOTAL, 7, &seq, &loads, &moved, on_datagram, &l);
  CHECK(l.n == PWGOSSIPMSG_PARTS);
  for (size_t i = 0; i < l.n; i++)
    CHECK(pwgossipmsg_take(&known, l.m[i], 1));
  pwgossipmsg_sum(&known, &got);
  CHECK(got.n >= PWGOSSIPMSG_ROWS);
  clear(&l);
  pwgossipmsg_free(&known);
  pwloads_free(&loads);
  pwloads_free(&got);
}

/* A gateway that restarts counts from the beginning; malformed datagrams are
** refused. */
static void test_restart(void) {
  pw_gossip_loads known = {0};
  uint32_t key = 5, load = 9;
  Pw__Gossip m = PW__GOSSIP__INIT;
  m.incarnation = 1;
  m.seq = 50;
  m.targets = &key;
  m.loads = &load;
  m.n_targets = m.n_loads = 1;
  CHECK(pwgossipmsg_take(&known, &m, 1));
  m.seq = 49;
  CHECK(!pwgossipmsg_take(&known, &m, 2));
  m.incarnation = 2;
  m.seq = 1;
  CHECK(pwgossipmsg_take(&known, &m, 3));
  m.seq = 2;
  m.n_loads = 0;
  CHECK(!pwgossipmsg_take(&known, &m, 4));
  m.n_loads = 1;
  m.parts = PWGOSSIPMSG_PARTS + 1;
  CHECK(!pwgossipmsg_take(&known, &m, 5));
  m.parts = 2;
  m.part = 2;
  CHECK(!pwgossipmsg_take(&known, &m, 6));
  CHECK(known.at == 3);
  pwgossipmsg_free(&known);
}

/* --- shares of slots --- */

/* For any rates of requests at the gateways, their limits add up to about the
** number of slots when none is free, and no gateway is left without one. */
static void test_shares(void) {
  pw_random r = {.seed = test_seed(6)};
  for (int round = 0; round < 50; round++) {
    double asked[GATEWAYS], all = 0, sum = 0, slots = 2160;
    for (int i = 0; i < GATEWAYS; i++) {
      asked[i] = 1 + (double)pwrand_below(&r, 200);
      all += asked[i];
    }
    for (int i = 0; i < GATEWAYS; i++) {
      double mine = pwshare_slots(asked[i], all, slots, slots, 0);
      CHECK(mine >= 1);
      CHECK(pwshare_slots(asked[i], all, slots, slots * 0.6, 0) >
            1.7 * mine - 3);
      CHECK(pwshare_slots(asked[i], all, slots, slots / 3, 0) == slots);
      sum += mine;
    }
    CHECK(sum >= slots && sum < 1.1 * slots);
  }
  CHECK(pwshare_slots(10, 10, 48, 0, 0) >= 48); /* alone it has all slots */
  /* nothing is known of the others */
  CHECK(pwshare_slots(10, 0, 48, 48, 0) >= 48);
  CHECK(pwshare_slots(10, 20, 48, 48, 0.1) < pwshare_slots(10, 20, 48, 48, 0));
}

/* The measured rate follows the requests within a few seconds and decays
** slowly. */
static void test_rate(void) {
  pw_share s = {0};
  for (int64_t now = 0; now < 12000; now += 20)
    pwshare_note(&s, now);
  CHECK(pwshare_rate(&s, 12000) > 45 && pwshare_rate(&s, 12000) < 55);
  CHECK(pwshare_rate(&s, 13000) > 30);
  CHECK(pwshare_rate(&s, 30000) < 1);
}

/* Six times the possible load at all gateways; each knows the requests of the
** others 150 ms late. Gives the requests in flight, most and mean from a
** second after the load rose, as a share of the slots. */
static void play_overload(int with_shares, double *most, double *mean) {
  enum { SLOTS = 2160, HOLD_MS = 400, SIGHT_MS = 150, FROM = 4000, TO = 8000 };
  static int in_flight[GATEWAYS], ends[GATEWAYS][TO + HOLD_MS + 1];
  pw_random r = {.seed = test_seed(9)};
  pw_share share[GATEWAYS] = {0};
  double others[GATEWAYS] = {0}, others_rate[GATEWAYS] = {0}, sum = 0;
  memset(in_flight, 0, sizeof in_flight);
  memset(ends, 0, sizeof ends);
  *most = 0;
  for (int now = 1; now < TO; now++) {
    double all = 0, rate = 0;
    for (int g = 0; g < GATEWAYS; g++) {
      in_flight[g] -= ends[g][now];
      all += in_flight[g];
      rate += pwshare_rate(&share[g], now);
    }
    for (int g = 0; g < GATEWAYS && now % SIGHT_MS == 0; g++) {
      others[g] = all - in_flight[g];
      others_rate[g] = rate - pwshare_rate(&share[g], now);
    }
    if (now >= FROM + 1000) {
      *most = all / SLOTS > *most ? all / SLOTS : *most;
      sum += all / SLOTS;
    }
    double due = (now < FROM ? 0.4 : 6) * SLOTS / HOLD_MS;
    int n = (int)(due + pwrand_unit(&r));
    while (n--) { /* gateways have different numbers of callers */
      int g = (int)pwrand_below(&r, 1 + pwrand_below(&r, GATEWAYS));
      double mine = pwshare_rate(&share[g], now);
      double places = pwshare_slots(mine, mine + others_rate[g], SLOTS,
                                    in_flight[g] + others[g], 0);
      pwshare_note(&share[g], now);
      int fits = with_shares ? in_flight[g] + pwrand_unit(&r) <= places
                             : in_flight[g] + others[g] < SLOTS;
      in_flight[g] += fits;
      ends[g][now + HOLD_MS] += fits;
    }
  }
  *mean = sum / (TO - FROM - 1000);
}

/* Guards against rows of workspaces that push the loads of targets out of the
** messages of an aggregator: 358 gateways report 16 of 10,000 workspaces each. */
static void test_workspace_rows(void) {
  enum { MANY = 358, TARGETS = 1000 };
  pw_random r = {test_seed(8), 0};
  pw_loads sum = {0}, known = {0}, fitted = {0};
  uint32_t target[TARGETS], surging = 0;
  for (int i = 0; i < TARGETS; i++) {
    target[i] = (uint32_t)pwrand(&r);
    pwloads_add(&known, target[i], 1);
    pwloads_add(&sum, target[i], 7);
  }
  for (int g = 0; g < MANY; g++) {
    pw_spike *s = pwspike_new("service", 0);
    pw_spike_row row[PWSPIKE_ROWS];
    for (int64_t now = 0; now < 4000; now += 20) {
      char name[32];
      snprintf(name, sizeof name, "w%d", (int)pwrand_below(&r, 10000));
      pwspike_note(s, now % 100 ? name : "surging", now);
    }
    size_t n = pwspike_report(s, 4000, row);
    CHECK(n == PWSPIKE_ROWS);
    surging = row[2].key; /* the row after those of all requests */
    for (size_t i = 0; i < n; i++)
      pwloads_add(&sum, row[i].key, row[i].count);
    pwspike_free(s);
  }
  printf("%zu rows, of them %zu perhaps of workspaces\n", sum.n,
         pwworkspaces_count(&sum));
  pwworkspaces_fit(&fitted, &sum, &known, PWGOSSIPMSG_ROWS);
  CHECK(fitted.n == TARGETS + PWWORKSPACES_ROWS);
  for (int i = 0; i < TARGETS; i++)
    CHECK(pwloads_get(&fitted, target[i]) == pwloads_get(&sum, target[i]));
  CHECK(pwloads_get(&fitted, surging) == pwloads_get(&sum, surging));
  surging = pwspike_other_key(surging);
  CHECK(pwloads_get(&fitted, surging) == pwloads_get(&sum, surging));
  pwworkspaces_fit(&fitted, &sum, &known, TARGETS + 10);
  CHECK(fitted.n == TARGETS + 10);
  pwworkspaces_fit(&fitted, &sum, &known, TARGETS);
  CHECK(fitted.n == TARGETS);
  pwloads_free(&sum);
  pwloads_free(&known);
  pwloads_free(&fitted);
}

/* Shares limit the requests in flight to the slots, and keep these in use. */
static void test_overload(void) {
  double most, mean;
  play_overload(1, &most, &mean);
  printf("with shares: %.2f at most, %.2f on average\n", most, mean);
  CHECK(most < 1.2 && mean > 0.9 && mean < 1.15);
  play_overload(0, &most, &mean);
  printf("without: %.2f at most, %.2f on average\n", most, mean);
  CHECK(most > 2 && mean > 1.4);
}

/* A gateway that gets most requests may have most of the connections to a
** target, and all gateways together have no more than it accepts. */
static void test_connections(void) {
  pw_random r = {.seed = test_seed(84)};
  CHECK(pwshare_connections(0, 5, 0.9) == 0);
  CHECK(pwshare_connections(100, 5, 0.2) == 20);
  CHECK(pwshare_connections(100, 5, 0.9) >= 60);
  CHECK(pwshare_connections(100, 5, 0) >= 2);
  CHECK(pwshare_connections(100, 300, 0) == 2);
  for (int run = 0; run < 1000; run++) {
    double part[8], all = 0;
    int sum = 0, most = 16 + (int)pwrand_below(&r, 500);
    for (int i = 0; i < 8; i++)
      all += part[i] = 1 + (double)pwrand_below(&r, 1000);
    for (int i = 0; i < 8; i++)
      sum += pwshare_connections(most, 8, part[i] / all);
    CHECK(sum <= most || most / 8 <= 6); /* the least of each */
  }
}

int main(void) {
  TESTS_BEGIN("sight");
  TEST(test_groups);
  TEST(test_aggregators);
  TEST(test_datagrams);
  TEST(test_too_many);
  TEST(test_workspace_rows);
  TEST(test_restart);
  TEST(test_shares);
  TEST(test_rate);
  TEST(test_overload);
  TEST(test_connections);
  TESTS_END();
}
